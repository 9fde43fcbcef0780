// Package virtual plays an experiment in one process on virtual time: the same servers, streams, auditor and figures
// as on sockets, with the decision module in place of whole nodes. A day of seconds takes a fraction of one, so that
// ways to spread load can be weighed over many seeds; what the weighing finds is then shown with processes.
package virtual

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/eventqueue"
	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/nodefile"
	"damsontrestle/internal/faultbench/world"
)

// Tune changes what a module is told, for weighing; nil changes nothing.
type Tune func(*balancer.Settings)

// node is one node: a module, or a policy that needs none.
type node struct {
	index    int
	zone     string
	balancer *balancer.Balancer // nil while it is down, or by another policy
	life     int
	calls    map[string]*call
	lag      time.Duration // of its list
	listed   []string      // uids in service, by its list
	open     map[int]bool  // places that it has a connection to
	copies   int
}

// call is a request that a node has taken.
type call struct {
	world.Call
	class    experiment.Class
	attempts []*try
	answered bool
}

// try is one attempt.
type try struct {
	*audit.Attempt
	n      int
	node   *node
	call   *call
	server *world.Server // the incarnation that it was sent to
	place  int
	job    *world.Job
	ended  bool
	sent   time.Duration
}

// player plays one day.
type player struct {
	e       *experiment.Experiment
	policy  experiment.Policy
	tune    Tune
	told    Told
	now     time.Duration
	due     eventqueue.Queue[func()]
	audit   *audit.Audit
	fleet   *world.Fleet
	place   map[string]int
	state   []balancer.ServerState // of each place
	gone    map[string]bool        // uids that were replaced
	lost    []bool                 // of each place: its machine says nothing
	crashed []bool
	nodes   []*node
	streams *world.Streams
	rng     *rand.Rand
	cuts    []experiment.Fault // of links, in force
	waiting map[*world.Job]*try
	asked   int   // servers, how much they hold
	seen    []int // by Late: what each place held when it looked last; -1: it is down
}

// Late is a policy for comparison that plays on virtual time only: the one of two servers that held less when all were
// seen last, and a refusal where even that one would take half of the latency objective. What a fleet serves is held against it.
const Late experiment.Policy = "late"

// lateBy is how old the sight of Late becomes.
const lateBy = 200 * time.Millisecond

// epoch is the clock time of the first request: the module takes 0 for long ago.
const epoch = time.Hour

// Play plays an experiment once.
func Play(e *experiment.Experiment, policy experiment.Policy, tune Tune) (*audit.Audit, audit.Figures, error) {
	return PlayTold(e, policy, tune, Told{})
}

// PlayTold is Play with nodes that tell one another what they have at servers.
func PlayTold(e *experiment.Experiment, policy experiment.Policy, tune Tune, told Told) (*audit.Audit, audit.Figures, error) {
	p := &player{e: e, policy: policy, tune: tune, told: told, audit: audit.New(), fleet: world.NewFleet(e), place: map[string]int{},
		gone: map[string]bool{}, waiting: map[*world.Job]*try{}, streams: world.NewStreams(e, "c"), rng: rand.New(rand.NewPCG(e.Seed, 0x1ab))}
	p.state = make([]balancer.ServerState, len(p.fleet.Servers))
	p.lost, p.crashed = make([]bool, len(p.state)), make([]bool, len(p.state))
	for i, s := range p.fleet.Servers {
		p.place[s.ID] = i
	}
	zones := e.NodeZones()
	lags := e.Lags()
	for i, zone := range zones {
		n := &node{index: i, zone: zone, lag: lags[i], copies: len(zones), calls: map[string]*call{}, open: map[int]bool{}}
		p.nodes = append(p.nodes, n)
		if err := p.start(n); err != nil {
			return nil, audit.Figures{}, err
		}
		p.arrive(n)
	}
	for _, f := range e.Faults {
		if err := p.plan(f); err != nil {
			return nil, audit.Figures{}, err
		}
	}
	if told.Age > 0 {
		p.exchange(p.links())
	}
	p.at(0, p.sample)
	if policy == Late {
		p.look()
	}
	end := e.Length()
	for _, c := range e.Classes {
		end = max(end, e.Length()+c.Deadline+time.Second)
	}
	for at, do, ok := p.due.Next(); ok && at <= end; at, do, ok = p.due.Next() {
		p.now = at
		do()
	}
	for _, s := range p.fleet.Servers {
		p.audit.LifeOver(s, p.now)
	}
	return p.audit, p.audit.Figures(e.WarmUp, e.Length(), audit.Capacities(e)), nil
}

