package node

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// Hundreds of connections that say nothing, half a request or too little of a body hold no place that a
// good caller needs: they are let go first, before they would time out, and the good one is served.
func TestGoodCallerIsServedBesideHundredsOfSilentOnes(t *testing.T) {
	s := newServer(t, echo)
	cfg := testConfig(whole(entry("s1", s.addr(), "in_service")))
	cfg.Sockets = 256
	n, _ := startNode(t, cfg, func(n *Node) {
		n.frontend.server.ReadTimeout = 2 * limit // what is let go is let go for want of room
		n.frontend.callers.grace = graces{idle: limit}
	})
	const body = "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: half\r\nX-Deadline: 60\r\nContent-Length: 9\r\n\r\nhal"
	good := dial(t, n)
	for i := range 600 {
		bad := dial(t, n)
		io.WriteString(bad, []string{"", "GET /view/k HT", "GET /view/k HTTP/1.1\r\nX-", body}[i%4])
		if i%20 == 0 {
			good.get(fmt.Sprint("good-", i))
			good.want(t, http.StatusOK, fmt.Sprint("for good-", i))
			fresh := dial(t, n)
			fresh.get(fmt.Sprint("fresh-", i))
			fresh.want(t, http.StatusOK, fmt.Sprint("for fresh-", i))
			fresh.Close()
		}
	}
	until(t, "the rest to be let go", func() bool {
		n.frontend.callers.mu.Lock()
		defer n.frontend.callers.mu.Unlock()
		return n.frontend.callers.over() <= 0
	})
}

// Silent and half-spoken connections end by themselves, and so do those that ask no more.
func TestConnectionsWithoutARequestEnd(t *testing.T) {
	s := newServer(t, echo)
	n, _ := startNode(t, testConfig(whole(entry("s1", s.addr(), "in_service"))), func(n *Node) {
		n.frontend.server.ReadTimeout = 300 * time.Millisecond
		n.frontend.server.IdleTimeout = 300 * time.Millisecond
	})
	for _, text := range []string{"", "GET /view/k HTTP/1.1\r\nHo", "\r\n"} {
		c := dial(t, n)
		io.WriteString(c, text)
		said, err := io.ReadAll(c)
		if err != nil {
			t.Errorf("%q: %v after %q", text, err, said)
		}
	}
	c := dial(t, n)
	c.get("once")
	c.want(t, http.StatusOK, "for once")
	closed(t, c.br, "a connection that asks no more")
}

// Callers, requests and servers that are ever new leave nothing behind.
func TestStateStaysBounded(t *testing.T) {
	s := newServer(t, echo)
	n, _ := startNode(t, testConfig(whole(entry("s0", s.addr(), "in_service"))), nil)
	round := func(i int) {
		l := list{full: true, rev: int64(i), targets: []target{{endpoint: s.addr()}}}
		l.targets[0].ID = fmt.Sprint("s", i)
		n.loop.post(listNews{l})
		c := dial(t, n)
		c.get(fmt.Sprint("r-", i))
		c.want(t, http.StatusOK, "")
		c.Close()
	}
	for i := range 50 {
		round(i)
	}
	before := runtime.NumGoroutine()
	for i := range 300 {
		round(50 + i)
	}
	until(t, "all that has gone to be forgotten", func() bool {
		b, f := n.backend, n.frontend.callers
		b.mu.Lock()
		defer b.mu.Unlock()
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.conns) == 0 && len(b.seen) == 1 && len(b.idle) <= 1 && b.open <= 1 &&
			runtime.NumGoroutine() <= before+5
	})
}
