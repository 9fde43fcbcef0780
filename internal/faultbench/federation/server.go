package federation

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Server is a log server of a partner. It takes a configured service time per request and, together with the other servers of its
// cell, discards duplicates of an idempotency key.
type Server struct {
	federation *Federation
	Partner    int
	Name       string
	Cell       int
	address    string
	httpServer *http.Server
}

// cell is the state shared by the servers of a partner's cell.
type cell struct {
	mu         sync.Mutex
	responses  map[string]string        // by idempotency key
	inProgress map[string]chan struct{} // by idempotency key; closed on completion
}

func newServer(l *Federation, partner, i int) (*Server, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("federation: %w", err)
	}
	b := &Server{federation: l, Partner: partner, Name: fmt.Sprintf("%s-b%d", PartnerName(partner), i), Cell: i % 2, address: ln.Addr().String()}
	b.httpServer = &http.Server{Handler: b}
	go b.httpServer.Serve(ln)
	return b, nil
}

func (b *Server) close() { b.httpServer.Close() }

// ServeHTTP executes a request.
func (b *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	id, key := r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key")
	a := b.federation.Auditor
	c := a.cellOf(b.Partner, b.Cell)
	if key != "" {
		if text, done := c.claim(r, key); done {
			a.recordRun(Run{ID: id, Key: key, Class: class, Path: r.URL.Path, Server: b.Name, Partner: b.Partner, At: b.federation.elapsed(), Dropped: true})
			io.WriteString(w, text)
			return
		}
	}
	n := a.recordRun(Run{ID: id, Key: key, Class: class, Path: r.URL.Path, Server: b.Name, Partner: b.Partner, At: b.federation.elapsed()})
	text := fmt.Sprintf("%s ran %s, time %d, %d bytes", b.Name, id, n, len(body))
	if h := a.holdFor(id); h != nil {
		h.received <- b.Name
		<-h.release
	} else if d := b.federation.options.Service; d > 0 {
		time.Sleep(d)
	}
	if key != "" {
		c.complete(key, text)
	}
	io.WriteString(w, text)
}

// claim returns the response of a key that another request executes or has executed, waiting for it if necessary. It returns false
// if the caller must execute the request itself.
func (c *cell) claim(r *http.Request, key string) (string, bool) {
	for {
		c.mu.Lock()
		if text, ok := c.responses[key]; ok {
			c.mu.Unlock()
			return text, true
		}
		finished, claimed := c.inProgress[key]
		if !claimed {
			c.inProgress[key] = make(chan struct{})
			c.mu.Unlock()
			return "", false
		}
		c.mu.Unlock()
		select {
		case <-finished:
		case <-r.Context().Done():
			return "", true
		}
	}
}

func (c *cell) complete(key, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses[key] = text
	close(c.inProgress[key])
	delete(c.inProgress, key)
}