func (p *player) at(t time.Duration, do func()) {
	p.due.Add(max(t, p.now), do)
}

// start gives a node a module that knows the list.
func (p *player) start(n *node) error {
	n.life++
	if p.policy != experiment.Program {
		n.balancer = &balancer.Balancer{}
		p.tell(n, nil)
		return nil
	}
	set, err := nodefile.Settings(p.e, nodefile.Node{Index: n.index, Copies: n.copies, Zone: n.zone})
	if err != nil {
		return err
	}
	if p.tune != nil {
		p.tune(&set)
	}
	if n.balancer, err = balancer.New(set, p.rng.Uint64()); err != nil {
		return fmt.Errorf("node %d: %w", n.index, err)
	}
	p.tell(n, nil)
	return nil
}

// tell gives a node the list as it stands now; names are the uids that have gone since.
func (p *player) tell(n *node, gone []string) {
	l := balancer.ServerList{Full: len(gone) == 0}
	n.listed = n.listed[:0]
	for i, s := range p.fleet.Servers {
		v := balancer.Server{ID: s.ID, Zone: s.Zone, State: p.state[i], Size: s.Spec.Size}
		if s.Born >= 0 {
			v.Boot = epoch + s.Born
		}
		if v.State == balancer.Ready {
			n.listed = append(n.listed, s.ID)
		} else {
			p.audit.Told(n.index, s.ID, p.now)
		}
		l.Servers = append(l.Servers, v)
	}
	for _, id := range gone {
		l.Servers = append(l.Servers, balancer.Server{ID: id, State: balancer.Removed})
		p.audit.Told(n.index, id, p.now)
	}
	if p.policy == experiment.Program && n.balancer != nil {
		p.handle(n, l)
	}
}

// tellAll has every node hear of the list as it stands, each after its lag.
func (p *player) tellAll(gone ...string) {
	for _, n := range p.nodes {
		p.at(p.now+n.lag, func() { p.tell(n, gone) })
	}
}

// arrive has the next request come to a node.
func (p *player) arrive(n *node) {
	c, more := p.streams.Next(n.index)
	if !more {
		return
	}
	p.at(c.At, func() {
		p.arrive(n)
		p.ask(n, c)
	})
}

func (p *player) ask(n *node, c world.Call) {
	class := p.e.Classes[c.Class]
	p.audit.Ask(audit.Call{ID: c.ID, Node: n.index, Class: c.Class, Unsafe: class.Effect == "unsafe", At: p.now, Aim: class.Aim, Deadline: class.Deadline, Worth: class.Worth})
	if n.balancer == nil {
		p.audit.Hear(c.ID, audit.NotTaken, p.now+1, "")
		return
	}
	k := &call{Call: c, class: class}
	n.calls[c.ID] = k
	if patience := p.e.Callers.Patience; patience > 0 && patience < class.Deadline {
		p.at(p.now+patience, func() { p.leaveNode(n, k) })
	}
	if p.policy == experiment.Program {
		p.handle(n, balancer.Request{ID: c.ID, Class: class.Name, Deadline: epoch + p.now + class.Deadline})
		return
	}
	if id := p.pick(n, class); id != "" {
		p.send(n, k, id, class.Deadline)
	} else {
		p.hear(n, k, audit.Refused, "now")
	}
}

// pick is how the policies that are no module pick.
func (p *player) pick(n *node, class experiment.Class) (id string) {
	if len(n.listed) == 0 {
		return ""
	}
	switch p.policy {
	case experiment.Random:
		return n.listed[p.rng.IntN(len(n.listed))]
	case Late:
		return p.pickLate(n, class)
	}
	least := 0.0
	for _, c := range n.listed {
		s := p.fleet.Servers[p.place[c]]
		if load := (float64(s.Working()+s.Waiting()) + p.rng.Float64()/100) / float64(s.Spec.Slots); id == "" || load < least {
			id, least = c, load
		}
	}
	return id
}

// look has Late see all servers, again and again.
func (p *player) look() {
	p.seen = p.seen[:0]
	for i, s := range p.fleet.Servers {
		held := s.Working() + s.Waiting()
		if p.isDown(i) {
			held = -1
		}
		p.seen = append(p.seen, held)
	}
	p.at(p.now+lateBy, p.look)
}

