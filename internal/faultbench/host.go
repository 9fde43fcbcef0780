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

// host is a place for one server after another, with a relay for each zone that sends to it.
type host struct {
	fleet  *fleet
	place  int
	relays []*link.Relay // by zone

	mu     sync.Mutex
	server *world.Server
	visits map[*world.Job]*visit // requests that wait or work
	state  balancer.ServerState
	down   experiment.Kind // Crash or Lose
	life   int
	asked  int
}

// visit is a request at a server, from its arrival to its answer.
type visit struct {
	attempt *audit.Attempt
	conn    *link.Conn
	done    chan struct{} // closed once its work is over
}

func (f *fleet) newHost(place int, s *world.Server) (*host, error) {
	h := &host{fleet: f, place: place, server: s, visits: map[*world.Job]*visit{}}
	for z, zone := range f.zones {
		r, err := link.Listen(f.net.Address(1+z, 1+place/250, 10000+place%250), f.dice, func(c *link.Conn) { h.serve(c, zone) })
		if err != nil {
			return nil, err
		}
		h.relays = append(h.relays, r)
		if err := r.Set(f.shape(zone, s.Zone, place)); err != nil {
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

// look tells how it stands.
func (h *host) look() (working, waiting, conns int, down bool) {
	for _, r := range h.relays {
		conns += r.Connections()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server.Working(), h.server.Waiting(), conns, h.down != "" || h.server.Fault == experiment.Hang || h.state != balancer.Ready
}

// serve answers one request after another on a connection from a zone.
func (h *host) serve(c *link.Conn, zone string) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.URL.Path == "/stats" {
			if !h.report(c) {
				return
			}
			continue
		}
		if !h.answer(c, r, zone) {
			return
		}
	}
}

// answer has a request run and answers it. It tells whether the connection is of further use.
func (h *host) answer(c *link.Conn, r *http.Request, zone string) bool {
	f, id := h.fleet, r.Header.Get("X-Request-Id")
	h.mu.Lock()
	s, incarnation := h.server, h.life
	t := f.audit.RecordAttempt(id, s.ID, h.place, zone != s.Zone, f.of(c.LastArrival()))
	if h.down != "" { // its process or machine is gone: what was on its way is lost
		h.mu.Unlock()
		<-c.CloseDelivered()
		f.audit.RecordEnd(t, f.of(c.NearClosedAt()), "its server was gone")
		return false
	}
	v := &visit{attempt: t, conn: c, done: make(chan struct{})}
	j := &world.Job{ID: id}
	verdict := s.Arrive(f.now(), j)
	switch verdict {
	case world.Started:
		h.visits[j] = v
		h.work(j, v)
	case world.Queued:
		h.visits[j] = v
	case world.Failed, world.Hung:
		f.audit.RecordRun(t)
	}
	load := h.load()
	h.mu.Unlock()
	switch verdict {
	case world.Rejected:
		return h.say(c, t, "503 Service Unavailable", "X-Not-Run: 1\r\n"+load, "", "turned away")
	case world.Failed:
		return h.say(c, t, "500 Internal Server Error", load, "", "error")
	case world.Hung:
		<-c.CloseDelivered()
		f.audit.RecordEnd(t, f.of(c.NearClosedAt()), "given up")
		return false
	}
	select {
	case <-v.done:
	case <-c.CloseDelivered():
		f.audit.RecordEnd(t, f.of(c.NearClosedAt()), "given up")
		h.mu.Lock()
		s.Abandon(j)
		h.mu.Unlock()
		return false
	}
	h.mu.Lock()
	gone, load := h.life != incarnation || h.down != "", h.load()
	h.mu.Unlock()
	if gone {
		<-c.CloseDelivered()
		f.audit.RecordEnd(t, f.of(c.NearClosedAt()), "its server was gone")
		return false
	}
	return h.say(c, t, "200 OK", load, s.ID+" "+id, "served")
}

// report answers a node that asks how much the server holds.
func (h *host) report(c *link.Conn) bool {
	h.mu.Lock()
	down, load := h.down != "" || h.server.Fault == experiment.Hang, h.load()
	h.asked++
	h.mu.Unlock()
	if down {
		<-c.CloseDelivered()
		return false
	}
	status, body := "200 OK", strings.TrimPrefix(load, "X-Load: ")
	if load == "" {
		status = "404 Not Found"
	}
	return c.Send([]byte(fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)), nil) == nil
}

// load is the report that goes with an answer. The caller holds mu.
func (h *host) load() string {
	if !h.server.Spec.ReportsLoad {
		return ""
	}
	return fmt.Sprintf("X-Load: TEXT inflight=%d, queue=%d\r\n", h.server.Working()+h.server.Waiting(), h.server.Waiting())
}

// say sends an answer; it is over once its last byte has been handed to the node's socket, or the node has closed that.
func (h *host) say(c *link.Conn, t *audit.Attempt, status, headers, body, how string) bool {
	f := h.fleet
	text := fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	over := make(chan struct{})
	err := c.Send([]byte(text), func(at time.Time) {
		f.audit.RecordEnd(t, f.of(at), how)
		close(over)
	})
	if err != nil {
		return false
	}
	select {
	case <-over:
		return true
	case <-c.CloseDelivered():
		f.audit.RecordEnd(t, f.of(c.NearClosedAt()), "given up")
		return false
	}
}

// work has a job that began end in time. The caller holds mu.
func (h *host) work(j *world.Job, v *visit) {
	f, s := h.fleet, h.server
	f.audit.RecordRun(v.attempt)
	time.AfterFunc(j.EndsAt-f.now(), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		close(v.done)
		delete(h.visits, j)
		if s != h.server {
			return
		}
		for next := s.Finish(f.now(), j); next != nil; next = nil {
			if w := h.visits[next]; w != nil {
				h.work(next, w)
			}
		}
	})
}

