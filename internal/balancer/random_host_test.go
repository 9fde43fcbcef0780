package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// runRandomEvents drives a Balancer with random valid events and some invalid ones, and returns all its actions.
func runRandomEvents(t testing.TB, set Settings, seed uint64, steps int, checker *ruleChecker) (log []string, b *Balancer) {
	t.Helper()
	host := &randomHost{
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		set:       set,
		current:   set,
		checker:   checker,
		fleet:     servers(8),
		responded: map[string]bool{},
	}
	host.start(seed)
	host.deliver(ServerList{Full: true, Cached: true, Servers: host.fleet})
	for i := range steps {
		host.now += set.Tick
		if host.rng.IntN(700) == 0 {
			host.restart(seed + uint64(i))
		}
		host.fireTimers()
		host.endAttempts()
		if i < steps*3/4 && host.rng.IntN(3) == 0 {
			host.request(fmt.Sprint("r", i))
		}
		if host.rng.IntN(60) == 0 {
			host.changeServer()
		}
		host.answerPolls()
		if host.rng.IntN(150) == 0 {
			host.deliver(Reconfigure{changedSettings(host.rng, set)})
		}
		if host.rng.IntN(40) == 0 {
			host.deliverUnknownIDs()
		}
		if host.rng.IntN(50) == 0 && len(host.ids) > 0 {
			host.disconnect(host.ids[host.rng.IntN(len(host.ids))])
		}
	}
	return host.log, host.b
}

// randomHost carries out the actions of one Balancer with random delays and results.
type randomHost struct {
	t         testing.TB
	rng       *rand.Rand
	set       Settings // at the start
	current   Settings // after the last Reconfigure
	checker   *ruleChecker
	b         *Balancer
	now       time.Duration
	fleet     []Server
	open      []openAttempt
	timers    []SetTimer
	polled    []Poll // one per server
	ids       []string
	responded map[string]bool
	log       []string
}

// openAttempt is an attempt in progress at the host.
type openAttempt struct {
	id       string
	number   int
	server   string
	due      time.Duration
	timesOut bool
}

// start creates a Balancer with the current settings.
func (h *randomHost) start(seed uint64) {
	h.t.Helper()
	b, err := New(h.current, seed)
	if err != nil {
		h.t.Fatal(err)
	}
	h.b = b
}

// restart discards the Balancer and all open attempts, and starts another one.
func (h *randomHost) restart(seed uint64) {
	h.t.Helper()
	h.open = nil
	h.timers = nil
	h.polled = nil
	h.start(seed)
	if h.checker != nil {
		h.checker.restart()
	}
	h.deliver(ServerList{Full: true, Cached: true, Servers: h.listed()})
}

// listed returns the servers that are not removed.
func (h *randomHost) listed() (list []Server) {
	for _, s := range h.fleet {
		if s.State != Removed {
			list = append(list, s)
		}
	}
	return list
}

// deliver passes an event to the Balancer and the checker and carries out the actions.
func (h *randomHost) deliver(e Event) {
	if r, ok := e.(Reconfigure); ok && validate(r.Settings) == nil {
		h.current = r.Settings
	}
	if h.checker != nil {
		h.checker.checkEvent(h.now, e)
	}
	acts := h.b.Handle(h.now, e)
	if h.checker != nil {
		h.checker.checkActions(h.now, acts)
	}
	for _, a := range acts {
		h.log = append(h.log, fmt.Sprintf("%v %T%v", h.now, a, a))
		switch a := a.(type) {
		case Send:
			h.send(a)
		case SetTimer:
			h.timers = append(h.timers, a)
		case Poll:
			for _, s := range a.Servers {
				h.polled = append(h.polled, Poll{ID: a.ID, Servers: []string{s}})
			}
		}
	}
}

// send starts an attempt with a random duration.
func (h *randomHost) send(a Send) {
	number := 0
	for _, o := range h.open {
		if o.id == a.ID && o.number >= number {
			number = o.number + 1
		}
	}
	if r := h.b.requests[a.ID]; r != nil {
		number = len(r.attempts) - 1
	}
	took := time.Duration(h.rng.ExpFloat64() * float64(120*msec))
	o := openAttempt{id: a.ID, number: number, server: a.Server, due: h.now + took}
	if h.rng.IntN(8) == 0 || took > a.Timeout {
		o.due = h.now + a.Timeout
		o.timesOut = true
	}
	h.open = append(h.open, o)
}

// fireTimers delivers the timers that are due, some of them twice.
func (h *randomHost) fireTimers() {
	for k := 0; k < len(h.timers); k++ {
		w := h.timers[k]
		if w.At > h.now {
			continue
		}
		h.timers = append(h.timers[:k], h.timers[k+1:]...)
		k--
		h.deliver(Timer{Token: w.Token})
		if h.rng.IntN(20) == 0 {
			h.deliver(Timer{Token: w.Token})
		}
	}
}

