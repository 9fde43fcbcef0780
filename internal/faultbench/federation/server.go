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

// Box is a log server of a partner: it takes a while for each request, and discards repeats of a key as all of its cell do.
type Box struct {
	league  *League
	Partner int
	Name    string
	Cell    int
	address string
	srv     *http.Server
}

// cell is what the servers of a partner's cell remember together.
type cell struct {
	mu   sync.Mutex
	ran  map[string]string        // answers by key
	busy map[string]chan struct{} // keys in work
}

func newBox(l *League, partner, i int) (*Box, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("league: %w", err)
	}
	b := &Box{league: l, Partner: partner, Name: fmt.Sprintf("%s-b%d", Name(partner), i), Cell: i % 2, address: ln.Addr().String()}
	b.srv = &http.Server{Handler: b}
	go b.srv.Serve(ln)
	return b, nil
}

func (b *Box) close() { b.srv.Close() }

// ServeHTTP runs a request.
func (b *Box) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	id, key := r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key")
	a := b.league.Audit
	c := a.cellOf(b.Partner, b.Cell)
	if key != "" {
		if text, done := c.before(r, key); done {
			a.ran(Run{ID: id, Key: key, Class: class, Path: r.URL.Path, Box: b.Name, Partner: b.Partner, At: b.league.now(), Dropped: true})
			io.WriteString(w, text)
			return
		}
	}
	n := a.ran(Run{ID: id, Key: key, Class: class, Path: r.URL.Path, Box: b.Name, Partner: b.Partner, At: b.league.now()})
	text := fmt.Sprintf("%s ran %s, time %d, %d bytes", b.Name, id, n, len(body))
	if h := a.held(id); h != nil {
		h.got <- b.Name
		<-h.release
	} else if d := b.league.o.Service; d > 0 {
		time.Sleep(d)
	}
	if key != "" {
		c.done(key, text)
	}
	io.WriteString(w, text)
}

// before waits for the work of a key that another has begun. false: this one begins it.
func (c *cell) before(r *http.Request, key string) (string, bool) {
	for {
		c.mu.Lock()
		if text, ok := c.ran[key]; ok {
			c.mu.Unlock()
			return text, true
		}
		wait, under := c.busy[key]
		if !under {
			c.busy[key] = make(chan struct{})
			c.mu.Unlock()
			return "", false
		}
		c.mu.Unlock()
		select {
		case <-wait:
		case <-r.Context().Done():
			return "", true
		}
	}
}

func (c *cell) done(key, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran[key] = text
	close(c.busy[key])
	delete(c.busy, key)
}
