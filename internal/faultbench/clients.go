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

// sendRequests sends the node's requests when they are due, without waiting for earlier ones, and returns once all have an
// outcome.
func (n *node) sendRequests(ctx context.Context, streams *world.Streams) {
	f := n.fleet
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		request, more := streams.Next(n.index)
		if !more {
			return
		}
		f.waitUntil(ctx, request.At)
		if ctx.Err() != nil {
			return
		}
		f.recordLateness(f.now() - request.At)
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.sendWithRetries(ctx, request)
		}()
	}
}

// minDeadline is the shortest remaining time with which a client retries. Nodes reject a deadline that is not positive.
const minDeadline = time.Millisecond

// sendWithRetries sends a request and the client's retries, as long as the deadline and the number of retries allow.
func (n *node) sendWithRetries(ctx context.Context, request world.Request) {
	f := n.fleet
	class := f.experiment.Classes[request.Class]
	start := f.now()
	for attempt := 0; ; attempt++ {
		id := request.ID
		if attempt > 0 {
			id = fmt.Sprintf("%s-%d", request.ID, attempt)
		}
		now := f.now()
		remaining := start + class.Deadline - now
		if attempt > 0 && remaining < minDeadline { // the fault bench was late
			return
		}
		client := n.drawSlowClient()
		f.audit.RecordRequest(audit.Request{ID: id, SlowClient: client != nil, FirstID: request.ID, Node: n.index, Class: request.Class, Unsafe: class.Effect == "unsafe", At: now, LatencyObjective: start + class.LatencyObjective - now, Deadline: remaining, PriorityWeight: class.PriorityWeight})
		outcome, detail, wait := n.send(id, class, client, remaining)
		f.audit.RecordOutcome(id, outcome, f.now(), detail)
		retryable := outcome == audit.Refused || outcome == audit.NotAccepted || outcome == audit.Failed && class.Effect == "safe"
		wait = max(wait, f.experiment.Clients.RetryDelay)
		if !retryable || attempt >= f.experiment.Clients.Retries || f.now()+wait >= start+class.Deadline {
			return
		}
		f.waitUntil(ctx, f.now()+wait)
	}
}

// send sends one request and returns its outcome. It goes to the node or, under a policy of the fault bench, to a server.
func (n *node) send(id string, class experiment.Class, client *slowClient, remaining time.Duration) (outcome audit.Outcome, detail string, wait time.Duration) {
	addr := n.listen
	if n.fleet.options.Policy != experiment.Program {
		if addr = n.pickServer(); addr == "" {
			return audit.Refused, "no server", 0
		}
	}
	for {
		var conn net.Conn
		reused := false
		if client == nil {
			conn, reused = n.takeIdle(addr)
		}
		if !reused {
			if !n.acceptsNewConnections() {
				return audit.NotAccepted, "the node is ending", 0
			}
			var err error
			if conn, err = net.DialTimeout("tcp4", addr, min(remaining, time.Second)); err != nil {
				return audit.NotAccepted, err.Error(), 0
			}
		}
		if client != nil {
			client.prepare(conn)
		}
		outcome, detail, wait, open := (&exchange{n, conn, id, class, client, remaining}).roundTrip()
		if open {
			n.putIdle(addr, conn)
		} else {
			conn.Close()
		}
		// A request that raced with the close of a reused connection is sent again.
		if outcome == audit.Disconnected && reused {
			continue
		}
		if outcome == audit.Disconnected && n.isShortOfDescriptors() {
			outcome = audit.NotAccepted // new connections may be closed unread then
		}
		if n.fleet.options.Policy != experiment.Program && outcome == audit.Refused {
			outcome = audit.Failed // the only picked server rejected it
		}
		return outcome, detail, wait
	}
}

// acceptsNewConnections reports whether the platform's front end sends new connections to the node: not from frontEndDelay after
// SIGTERM on. Open connections are used until the end of the process.
func (n *node) acceptsNewConnections() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.terminatedAt.IsZero() || time.Since(n.terminatedAt) < frontEndDelay
}

func (n *node) isShortOfDescriptors() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.shortOfDescriptors
}

// exchange is one request on a connection of a client.
type exchange struct {
	node      *node
	conn      net.Conn
	id        string
	class     experiment.Class
	client    *slowClient // nil: the client is not slow
	remaining time.Duration
}

// patience returns how long the client waits for the beginning of the response, and whether it leaves then, before its deadline.
func (x *exchange) patience() (timeout time.Duration, leaves bool) {
	timeout = x.node.fleet.experiment.Clients.Patience
	if timeout == 0 || timeout > x.remaining || x.client != nil {
		return x.remaining + audit.AnswerSlack, false
	}
	return timeout, true
}

