package testpeer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Agent is the registry's agent: it answers watches with what it was given last, or is silent.
type Agent struct {
	net.Listener
	Asked chan string // the query of each request, as far as there is room

	mu     sync.Mutex
	rev    int
	text   string
	silent bool
	news   chan struct{} // closed at each change
}

// NewAgent listens on loopback until the test ends. Its first version is 1.
func NewAgent(t TB) *Agent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("%v", err)
	}
	a := &Agent{Listener: ln, rev: 1, news: make(chan struct{}), Asked: make(chan string, 1000)}
	srv := &http.Server{Handler: a}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return a
}

// Address is where it listens.
func (a *Agent) Address() string { return a.Addr().String() }

// Rev is the version of what it was told last.
func (a *Agent) Rev() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rev
}

// ServeHTTP answers a watch.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case a.Asked <- r.URL.RawQuery:
	default:
	}
	a.mu.Lock()
	text, silent, news := a.text, a.silent, a.news
	current := r.URL.Query().Get("from") == fmt.Sprint(a.rev)
	a.mu.Unlock()
	if silent { // also once it is back, as a request that was lost
		<-r.Context().Done()
		return
	}
	if current {
		select {
		case <-news:
		case <-r.Context().Done():
			return
		}
		a.mu.Lock()
		text, silent = a.text, a.silent
		a.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
	}
	io.WriteString(w, text)
}

// Tell sets what the agent has; text may hold %d for its version, and an empty one changes nothing.
func (a *Agent) Tell(silent bool, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	if text != "" {
		a.rev++
		a.text = strings.Replace(text, "%d", fmt.Sprint(a.rev), 1)
	}
	close(a.news)
	a.news = make(chan struct{})
}

// Start has versions count from another number.
func (a *Agent) Start(rev int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev = rev
}

// Entry is a list's entry of a server.
func Entry(uid, endpoint, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":0,"state":%q,`+
		`"capacity_hint":1,"boot_ms":0}`, uid, endpoint, state)
}

// Whole is a full snapshot, its version still %d.
func Whole(entries ...string) string {
	return `{"rev":%d,"all":true,"targets":[` + strings.Join(entries, ",") + `]}`
}

// Changes is a list of changed entries, its version still %d.
func Changes(entries ...string) string {
	return `{"rev":%d,"all":false,"targets":[` + strings.Join(entries, ",") + `]}`
}
