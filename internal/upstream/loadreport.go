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
	maxReport  = 1 << 10
	mostLoaded = 1e6 // requests that a server may say it holds
)

// load is what an answer says of its server's load, or nil.
func (b *Pool) load(h http.Header) *balancer.Load {
	b.mu.Lock()
	name := b.limits.Busy
	b.mu.Unlock()
	if name == "" {
		return nil
	}
	busy, ok := figure(h.Get("X-Load"), name)
	if !ok {
		return nil
	}
	return &balancer.Load{Busy: busy, Service: -1}
}

// askGrace is how much longer a connection is kept for an answer that nobody waits for any more: it is of use again once
// that has come.
const askGrace = time.Second

// Poll implements engine.Backend: a GET without an id, on a connection that requests use too. Like any answer, one that comes
// too late frees its connection; one that does not come closes it.
func (b *Pool) Poll(to discovery.Host, within time.Duration) (busy float64, ok bool) {
	b.mu.Lock()
	path, name := b.limits.AskPath, b.limits.Busy
	b.mu.Unlock()
	if path == "" || name == "" {
		return 0, false
	}
	got := make(chan reply, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), within+askGrace)
		defer cancel()
		got <- b.poll(ctx, to, path)
	}()
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case r := <-got:
		if r.err != nil || r.Result != balancer.Success {
			return 0, false
		}
		if busy, ok = figure(string(r.Reply.Body), name); !ok && r.Load != nil {
			return r.Load.Busy, true
		}
		return busy, ok
	case <-t.C:
		return 0, false
	}
}

// poll asks for a report on a connection.
func (b *Pool) poll(ctx context.Context, to discovery.Host, path string) reply {
	for {
		waiter := make(chan reply, 1)
		c, fresh, err := b.connect(ctx, to, waiter)
		if err != nil {
			return reply{err: err}
		}
		if b.begin(c, waiter) == nil {
			defer context.AfterFunc(ctx, func() { b.giveUp(c, waiter) })()
			if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: backend.local\r\n\r\n"); err != nil {
				b.giveUp(c, waiter)
			} else {
				b.wrote(c)
			}
			r := <-waiter
			r.Reply.Discard()
			return r
		}
		if fresh {
			return reply{err: errUnasked}
		}
	}
}

// figure finds one figure in a report of the form "TEXT inflight=7, queue=2, util=0.61" (the platform's protocol, Nodes
// to servers). What can't be read tells nothing.
func figure(report, name string) (float64, bool) {
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
		return v, err == nil && v >= 0 && v <= mostLoaded
	}
	return 0, false
}