// endAttempts delivers the outcomes that are due, some of them twice; some clients disconnect afterwards.
func (h *randomHost) endAttempts() {
	for k := 0; k < len(h.open); k++ {
		o := h.open[k]
		if o.due > h.now {
			continue
		}
		h.open = append(h.open[:k], h.open[k+1:]...)
		k--
		e := Outcome{ID: o.id, Attempt: o.number, Server: o.server, Result: h.drawResult(o)}
		r := h.b.requests[o.id]
		if e.Result == Success || r == nil || r.answered {
			h.responded[o.id] = true
		}
		e.Ended = h.responded[o.id]
		h.deliver(e)
		if h.rng.IntN(10) == 0 {
			h.deliver(e)
		}
		if h.rng.IntN(30) == 0 {
			h.disconnect(o.id)
		}
	}
}

// drawResult returns a random result for an attempt.
func (h *randomHost) drawResult(o openAttempt) Result {
	if o.timesOut {
		return TimedOut
	}
	if h.rng.IntN(3) == 0 {
		return Result(1 + h.rng.IntN(int(NotStarted)))
	}
	return Success
}

// disconnect reports that the client of a request has disconnected.
func (h *randomHost) disconnect(id string) {
	h.deliver(ClientDisconnected{ID: id})
	h.responded[id] = true
}

// request delivers a request of a random class, one of which is unknown.
func (h *randomHost) request(id string) {
	class := []string{"get", "post", "pay", "odd"}[h.rng.IntN(4)]
	h.ids = append(h.ids, id)
	h.deliver(Request{ID: id, Class: class, Deadline: h.now + time.Duration(1+h.rng.IntN(1500))*msec})
}

// changeServer changes a random server and reports it with a full list, with a change, or with a change after a
// failure.
func (h *randomHost) changeServer() {
	s := &h.fleet[h.rng.IntN(len(h.fleet))]
	s.State = ServerState(h.rng.IntN(3))
	if h.rng.IntN(2) == 0 {
		s.State = Ready
		s.Boot = h.now
	}
	switch h.rng.IntN(4) {
	case 0:
		h.deliver(ServerList{Full: true, Servers: h.listed()})
	case 1:
		h.deliver(ListFailed{})
		h.deliver(ServerList{Servers: []Server{*s}})
	default:
		h.deliver(ServerList{Servers: []Server{*s}})
	}
}

// answerPolls delivers load reports in any order, late, twice or not at all.
func (h *randomHost) answerPolls() {
	for k := 0; k < len(h.polled); k++ {
		if h.rng.IntN(4) > 0 {
			continue
		}
		poll := h.polled[k]
		h.polled = append(h.polled[:k], h.polled[k+1:]...)
		if h.rng.IntN(5) == 0 {
			continue
		}
		load := ServerLoad{
			Server: poll.Servers[0],
			Busy:   float64(h.rng.IntN(12) - 1),
			Age:    time.Duration(h.rng.IntN(300)) * msec,
		}
		e := LoadUpdate{ID: poll.ID, Loads: []ServerLoad{load}}
		h.deliver(e)
		if h.rng.IntN(10) == 0 {
			h.deliver(e)
		}
	}
}

// deliverUnknownIDs delivers events with unknown IDs.
func (h *randomHost) deliverUnknownIDs() {
	h.deliver(LoadUpdate{ID: "nobody", Loads: []ServerLoad{{Server: "nobody", Busy: 1}}})
	h.deliver(Outcome{ID: "nobody", Attempt: 3, Result: Success})
	h.deliver(Timer{Token: "r:nobody"})
	h.deliver(Timer{Token: "x"})
	h.deliver(ClientDisconnected{ID: "nobody"})
}

// changedSettings returns variations of the settings: classes with other effects, one class more or fewer, other
// limits. Some of them are invalid.
func changedSettings(rng *rand.Rand, set Settings) Settings {
	next := set
	next.Classes = append([]Class(nil), set.Classes...)
	for i := range next.Classes {
		c := &next.Classes[i]
		if rng.IntN(3) == 0 {
			c.Effect, c.Scope, c.Window = Effect(rng.IntN(3)), Scope(rng.IntN(3)), time.Duration(1+rng.IntN(1500))*msec
		}
	}
	switch rng.IntN(5) {
	case 0:
		next.Classes = next.Classes[:1+rng.IntN(len(next.Classes))]
	case 1:
		next.Classes = append(next.Classes, Class{Name: "odd", Effect: Keyed, Window: time.Second, LatencyObjective: 400 * msec, Deadline: time.Second})
	case 2:
		next.MaxAttempts, next.Index, next.Balancers, next.PollChoices = 1+rng.IntN(5), rng.IntN(3), 3, rng.IntN(6)
	case 3:
		next.Classes = nil
	}
	return next
}
