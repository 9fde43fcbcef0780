package faultbench

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/link"
	"damsontrestle/internal/faultbench/world"
)

// host runs one server at a time at a fixed place, with a relay for each zone that sends to it.
type host struct {
	fleet  *fleet
	place  int
	relays []*link.Relay // by zone

	mu          sync.Mutex
	server      *world.Server
	pending     map[*world.Job]*pendingRequest // queued or running requests
	state       balancer.ServerState
	down        experiment.Kind // Crash or MachineLoss; empty while it is up
	incarnation int
	loadPolls   int
	spoiling    map[string]experiment.Fault // active faults that spoil replies, by name
}

// pendingRequest is a request at a server, from its arrival to its response.
type pendingRequest struct {
	attempt *audit.Attempt
	conn    *link.Conn
	done    chan struct{} // closed once its work is over
}

func (f *fleet) newHost(place int, s *world.Server) (*host, error) {
	h := &host{fleet: f, place: place, server: s, pending: map[*world.Job]*pendingRequest{}, spoiling: map[string]experiment.Fault{}}
	for z, zone := range f.zones {
		r, err := link.Listen(f.subnet.Address(1+z, 1+place/250, 10000+place%250), f.random, func(c *link.Conn) { h.serve(c, zone) })
		if err != nil {
			return nil, err
		}
		h.relays = append(h.relays, r)
		if err := r.Set(f.linkShape(zone, s.Zone, place)); err != nil {
			return nil, err
		}
	}
	return h, nil
}

func (h *host) close() {
	for _, r := range h.relays {
		r.Close()
	}
}

// status returns the server's running and queued requests, its connections, and whether it is out of service.
func (h *host) status() (working, waiting, conns int, down bool) {
	for _, r := range h.relays {
		conns += r.Connections()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server.Working(), h.server.Waiting(), conns, h.down != "" || h.server.Fault == experiment.Hang || h.state != balancer.Ready
}

// serve handles requests one after another on a connection from a zone.
func (h *host) serve(conn *link.Conn, zone string) {
	var lateInput sync.WaitGroup // must not be sent once serve has returned
	defer lateInput.Wait()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if err := h.readBody(conn, request); err != nil {
			return
		}
		if request.URL.Path == "/stats" {
			if !h.reportLoad(conn) {
				return
			}
			continue
		}
		if !h.handle(conn, request, zone, &lateInput) {
			return
		}
	}
}

// readBody reads a request's body, slowly if a fault is drawn.
func (h *host) readBody(conn *link.Conn, request *http.Request) error {
	rate := int64(0)
	if request.ContentLength != 0 {
		rate = h.drawReadRate()
	}
	if rate == 0 {
		_, err := io.Copy(io.Discard, request.Body)
		return err
	}
	conn.SetReadBuffer(smallBuffer)
	return readSlowly(request.Body, rate)
}

// handle runs a request and sends its response. It reports whether the connection can be reused.
func (h *host) handle(conn *link.Conn, request *http.Request, zone string, lateInput *sync.WaitGroup) bool {
	f, id := h.fleet, request.Header.Get("X-Request-Id")
	h.mu.Lock()
	server, incarnation := h.server, h.incarnation
	attempt := f.audit.RecordAttempt(id, server.ID, h.place, zone != server.Zone, f.runTime(conn.LastArrival()))
	if conn.HeldByCut() || request.ContentLength > smallBuffer { // or its last bytes have waited in buffers
		f.audit.RecordUndated(attempt)
	}
	if h.down != "" { // the process or machine is gone: requests in transit are lost
		h.mu.Unlock()
		<-conn.CloseDelivered()
		f.audit.RecordEnd(attempt, f.runTime(conn.NearClosedAt()), "server was down")
		return false
	}
	pending := &pendingRequest{attempt: attempt, conn: conn, done: make(chan struct{})}
	job := &world.Job{ID: id}
	verdict := server.Arrive(f.now(), job)
	switch verdict {
	case world.Started:
		h.pending[job] = pending
		h.scheduleCompletion(job, pending)
	case world.Queued:
		h.pending[job] = pending
	case world.Failed, world.Hung:
		f.audit.RecordRun(attempt)
	}
	load := h.loadHeader()
	h.mu.Unlock()
	switch verdict {
	case world.Rejected:
		return h.respond(conn, attempt, "503 Service Unavailable", "X-Not-Run: 1\r\n"+load, "", "rejected by the server")
	case world.Failed:
		return h.respond(conn, attempt, "500 Internal Server Error", load, "", "error")
	case world.Hung:
		<-conn.CloseDelivered()
		f.audit.RecordEnd(attempt, f.runTime(conn.NearClosedAt()), "canceled by the node")
		return false
	}
	select {
	case <-pending.done:
	case <-conn.CloseDelivered():
		f.audit.RecordEnd(attempt, f.runTime(conn.NearClosedAt()), "canceled by the node")
		h.mu.Lock()
		server.Abandon(job)
		h.mu.Unlock()
		return false
	}
	h.mu.Lock()
	gone, load := h.incarnation != incarnation || h.down != "", h.loadHeader()
	h.mu.Unlock()
	if gone {
		<-conn.CloseDelivered()
		f.audit.RecordEnd(attempt, f.runTime(conn.NearClosedAt()), "server was down")
		return false
	}
	return h.respondSpoiled(conn, attempt, load, server.ID+" "+id, lateInput)
}