// pickLate is how Late picks.
func (p *player) pickLate(n *node, class experiment.Class) (id string) {
	up := make([]string, 0, len(n.listed))
	for _, c := range n.listed {
		if p.seen[p.place[c]] >= 0 {
			up = append(up, c)
		}
	}
	if len(up) == 0 {
		return ""
	}
	least := 0.0
	for range 2 {
		c := up[p.rng.IntN(len(up))]
		spec := p.fleet.Servers[p.place[c]].Spec
		if load := float64(p.seen[p.place[c]]+1) / float64(spec.Slots) * spec.Service.Seconds(); id == "" || load < least {
			id, least = c, load
		}
	}
	if least > class.Aim.Seconds()/2 { // what others have sent since is not in sight
		return ""
	}
	return id
}

func (p *player) handle(n *node, e balancer.Event) {
	incarnation := n.life
	for _, a := range n.balancer.Handle(epoch+p.now, e) {
		switch a := a.(type) {
		case balancer.Send:
			if k := n.calls[a.ID]; k != nil {
				p.send(n, k, a.Server, a.Timeout)
			}
		case balancer.Poll:
			p.poll(n, a)
		case balancer.Cancel:
			if k := n.calls[a.ID]; k != nil && a.Attempt < len(k.attempts) {
				p.end(k.attempts[a.Attempt], balancer.Cancelled, nil)
			}
		case balancer.Reject:
			p.hear(n, n.calls[a.ID], audit.Refused, a.RetryAfter.String())
		case balancer.Fail:
			p.hear(n, n.calls[a.ID], audit.Failed, "")
		case balancer.SetTimer:
			p.at(a.At-epoch, func() {
				if n.life == incarnation && n.balancer != nil {
					p.handle(n, balancer.Timer{Token: a.Token})
				}
			})
		}
	}
}

// poll asks servers how much they hold; those that say nothing are not heard of.
func (p *player) poll(n *node, a balancer.Poll) {
	incarnation := n.life
	for _, id := range a.Servers {
		place := p.place[id]
		s := p.fleet.Servers[place]
		there, comes := p.delay(n.zone, s.Zone, true, place)
		if !comes || s.ID != id || p.lost[place] || p.crashed[place] {
			continue
		}
		p.asked++
		p.at(p.now+there, func() {
			busy := float64(s.Working() + s.Waiting())
			if back, comes := p.delay(s.Zone, n.zone, false, place); comes && s.Fault != experiment.Hang {
				p.at(p.now+back, func() {
					if n.life == incarnation && n.balancer != nil {
						p.handle(n, balancer.LoadUpdate{ID: a.ID, Loads: []balancer.ServerLoad{{Server: id, Busy: busy, Age: there + back}}})
					}
				})
			}
		})
	}
}

// hear ends a request for its client.
func (p *player) hear(n *node, k *call, h audit.Heard, says string) {
	if k == nil || k.answered {
		return
	}
	k.answered = true
	p.audit.Hear(k.ID, h, p.now, says)
	p.forget(n, k)
}

// leaveNode has a client leave that has heard nothing.
func (p *player) leaveNode(n *node, k *call) {
	if k.answered || n.calls[k.ID] != k {
		return
	}
	p.hear(n, k, audit.Gone, "")
	if p.policy == experiment.Program {
		p.handle(n, balancer.ClientDisconnected{ID: k.ID})
		return
	}
	for _, t := range k.attempts {
		p.end(t, balancer.Cancelled, nil)
	}
}

func (p *player) forget(n *node, k *call) {
	if k.answered && !slices.ContainsFunc(k.attempts, func(t *try) bool { return !t.ended }) {
		delete(n.calls, k.ID)
	}
}

// delay is how long something takes from one zone to another, and whether it comes at all.
func (p *player) delay(from, to string, there bool, place int) (time.Duration, bool) {
	l := p.e.Between(from, to)
	d := l.Delay + time.Duration(p.rng.Float64()*float64(l.Jitter))
	for _, f := range p.cuts {
		near, far := from, to
		if !there {
			near, far = to, from
		}
		if !f.Lies(near, far) || !slices.Contains(f.Struck(p.e.Seed, len(p.state)), place) {
			continue
		}
		switch f.Kind {
		case experiment.Cut:
			return 0, false
		case experiment.CutThere:
			if there {
				return 0, false
			}
		case experiment.CutBack:
			if !there {
				return 0, false
			}
		case experiment.Slow:
			d += f.Delay + time.Duration(p.rng.Float64()*float64(f.Jitter))
		}
	}
	return d, true
}

