// Package virtual plays an experiment in one process on virtual time: the same servers, streams, auditor and figures
// as on sockets, with the decision module in place of whole nodes. A day of seconds takes a fraction of one, so that
// ways to spread load can be weighed over many seeds; what the weighing finds is then shown with processes.
package virtual

import (
	"fmt"
	"math/rand/v2"
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