// reportLoad answers a node's load poll.
func (h *host) reportLoad(conn *link.Conn) bool {
	h.mu.Lock()
	down, load := h.down != "" || h.server.Fault == experiment.Hang, h.loadHeader()
	h.loadPolls++
	h.mu.Unlock()
	if down {
		<-conn.CloseDelivered()
		return false
	}
	status, body := "200 OK", strings.TrimPrefix(load, "X-Load: ")
	if load == "" {
		status = "404 Not Found"
	}
	return conn.Send([]byte(fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)), nil) == nil
}

// loadHeader returns the load report that is sent with a response. The caller holds mu.
func (h *host) loadHeader() string {
	if !h.server.Spec.ReportsLoad {
		return ""
	}
	return fmt.Sprintf("X-Load: TEXT inflight=%d, queue=%d\r\n", h.server.Working()+h.server.Waiting(), h.server.Waiting())
}

// respond sends a response. It returns once the last byte has been written to the node's socket or the node has closed it.
func (h *host) respond(conn *link.Conn, attempt *audit.Attempt, status, headers, body, outcome string) bool {
	return h.deliver(conn, attempt, replyText(status, headers, body), outcome, func() {})
}

// deliver is respond with the text of the response. It calls sent once the text has entered the link.
func (h *host) deliver(conn *link.Conn, attempt *audit.Attempt, text, outcome string, sent func()) bool {
	f := h.fleet
	done := make(chan struct{})
	err := conn.Send([]byte(text), func(at time.Time) {
		if closedAt := conn.NearClosedAt(); !closedAt.IsZero() { // the write succeeds on a socket that the node has just closed
			at, outcome = closedAt, "canceled by the node"
		}
		f.audit.RecordEnd(attempt, f.runTime(at), outcome)
		close(done)
	})
	if err != nil {
		return false
	}
	sent()
	select {
	case <-done:
		return true
	case <-conn.CloseDelivered():
		f.audit.RecordEnd(attempt, f.runTime(conn.NearClosedAt()), "canceled by the node")
		return false
	}
}

// scheduleCompletion schedules the end of a job that has started. The caller holds mu.
func (h *host) scheduleCompletion(job *world.Job, pending *pendingRequest) {
	f, s := h.fleet, h.server
	f.audit.RecordRun(pending.attempt)
	time.AfterFunc(job.EndsAt-f.now(), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		close(pending.done)
		delete(h.pending, job)
		if s != h.server {
			return
		}
		for next := s.Finish(f.now(), job); next != nil; next = nil {
			if w := h.pending[next]; w != nil {
				h.scheduleCompletion(next, w)
			}
		}
	})
}

// applyFault starts a fault at the host; clearFault ends it.
func (h *host) applyFault(ft experiment.Fault) {
	f := h.fleet
	h.mu.Lock()
	switch ft.Kind {
	case experiment.Crash, experiment.MachineLoss:
		h.down = ft.Kind
		h.incarnation++
	case experiment.Hang, experiment.Errors:
		h.server.Fault = ft.Kind
	case experiment.Slowdown:
		h.server.Factor = ft.Factor
	case experiment.Repeat, experiment.Noise, experiment.Truncate, experiment.LongReplies, experiment.StopInReply, experiment.SlowReplies, experiment.SlowReads:
		h.spoiling[ft.Name] = ft
	case experiment.Replace:
		h.state = balancer.Draining
		h.mu.Unlock()
		f.registry.publish()
		time.AfterFunc(time.Second, func() { h.restartServer(true) })
		return
	}
	h.mu.Unlock()
	f.updateLinks()
	if ft.Kind == experiment.Crash {
		for _, r := range h.relays {
			r.ResetAll()
		}
	}
}

func (h *host) clearFault(ft experiment.Fault) {
	switch ft.Kind {
	case experiment.Crash, experiment.MachineLoss:
		h.restartServer(false)
	case experiment.Hang, experiment.Errors:
		h.mu.Lock()
		h.server.Fault = ""
		h.mu.Unlock()
	case experiment.Slowdown:
		h.mu.Lock()
		h.server.Factor = 1
		h.mu.Unlock()
	case experiment.Repeat, experiment.Noise, experiment.Truncate, experiment.LongReplies, experiment.StopInReply, experiment.SlowReplies, experiment.SlowReads:
		h.mu.Lock()
		delete(h.spoiling, ft.Name)
		h.mu.Unlock()
	}
}

// restartServer puts a server in slow start at the place: the same one restarted, or a replacement with a new ID. It resets
// existing connections.
func (h *host) restartServer(replacement bool) {
	f := h.fleet
	f.mu.Lock()
	h.mu.Lock()
	old := h.server
	f.audit.RecordServerEnd(old, f.now())
	h.server = f.world.Replace(h.place, f.now(), replacement)
	h.state, h.down = balancer.Ready, ""
	h.incarnation++
	if replacement {
		delete(f.hostsByID, old.ID)
		f.hostsByID[h.server.ID] = h
	}
	clear(h.pending)
	h.mu.Unlock()
	f.mu.Unlock()
	for _, r := range h.relays {
		r.ResetAll()
	}
	f.updateLinks()
	if replacement {
		f.registry.remove(old.ID)
	}
	f.registry.publish()
}
