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
		outcome, detail, wait, open := n.roundTrip(conn, id, class, client, remaining)
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

// roundTrip sends a request on a connection and reads the response. reusable reports whether the connection can be reused.
func (n *node) roundTrip(conn net.Conn, id string, class experiment.Class, client *slowClient, remaining time.Duration) (outcome audit.Outcome, detail string, wait time.Duration, reusable bool) {
	timeout := n.fleet.experiment.Clients.Patience
	if timeout == 0 || timeout > remaining || client != nil {
		timeout = remaining + audit.AnswerSlack
	}
	conn.SetDeadline(time.Now().Add(timeout))
	if client != nil {
		conn.SetDeadline(time.Now().Add(slowReadTimeout))
	}
	method, body := "GET", ""
	if class.Effect != "safe" {
		method, body = "POST", "body of "+id
	}
	if client != nil && method == "POST" {
		body += strings.Repeat(" ", client.upload)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s /%s/k HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Deadline: %.4f\r\n", method, class.Name, id, remaining.Seconds())
	if method == "POST" {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	if client == nil {
		out.WriteString(body)
		body = ""
	}
	_, sendErr := io.WriteString(conn, out.String())
	if sendErr == nil {
		sendErr = client.write(conn, body)
	}
	if sendErr != nil && client == nil {
		return audit.Disconnected, sendErr.Error(), 0, false
	}
	if client != nil {
		n.fleet.audit.RecordSent(id, n.fleet.now())
		conn.SetDeadline(time.Now().Add(timeout))
	}
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	if err != nil && sendErr != nil {
		return audit.NotAccepted, sendErr.Error(), 0, false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if timeout <= remaining {
			return audit.ClientLeft, "", 0, false
		}
		return audit.NoResponse, "", 0, false
	}
	if err != nil {
		return audit.Disconnected, err.Error(), 0, false
	}
	n.fleet.audit.RecordFirstByte(id, n.fleet.now())
	if timeout > remaining { // otherwise the client leaves then
		conn.SetDeadline(time.Now().Add(slowReadTimeout))
	}
	text, err := io.ReadAll(io.LimitReader(client.reader(resp.Body), 2*longReplyBytes))
	resp.Body.Close()
	reusable = err == nil && !resp.Close && in.Buffered() == 0 && client == nil
	retryAfter := resp.Header.Get("Retry-After")
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded): // it has waited long enough for a response that has begun
		return audit.ClientLeft, "", 0, false
	case err != nil:
		return audit.Failed, "truncated response", 0, false
	case resp.StatusCode == http.StatusOK && strings.HasSuffix(string(text), " "+id):
		return audit.Served, "", 0, reusable
	case resp.StatusCode == http.StatusOK:
		return audit.WrongResponse, describeBody(string(text)), 0, false
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		var seconds float64
		fmt.Sscan(retryAfter, &seconds)
		return audit.Refused, retryAfter, time.Duration(seconds * float64(time.Second)), reusable
	case resp.StatusCode == http.StatusBadRequest && client != nil:
		return audit.UploadCut, resp.Status, 0, false
	case resp.StatusCode >= 500:
		return audit.Failed, resp.Status, 0, reusable
	}
	return audit.WrongResponse, resp.Status, 0, false
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