// roundTrip sends the request and reads the response. reusable reports whether the connection can be reused.
func (x *exchange) roundTrip() (outcome audit.Outcome, detail string, wait time.Duration, reusable bool) {
	timeout, leaves := x.patience()
	x.conn.SetDeadline(time.Now().Add(timeout))
	if x.client != nil {
		x.conn.SetDeadline(time.Now().Add(slowReadTimeout))
	}
	sendErr := x.send()
	if sendErr != nil && x.client == nil {
		return audit.Disconnected, sendErr.Error(), 0, false
	}
	if x.client != nil {
		x.node.fleet.audit.RecordSent(x.id, x.node.fleet.now())
		x.conn.SetDeadline(time.Now().Add(timeout))
	}
	in := bufio.NewReader(x.conn)
	resp, err := http.ReadResponse(in, nil)
	switch {
	case err != nil && sendErr != nil: // the request was not taken
		return audit.NotAccepted, sendErr.Error(), 0, false
	case errors.Is(err, os.ErrDeadlineExceeded) && leaves:
		return audit.ClientLeft, "", 0, false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return audit.NoResponse, "", 0, false
	case err != nil:
		return audit.Disconnected, err.Error(), 0, false
	}
	x.node.fleet.audit.RecordFirstByte(x.id, x.node.fleet.now())
	if !leaves {
		x.conn.SetDeadline(time.Now().Add(slowReadTimeout))
	}
	text, err := io.ReadAll(io.LimitReader(x.client.reader(resp.Body), maxReplyBytes))
	resp.Body.Close()
	outcome, detail, wait = x.judge(resp, string(text), err)
	reusable = err == nil && !resp.Close && in.Buffered() == 0 && x.client == nil
	return outcome, detail, wait, reusable && outcome != audit.WrongResponse
}

// send writes the request.
func (x *exchange) send() error {
	method, body := "GET", ""
	if x.class.Effect != "safe" {
		method, body = "POST", "body of "+x.id
	}
	if x.client != nil && method == "POST" {
		body += strings.Repeat(" ", x.client.upload)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s /%s/k HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %.4f\r\n", method, x.class.Name, x.id, x.remaining.Seconds())
	if method == "POST" {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	if x.client == nil {
		out.WriteString(body)
		body = ""
	}
	if _, err := io.WriteString(x.conn, out.String()); err != nil {
		return err
	}
	return x.client.write(x.conn, body)
}

// judge returns the outcome of a response whose body was read until an error, if any.
func (x *exchange) judge(resp *http.Response, text string, err error) (outcome audit.Outcome, detail string, wait time.Duration) {
	retryAfter := resp.Header.Get("Retry-After")
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded): // it has waited long enough for a response that has begun
		return audit.ClientLeft, "", 0
	case err != nil:
		return audit.Failed, "truncated response", 0
	case resp.StatusCode == http.StatusOK && strings.HasSuffix(text, " "+x.id):
		return audit.Served, "", 0
	case resp.StatusCode == http.StatusOK:
		return audit.WrongResponse, describeBody(text), 0
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		var seconds float64
		fmt.Sscan(retryAfter, &seconds)
		return audit.Refused, retryAfter, time.Duration(seconds * float64(time.Second))
	case resp.StatusCode == http.StatusBadRequest && x.client != nil:
		return audit.UploadCut, resp.Status, 0
	case resp.StatusCode >= 500:
		return audit.Failed, resp.Status, 0
	}
	return audit.WrongResponse, resp.Status, 0
}

// describeBody names the server and the request that a body was made for, which are its last two words.
func describeBody(body string) string {
	words := strings.Fields(body)
	if len(words) < 2 {
		return fmt.Sprintf("%.60q", body)
	}
	return fmt.Sprintf("the reply that %s made for %s", words[len(words)-2], words[len(words)-1])
}

// takeIdle returns an idle connection, if there is one.
func (n *node) takeIdle(to string) (conn net.Conn, found bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	free := n.idle[to]
	if len(free) == 0 {
		return nil, false
	}
	conn = free[len(free)-1]
	n.idle[to] = free[:len(free)-1]
	return conn, true
}

func (n *node) putIdle(to string, c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.idle[to] = append(n.idle[to], c)
}

// pickServer returns the address of the server that the fault bench's policy selects, or "" if there is none.
func (n *node) pickServer() (addr string) {
	f := n.fleet
	version, _, _, _ := f.registry.visibleVersion(n.registryLag)
	var ready []*host
	for _, t := range version.targets {
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
	if f.options.Policy == experiment.JSQ {
		least := 0.0
		best = nil
		for _, h := range ready {
			working, waiting, _, down := h.status()
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
