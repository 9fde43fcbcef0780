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
	index       int
	zone        string
	balancer    *balancer.Balancer // nil while it is down, or by another policy
	incarnation int
	requests    map[string]*request
	lag         time.Duration // of its list
	listed      []string      // uids in service, by its list
	open        map[int]bool  // places that it has a connection to
	nodeCount   int
}

// call is a request that a node has taken.
type request struct {
	world.Request
	class    experiment.Class
	attempts []*attempt
	answered bool
}

// try is one attempt.
type attempt struct {
	*audit.Attempt
	index   int
	node    *node
	request *request
	server  *world.Server // the incarnation that it was sent to
	place   int
	job     *world.Job
	ended   bool
	sent    time.Duration
}

// player plays one day.
type player struct {
	e                *experiment.Experiment
	policy           experiment.Policy
	tune             Tune
	exchangeSettings LoadExchange
	now              time.Duration
	events           eventqueue.Queue[func()]
	audit            *audit.Audit
	fleet            *world.Fleet
	place            map[string]int
	state            []balancer.ServerState // of each place
	replaced         map[string]bool        // uids that were replaced
	unreachable      []bool                 // of each place: its machine says nothing
	crashed          []bool
	nodes            []*node
	streams          *world.Streams
	rng              *rand.Rand
	linkFaults       []experiment.Fault // of links, in force
	waiting          map[*world.Job]*attempt
	polls            int   // servers, how much they hold
	observedLoads    []int // by Late: what each place held when it looked last; -1: it is down
}

// Late is a policy for comparison that plays on virtual time only: the one of two servers that held less when all were
// seen last, and a refusal where even that one would take half of the latency objective. What a fleet serves is held against it.
const DelayedState experiment.Policy = "late"

// lateBy is how old the sight of Late becomes.
const delayedStateInterval = 200 * time.Millisecond

// epoch is the clock time of the first request: the module takes 0 for long ago.
const epoch = time.Hour

// Play plays an experiment once.
func Play(e *experiment.Experiment, policy experiment.Policy, tune Tune) (*audit.Audit, audit.Metrics, error) {
	return PlayWithExchange(e, policy, tune, LoadExchange{})
}

// PlayTold is Play with nodes that tell one another what they have at servers.
func PlayWithExchange(e *experiment.Experiment, policy experiment.Policy, tune Tune, exchange LoadExchange) (*audit.Audit, audit.Metrics, error) {
	p := &player{e: e, policy: policy, tune: tune, exchangeSettings: exchange, audit: audit.New(), fleet: world.NewFleet(e), place: map[string]int{},
		replaced: map[string]bool{}, waiting: map[*world.Job]*attempt{}, streams: world.NewStreams(e, "c"), rng: rand.New(rand.NewPCG(e.Seed, 0x1ab))}
	p.state = make([]balancer.ServerState, len(p.fleet.Servers))
	p.unreachable, p.crashed = make([]bool, len(p.state)), make([]bool, len(p.state))
	for i, s := range p.fleet.Servers {
		p.place[s.ID] = i
	}
	zones := e.NodeZones()
	lags := e.RegistryLags()
	for i, zone := range zones {
		n := &node{index: i, zone: zone, lag: lags[i], nodeCount: len(zones), requests: map[string]*request{}, open: map[int]bool{}}
		p.nodes = append(p.nodes, n)
		if err := p.start(n); err != nil {
			return nil, audit.Metrics{}, err
		}
		p.arrive(n)
	}
	for _, f := range e.Faults {
		if err := p.schedule(f); err != nil {
			return nil, audit.Metrics{}, err
		}
	}
	if exchange.Age > 0 {
		p.exchange(p.drawLinks())
	}
	p.at(0, p.sample)
	if policy == DelayedState {
		p.observeLoads()
	}
	end := e.TotalDuration()
	for _, c := range e.Classes {
		end = max(end, e.TotalDuration()+c.Deadline+time.Second)
	}
	for at, do, ok := p.events.Next(); ok && at <= end; at, do, ok = p.events.Next() {
		p.now = at
		do()
	}
	for _, s := range p.fleet.Servers {
		p.audit.RecordServerEnd(s, p.now)
	}
	return p.audit, p.audit.Metrics(e.WarmUp, e.TotalDuration(), audit.Capacities(e)), nil
}

func (p *player) at(t time.Duration, do func()) {
	p.events.Add(max(t, p.now), do)
}

// start gives a node a module that knows the list.
func (p *player) start(n *node) error {
	n.incarnation++
	if p.policy != experiment.Program {
		n.balancer = &balancer.Balancer{}
		p.sendList(n, nil)
		return nil
	}
	set, err := nodefile.Settings(p.e, nodefile.Node{Index: n.index, Copies: n.nodeCount, Zone: n.zone})
	if err != nil {
		return err
	}
	if p.tune != nil {
		p.tune(&set)
	}
	if n.balancer, err = balancer.New(set, p.rng.Uint64()); err != nil {
		return fmt.Errorf("node %d: %w", n.index, err)
	}
	p.sendList(n, nil)
	return nil
}

// tell gives a node the list as it stands now; names are the uids that have gone since.
func (p *player) sendList(n *node, removed []string) {
	list := balancer.ServerList{Full: len(removed) == 0}
	n.listed = n.listed[:0]
	for i, s := range p.fleet.Servers {
		server := balancer.Server{ID: s.ID, Zone: s.Zone, State: p.state[i], Size: s.Spec.Size}
		if s.SlowStartAt >= 0 {
			server.Boot = epoch + s.SlowStartAt
		}
		if server.State == balancer.Ready {
			n.listed = append(n.listed, s.ID)
		} else {
			p.audit.RecordRemoval(n.index, s.ID, p.now)
		}
		list.Servers = append(list.Servers, server)
	}
	for _, id := range removed {
		list.Servers = append(list.Servers, balancer.Server{ID: id, State: balancer.Removed})
		p.audit.RecordRemoval(n.index, id, p.now)
	}
	if p.policy == experiment.Program && n.balancer != nil {
		p.handle(n, list)
	}
}

// tellAll has every node hear of the list as it stands, each after its lag.
func (p *player) sendListToAll(removed ...string) {
	for _, n := range p.nodes {
		p.at(p.now+n.lag, func() { p.sendList(n, removed) })
	}
}

// isDown says that no load is meant for the server at a place.
func (p *player) isDown(place int) bool {
	return p.unreachable[place] || p.crashed[place] || p.fleet.Servers[place].Fault == experiment.Hang || p.state[place] != balancer.Ready
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
	p.audit.RecordSample(s)
	p.at(p.now+audit.SampleEvery, p.sample)
}
