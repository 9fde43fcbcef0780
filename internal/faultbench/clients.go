package faultbench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/world"
)

// callers has a node's requests come when they are due, whatever becomes of them, and returns once all have been heard of.
func (n *node) callers(ctx context.Context, streams *world.Streams) {
	f := n.fleet
	var all sync.WaitGroup
	defer all.Wait()
	for {
		c, more := streams.Next(n.index)
		if !more {
			return
		}
		f.await(ctx, c.At)
		if ctx.Err() != nil {
			return
		}
		f.late(f.now() - c.At)
		all.Add(1)
		go func() {
			defer all.Done()
			n.call(ctx, c)
		}()
	}
}

// call makes a request, and those that its client makes after it as long as there is time.
func (n *node) call(ctx context.Context, c world.Request) {
	f := n.fleet
	class := f.e.Classes[c.Class]
	first := f.now()
	for try := 0; ; try++ {
		id := c.ID
		if try > 0 {
			id = fmt.Sprintf("%s-%d", c.ID, try)
		}
		now := f.now()
		left := first + class.Deadline - now
		f.audit.RecordRequest(audit.Request{ID: id, FirstID: c.ID, Node: n.index, Class: c.Class, Unsafe: class.Effect == "unsafe", At: now, LatencyObjective: first + class.LatencyObjective - now, Deadline: left, PriorityWeight: class.PriorityWeight})
		heard, says, wait := n.ask(id, class, left)
		f.audit.RecordOutcome(id, heard, f.now(), says)
		again := heard == audit.Refused || heard == audit.NotAccepted || heard == audit.Failed && class.Effect == "safe"
		wait = max(wait, f.e.Clients.RetryDelay)
		if !again || try >= f.e.Clients.Retries || f.now()+wait >= first+class.Deadline {
			return
		}
		f.await(ctx, f.now()+wait)
	}
}

// ask sends one request and tells what is heard: of a node, or where the fault bench picks, of a server.
func (n *node) ask(id string, class experiment.Class, left time.Duration) (heard audit.Outcome, says string, wait time.Duration) {
	to := n.listen
	if n.fleet.o.Policy != experiment.Program {
		if to = n.pick(); to == "" {
			return audit.Refused, "no server", 0
		}
	}
	for {
		c, kept := n.take(to)
		if !kept {
			var err error
			if c, err = net.DialTimeout("tcp4", to, min(left, time.Second)); err != nil {
				return audit.NotAccepted, err.Error(), 0
			}
		}
		heard, says, wait, open := n.on(c, id, class, left)
		if open {
			n.keep(to, c)
		} else {
			c.Close()
		}
		// What crosses the close of a connection that was kept is sent once more on a new one.
		if heard == audit.Disconnected && kept {
			continue
		}
		if n.fleet.o.Policy != experiment.Program && heard == audit.Refused {
			heard = audit.Failed // rejected by the one server that was picked
		}
		return heard, says, wait
	}
}

// on makes a request on a connection. open: it is of further use.
func (n *node) on(c net.Conn, id string, class experiment.Class, left time.Duration) (heard audit.Outcome, says string, wait time.Duration, open bool) {
	leaves := n.fleet.e.Clients.Patience
	if leaves == 0 || leaves > left {
		leaves = left + audit.AnswerSlack
	}
	c.SetDeadline(time.Now().Add(leaves))
	method, body := "GET", ""
	if class.Effect != "safe" {
		method, body = "POST", "body of "+id
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s /%s/k HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %.4f\r\n", method, class.Name, id, left.Seconds())
	if method == "POST" {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(&out, "\r\n%s", body)
	if _, err := io.WriteString(c, out.String()); err != nil {
		return audit.Disconnected, err.Error(), 0, false
	}
	in := bufio.NewReader(c)
	r, err := http.ReadResponse(in, nil)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if leaves <= left {
			return audit.ClientLeft, "", 0, false
		}
		return audit.NoResponse, "", 0, false
	}
	if err != nil {
		return audit.Disconnected, err.Error(), 0, false
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, 1<<16))
	r.Body.Close()
	open = err == nil && !r.Close && in.Buffered() == 0
	advice := r.Header.Get("Retry-After")
	switch {
	case err != nil:
		return audit.Failed, "an answer that broke off", 0, false
	case r.StatusCode == http.StatusOK && strings.HasSuffix(string(text), " "+id):
		return audit.Served, "", 0, open
	case r.StatusCode == http.StatusOK:
		return audit.WrongResponse, fmt.Sprintf("%.60q", text), 0, false
	case r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests:
		var seconds float64
		fmt.Sscan(advice, &seconds)
		return audit.Refused, advice, time.Duration(seconds * float64(time.Second)), open
	case r.StatusCode >= 500:
		return audit.Failed, r.Status, 0, open
	}
	return audit.WrongResponse, r.Status, 0, false
}

// take returns an idle connection, if there is one.
func (n *node) take(to string) (c net.Conn, kept bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	free := n.idle[to]
	if len(free) == 0 {
		return nil, false
	}
	c = free[len(free)-1]
	n.idle[to] = free[:len(free)-1]
	return c, true
}

func (n *node) keep(to string, c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.idle[to] = append(n.idle[to], c)
}

// pick is where a policy of the fault bench's own sends a request.
func (n *node) pick() (addr string) {
	f := n.fleet
	v, _, _, _ := f.list.known(n.lag)
	var ready []*host
	for _, t := range v.targets {
		if t.State == stateNames[balancer.Ready] {
			ready = append(ready, f.hosts[t.place])
		}
	}
	if len(ready) == 0 {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	best := ready[n.rng.IntN(len(ready))]
	if f.o.Policy == experiment.JSQ {
		least := 0.0
		best = nil
		for _, h := range ready {
			working, waiting, _, down := h.look()
			load := (float64(working+waiting) + n.rng.Float64()/100) / float64(h.server.Spec.Slots)
			if !down && (best == nil || load < least) {
				best, least = h, load
			}
		}
		if best == nil {
			return ""
		}
	}
	return best.relays[n.zoneIndex()].Addr()
}
