package upstream

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// Bounds of a load report. Reports beyond them are ignored as malformed.
const (
	maxReport = 1 << 10 // bytes
	maxLoad   = 1e6     // requests in flight that a server may report
)

// pollGrace is how much longer a connection is kept open for the reply of a poll that has timed out: the connection is usable
// again once the reply has arrived.
const pollGrace = time.Second

// loadReport returns the load report in the header of a reply, or nil.
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

// Poll implements engine.Backend: it sends a GET without a request id on a connection shared with requests. A late reply makes
// the connection idle, as any reply does; without a reply the connection is closed.
func (p *Pool) Poll(host discovery.Host, timeout time.Duration) (busy float64, ok bool) {
	p.mu.Lock()
	path := p.limits.PollPath
	field := p.limits.LoadField
	p.mu.Unlock()
	if path == "" || field == "" {
		return 0, false
	}
	got := make(chan reply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout+pollGrace)
		defer cancel()
		got <- p.poll(ctx, host, path)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-got:
		return polledLoad(r, field)
	case <-timer.C:
		return 0, false
	}
}

// polledLoad returns the load reported by the reply to a poll, in its body or otherwise in its header.
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

// poll polls a server on a connection that no request uses meanwhile.
func (p *Pool) poll(ctx context.Context, host discovery.Host, path string) reply {
	for {
		waiter := make(chan reply, 1)
		c, fresh, err := p.connect(ctx, host, waiter)
		if err != nil {
			return reply{err: err}
		}
		err = p.beginExchange(c, waiter, nil)
		if err == nil {
			return p.pollOn(ctx, c, waiter, path)
		}
		if fresh || ctx.Err() != nil {
			return reply{err: err}
		}
	}
}

// pollOn writes a poll to a connection and waits for its reply. Of the body only the buffered part is read.
func (p *Pool) pollOn(ctx context.Context, c *conn, waiter chan reply, path string) reply {
	stop := context.AfterFunc(ctx, func() { p.abandon(c, waiter, closeAttemptEnded) })
	defer stop()
	p.writeRequest(c, waiter, []byte("GET "+path+" HTTP/1.1\r\nHost: "+backendHost+"\r\n\r\n")) // its failure ends the wait, too
	r := <-waiter
	r.Reply.Discard()
	return r
}

// parseLoad returns the value of one field of a load report of the form "TEXT inflight=7, queue=2, util=0.61" (the platform's
// protocol, Nodes to servers). It reports false if the report is malformed or the value is out of bounds.
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