// strike has a fault begin at the place, and heal has it end.
func (h *host) strike(ft experiment.Fault) {
	f := h.fleet
	h.mu.Lock()
	switch ft.Kind {
	case experiment.Crash, experiment.MachineLoss:
		h.down = ft.Kind
		h.life++
	case experiment.Hang, experiment.Errors:
		h.server.Fault = ft.Kind
	case experiment.Slowdown:
		h.server.Factor = ft.Factor
	case experiment.Replace:
		h.state = balancer.Draining
		h.mu.Unlock()
		f.list.news()
		time.AfterFunc(time.Second, func() { h.renew(true) })
		return
	}
	h.mu.Unlock()
	f.reshape()
	if ft.Kind == experiment.Crash {
		for _, r := range h.relays {
			r.ResetAll()
		}
	}
}

func (h *host) heal(ft experiment.Fault) {
	switch ft.Kind {
	case experiment.Crash, experiment.MachineLoss:
		h.renew(false)
	case experiment.Hang, experiment.Errors:
		h.mu.Lock()
		h.server.Fault = ""
		h.mu.Unlock()
	case experiment.Slowdown:
		h.mu.Lock()
		h.server.Factor = 1
		h.mu.Unlock()
	}
}

// renew puts a server in slow start in the place: the same one started anew, or another under a new id. Connections of before
// are reset.
func (h *host) renew(replacement bool) {
	f := h.fleet
	f.mu.Lock()
	h.mu.Lock()
	old := h.server
	f.audit.RecordServerEnd(old, f.now())
	h.server = f.world.Replace(h.place, f.now(), replacement)
	h.state, h.down = balancer.Ready, ""
	h.life++
	if replacement {
		delete(f.place, old.ID)
		f.place[h.server.ID] = h
	}
	clear(h.visits)
	h.mu.Unlock()
	f.mu.Unlock()
	for _, r := range h.relays {
		r.ResetAll()
	}
	f.reshape()
	if replacement {
		f.list.gone(old.ID)
	}
	f.list.news()
}
