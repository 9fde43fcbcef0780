package testpeer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Agent is a fake registry agent. It answers watches with the last text set by Tell, or leaves them unanswered.
type Agent struct {
	net.Listener
	Queries chan string // the query of each request; dropped when the channel is full

	mu      sync.Mutex
	rev     int
	text    string
	silent  bool
	changed chan struct{} // closed and replaced at each change
}

// NewAgent starts an agent on loopback that stops when the test ends. Its first version is 1.
func NewAgent(t TB) *Agent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("%v", err)
	}
	a := &Agent{Listener: ln, rev: 1, changed: make(chan struct{}), Queries: make(chan string, 1000)}
	srv := &http.Server{Handler: a}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return a
}

// Address returns the listen address.
func (a *Agent) Address() string { return a.Addr().String() }

// Rev returns the current version.
func (a *Agent) Rev() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rev
}

// ServeHTTP answers a watch.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case a.Queries <- r.URL.RawQuery:
	default:
	}
	a.mu.Lock()
	text, silent, changed := a.text, a.silent, a.changed
	current := r.URL.Query().Get("from") == fmt.Sprint(a.rev)
	a.mu.Unlock()
	if silent { // stays unanswered after the agent recovers, like a lost request
		<-r.Context().Done()
		return
	}
	if current {
		select {
		case <-changed:
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

// Tell sets whether the agent is silent and, unless text is empty, increments the version and sets the answer. A %d in
// text stands for the version.
func (a *Agent) Tell(silent bool, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	if text != "" {
		a.rev++
		a.text = strings.Replace(text, "%d", fmt.Sprint(a.rev), 1)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetRev sets the current version, from which later ones count.
func (a *Agent) SetRev(rev int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev = rev
}

// Entry returns the JSON entry of a server in a list.
func Entry(uid, endpoint, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":0,"state":%q,`+
		`"capacity_hint":1,"boot_ms":0}`, uid, endpoint, state)
}

// FullSnapshot returns a full snapshot for Tell, with %d as its version.
func FullSnapshot(entries ...string) string {
	return `{"rev":%d,"all":true,"targets":[` + strings.Join(entries, ",") + `]}`
}

// Changes returns an incremental update for Tell, with %d as its version.
func Changes(entries ...string) string {
	return `{"rev":%d,"all":false,"targets":[` + strings.Join(entries, ",") + `]}`
}
