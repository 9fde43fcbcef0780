package discovery

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// sinkCall is one call of a sink's methods.
type sinkCall struct {
	list   List
	failed bool
}

// sink is a Sink that sends its calls to the test.
type sink chan sinkCall

func (s sink) UpdateList(l List) { s <- sinkCall{list: l} }

func (s sink) ListFailed() { s <- sinkCall{failed: true} }

// silentAgent is an agent that answers the polls that arrive once it is no longer silent, and never the earlier ones. It
// sends the number of each poll to polls.
type silentAgent struct {
	net.Listener
	polls   chan int
	mu      sync.Mutex
	n       int
	silent  bool
	text    string
	open    int // number of open polls
	maxOpen int // maximum of open
}

func newSilentAgent(t *testing.T) *silentAgent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &silentAgent{Listener: ln, polls: make(chan int, 10_000), silent: true}
	srv := &http.Server{Handler: a}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return a
}

// pollEnded records that a poll is no longer open.
func (a *silentAgent) pollEnded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
}

func (a *silentAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.n++
	a.open++
	a.maxOpen = max(a.maxOpen, a.open)
	n := a.n
	silent := a.silent
	text := a.text
	a.mu.Unlock()
	defer a.pollEnded()
	a.polls <- n
	if silent || r.URL.Query().Get("from") == "9" {
		<-r.Context().Done()
		return
	}
	io.WriteString(w, text)
}

// chunkedAgent answers its first poll with the chunks that the test sends, and no other poll.
type chunkedAgent struct {
	net.Listener
	polls  chan struct{}
	chunks chan string
}

func newChunkedAgent(t *testing.T) *chunkedAgent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &chunkedAgent{Listener: ln, polls: make(chan struct{}, 10_000), chunks: make(chan string)}
	first := true
	var mu sync.Mutex
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		streams := first
		first = false
		mu.Unlock()
		a.polls <- struct{}{}
		for streams {
			select {
			case chunk, more := <-a.chunks:
				if !more {
					return
				}
				io.WriteString(w, chunk)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
		<-r.Context().Done()
	})}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return a
}

// startPush runs w.Push until the test ends.
func startPush(t *testing.T, w *Watch) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Push(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}
