package upstream

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// Bounds of a load report. A longer one is noise.
const (
	maxReport = 1 << 10
	maxLoad   = 1e6 // requests that a server may say it holds
)

// loadOf is what an answer says of its server's load, or nil.
func (p *Pool) loadOf(h http.Header) *balancer.Load {
	p.mu.Lock()
	name := p.limits.LoadField
	p.mu.Unlock()
	if name == "" {
		return nil
	}
	busy, ok := parseLoad(h.Get("X-Load"), name)
	if !ok {
		return nil
	}
	return &balancer.Load{Busy: busy, Service: -1}
}

// pollGrace is how much longer a connection is kept for an answer that nobody waits for any more: it is of use again once
// that has come.
const pollGrace = time.Second

// Poll implements engine.Backend: a GET without an id, on a connection that requests use too. Like any answer, one that comes
// too late frees its connection; one that does not come closes it.
func (p *Pool) Poll(to discovery.Host, within time.Duration) (busy float64, ok bool) {
	p.mu.Lock()
	path, name := p.limits.PollPath, p.limits.LoadField
	p.mu.Unlock()
	if path == "" || name == "" {
		return 0, false
	}
	got := make(chan reply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), within+pollGrace)
		defer cancel()
		got <- p.poll(ctx, to, path)
	}()
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case r := <-got:
		if r.err != nil || r.Result != balancer.Success {
			return 0, false
		}
		if busy, ok = parseLoad(string(r.Reply.Body), name); !ok && r.Load != nil {
			return r.Load.Busy, true
		}
		return busy, ok
	case <-t.C:
		return 0, false
	}
}

// poll asks for a report on a connection.
func (p *Pool) poll(ctx context.Context, to discovery.Host, path string) reply {
	for {
		waiter := make(chan reply, 1)
		c, fresh, err := p.connect(ctx, to, waiter)
		if err != nil {
			return reply{err: err}
		}
		if p.begin(c, waiter) == nil {
			defer context.AfterFunc(ctx, func() { p.abandon(c, waiter) })()
			if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: backend.local\r\n\r\n"); err != nil {
				p.abandon(c, waiter)
			} else {
				p.markWritten(c)
			}
			r := <-waiter
			r.Reply.Discard()
			return r
		}
		if fresh {
			return reply{err: errUnsolicited}
		}
	}
}

// parseLoad finds one figure in a report of the form "TEXT inflight=7, queue=2, util=0.61" (the platform's protocol, Nodes
// to servers). What can't be read tells nothing.
func parseLoad(report, name string) (float64, bool) {
	text, ok := strings.CutPrefix(strings.TrimSpace(report), "TEXT ")
	if !ok || len(report) > maxReport {
		return 0, false
	}
	for _, pair := range strings.Split(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if key != name {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		return v, err == nil && v >= 0 && v <= maxLoad
	}
	return 0, false
}
