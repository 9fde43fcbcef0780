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
	maxReport = 1 << 10 // bytes
	maxLoad   = 1e6     // requests that a server may say it has in flight
)

// pollGrace is how much longer a connection is kept for a reply that nobody waits for any more: it is of use again once
// that has come.
const pollGrace = time.Second

// loadReport returns the load report that came with a reply, or nil.
func (p *Pool) loadReport(h http.Header) *balancer.Load {
	p.mu.Lock()
	field := p.limits.LoadField
	p.mu.Unlock()
	if field == "" {
		return nil
	}
	busy, ok := parseLoad(h.Get("X-Load"), field)
	if !ok {
		return nil
	}
	return &balancer.Load{Busy: busy, Service: -1}
}

// Poll implements engine.Backend: a GET without an id, on a connection that requests use too. Like any reply, one that comes
// too late frees its connection; one that does not come closes it.
func (p *Pool) Poll(to discovery.Host, within time.Duration) (busy float64, ok bool) {
	p.mu.Lock()
	path := p.limits.PollPath
	field := p.limits.LoadField
	p.mu.Unlock()
	if path == "" || field == "" {
		return 0, false
	}
	got := make(chan reply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), within+pollGrace)
		defer cancel()
		got <- p.poll(ctx, to, path)
	}()
	timeout := time.NewTimer(within)
	defer timeout.Stop()
	select {
	case r := <-got:
		return polledLoad(r, field)
	case <-timeout.C:
		return 0, false
	}
}

// polledLoad returns the load that the reply to a poll reports, in its body or else in its header.
func polledLoad(r reply, field string) (busy float64, ok bool) {
	if r.err != nil || r.Result != balancer.Success {
		return 0, false
	}
	busy, ok = parseLoad(string(r.Reply.Body), field)
	if !ok && r.Load != nil {
		return r.Load.Busy, true
	}
	return busy, ok
}

// poll polls a server on a connection of its own.
func (p *Pool) poll(ctx context.Context, to discovery.Host, path string) reply {
	for {
		waiter := make(chan reply, 1)
		c, fresh, err := p.connect(ctx, to, waiter)
		if err != nil {
			return reply{err: err}
		}
		err = p.beginExchange(c, waiter)
		if err == nil {
			return p.pollOn(ctx, c, waiter, path)
		}
		if fresh {
			return reply{err: err}
		}
	}
}

// pollOn writes a poll to a connection and waits for its reply, of which only what is kept is read.
func (p *Pool) pollOn(ctx context.Context, c *conn, waiter chan reply, path string) reply {
	stop := context.AfterFunc(ctx, func() { p.abandon(c, waiter) })
	defer stop()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: "+backendHost+"\r\n\r\n"); err != nil {
		p.abandon(c, waiter)
	} else {
		p.markWritten(c)
	}
	r := <-waiter
	r.Reply.Discard()
	return r
}

// parseLoad returns the value of one field of a load report of the form "TEXT inflight=7, queue=2, util=0.61" (the platform's
// protocol, Nodes to servers). false: the report is malformed, or the value is out of bounds.
func parseLoad(report, field string) (float64, bool) {
	text, ok := strings.CutPrefix(strings.TrimSpace(report), "TEXT ")
	if !ok || len(report) > maxReport {
		return 0, false
	}
	for _, pair := range strings.Split(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if key != field {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		return v, err == nil && v >= 0 && v <= maxLoad
	}
	return 0, false
}