func (p *player) send(n *node, k *call, id string, timeout time.Duration) {
	place := p.place[id]
	s := p.fleet.Servers[place]
	t := &try{n: len(k.attempts), node: n, call: k, server: s, place: place, sent: p.now, job: &world.Job{ID: k.ID}}
	k.attempts = append(k.attempts, t)
	t.Attempt = p.audit.Send(k.ID, id, place, n.zone != s.Zone, p.now)
	p.at(p.now+timeout, func() { p.end(t, balancer.TimedOut, nil) })
	there, comes := p.delay(n.zone, s.Zone, true, place)
	switch {
	case p.gone[id] || s.ID != id || p.crashed[place]:
		p.at(p.now+2*there, func() { p.end(t, balancer.Unreachable, nil) })
	case !comes || p.lost[place]: // a new connection never comes up, an old one says nothing
		if !n.open[place] {
			p.at(p.now+time.Second, func() { p.end(t, balancer.Unreachable, nil) })
		}
	default:
		n.open[place] = true
		p.at(p.now+there, func() { p.reach(t) })
	}
}

// reach has an attempt come to its server.
func (p *player) reach(t *try) {
	if t.ended && p.now > t.Back || t.server != p.fleet.Servers[t.place] || p.crashed[t.place] || p.lost[t.place] {
		return
	}
	switch t.server.Arrive(p.now, t.job) {
	case world.Started:
		p.work(t, t.server)
	case world.Queued:
		p.waiting[t.job] = t
	case world.TurnedAway:
		p.back(t, balancer.Overloaded, nil)
	case world.Failed:
		p.audit.Run(t.Attempt)
		p.back(t, balancer.Failure, nil)
	case world.Hung:
		p.audit.Run(t.Attempt)
	}
}

// work has a job that began end in time.
func (p *player) work(t *try, s *world.Server) {
	p.audit.Run(t.Attempt)
	p.at(t.job.Ends, func() {
		if s != p.fleet.Servers[t.place] || p.crashed[t.place] {
			return
		}
		next := s.Finish(p.now, t.job)
		load := &balancer.Load{Busy: float64(s.Working() + s.Waiting()), Service: -1}
		if !s.Spec.Reports {
			load = nil
		}
		if !t.job.Lost && !p.lost[t.place] && s.Fault != experiment.Hang {
			p.back(t, balancer.Success, load)
		}
		if next != nil {
			t := p.waiting[next]
			delete(p.waiting, next)
			p.work(t, s)
		}
	})
}

// back has a server's answer come to the node.
func (p *player) back(t *try, e balancer.Result, load *balancer.Load) {
	if d, comes := p.delay(t.server.Zone, t.node.zone, false, t.place); comes {
		p.at(p.now+d, func() { p.end(t, e, load) })
	}
}

// end ends an attempt at its node.
func (p *player) end(t *try, e balancer.Result, load *balancer.Load) {
	if t.ended {
		return
	}
	t.ended = true
	n, k := t.node, t.call
	p.audit.Over(t.Attempt, p.now, fmt.Sprint(e))
	if e == balancer.TimedOut || e == balancer.Cancelled || e == balancer.Unreachable {
		delete(n.open, t.place) // its connection is closed
		if d, comes := p.delay(n.zone, t.server.Zone, true, t.place); comes {
			p.at(p.now+d, func() { p.leave(t) })
		}
	}
	if e == balancer.Success {
		p.hear(n, k, audit.Served, "")
	}
	switch {
	case p.policy == experiment.Program && n.balancer != nil:
		p.handle(n, balancer.Outcome{ID: k.ID, Attempt: t.n, Server: t.Server, Result: e, Latency: p.now - t.sent, Ended: k.answered, Load: load})
	case e != balancer.Success:
		p.hear(n, k, audit.Failed, "")
	}
	p.forget(n, k)
}

// leave has a server see that nobody waits for a request any more.
func (p *player) leave(t *try) {
	t.server.Leave(t.job)
	delete(p.waiting, t.job)
}

// isDown says that no load is meant for the server at a place.
func (p *player) isDown(place int) bool {
	return p.lost[place] || p.crashed[place] || p.fleet.Servers[place].Fault == experiment.Hang || p.state[place] != balancer.Ready
}

// sample looks at all servers.
func (p *player) sample() {
	s := audit.Sample{At: p.now}
	for i, v := range p.fleet.Servers {
		s.Working, s.Waiting = append(s.Working, v.Working()), append(s.Waiting, v.Waiting())
		open := 0
		for _, n := range p.nodes {
			if n.open[i] {
				open++
			}
		}
		s.Connections = append(s.Connections, open)
		s.Down = append(s.Down, p.isDown(i))
	}
	p.audit.Sample(s)
	p.at(p.now+audit.SampleEvery, p.sample)
}
