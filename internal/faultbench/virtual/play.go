// Package virtual simulates an experiment in one process in virtual time. It uses the same servers, request streams, audit
// and metrics as runs on sockets, with the balancer in place of node processes. A run of seconds takes a fraction of a
// second, so that policies can be compared over many seeds; the results are then verified with processes.
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

// Tune modifies the balancer settings of a run; nil keeps them.
type Tune func(*balancer.Settings)

// node is a simulated node: a balancer, or a policy that works without one.
type node struct {
	index       int
	zone        string
	balancer    *balancer.Balancer // nil while the node is down; empty for other policies
	incarnation int
	requests    map[string]*request
	lag         time.Duration // delay of changes to the server list
	listed      []string      // ids of the servers in service, by the node's list
	open        map[int]bool  // indices of the servers that it has a connection to
	nodeCount   int
}

// request is a request that a node has accepted.
type request struct {
	world.Request
	class    experiment.Class
	attempts []*attempt
	answered bool
}

// attempt is an attempt of a request at a server.
type attempt struct {
	*audit.Attempt
	index       int
	node        *node
	request     *request
	server      *world.Server // incarnation that it was sent to
	serverIndex int
	job         *world.Job
	ended       bool
	sentAt      time.Duration
}

// player simulates one run.
type player struct {
	experiment       *experiment.Experiment
	policy           experiment.Policy
	tune             Tune
	exchangeSettings LoadExchange
	now              time.Duration
	events           eventqueue.Queue[func()]
	audit            *audit.Audit
	fleet            *world.Fleet
	serverIndex      map[string]int
	serverStates     []balancer.ServerState // by server index
	replaced         map[string]bool        // ids of replaced servers
	unreachable      []bool                 // by server index; the machine is lost
	crashed          []bool
	nodes            []*node
	streams          *world.Streams
	rng              *rand.Rand
	linkFaults       []experiment.Fault // active link faults
	queued           map[*world.Job]*attempt
	polls            int   // number of load polls
	observedLoads    []int // for DelayedState: requests at each server when last observed; -1: down
}

// DelayedState is a reference policy, available in virtual time only. It picks the less loaded of two random servers by an
// earlier observation of all servers, and rejects the request if even that server would take more than half of the latency
// objective. The service of the balancer is compared with it.
const DelayedState experiment.Policy = "late"

// delayedStateInterval is the interval of DelayedState's observations, and so their maximum age.
const delayedStateInterval = 200 * time.Millisecond

// epoch is the clock time of the first request. It is not 0, which the balancer takes as long past.
const epoch = time.Hour

// Play simulates an experiment once.
func Play(e *experiment.Experiment, policy experiment.Policy, tune Tune) (*audit.Audit, audit.Metrics, error) {
	return PlayWithExchange(e, policy, tune, LoadExchange{})
}

// PlayWithExchange is Play with nodes that exchange their request counts per server.
func PlayWithExchange(e *experiment.Experiment, policy experiment.Policy, tune Tune, exchange LoadExchange) (*audit.Audit, audit.Metrics, error) {
	p := &player{experiment: e, policy: policy, tune: tune, exchangeSettings: exchange, audit: audit.New(), fleet: world.NewFleet(e), serverIndex: map[string]int{},
		replaced: map[string]bool{}, queued: map[*world.Job]*attempt{}, streams: world.NewStreams(e, "c"), rng: rand.New(rand.NewPCG(e.Seed, 0x1ab))}
	p.serverStates = make([]balancer.ServerState, len(p.fleet.Servers))
	p.unreachable, p.crashed = make([]bool, len(p.serverStates)), make([]bool, len(p.serverStates))
	for i, s := range p.fleet.Servers {
		p.serverIndex[s.ID] = i
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
	for at, event, ok := p.events.Next(); ok && at <= end; at, event, ok = p.events.Next() {
		p.now = at
		event()
	}
	for _, s := range p.fleet.Servers {
		p.audit.RecordServerEnd(s, p.now)
	}
	return p.audit, p.audit.Metrics(e.WarmUp, e.TotalDuration(), audit.Capacities(e)), nil
}

func (p *player) at(t time.Duration, event func()) {
	p.events.Add(max(t, p.now), event)
}

// start starts a node with a new balancer and the current server list.
func (p *player) start(n *node) error {
	n.incarnation++
	if p.policy != experiment.Program {
		n.balancer = &balancer.Balancer{}
		p.sendList(n, nil)
		return nil
	}
	set, err := nodefile.Settings(p.experiment, nodefile.Node{Index: n.index, Copies: n.nodeCount, Zone: n.zone})
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

// sendList sends a node the current server list; removed are the ids of servers removed since.
func (p *player) sendList(n *node, removed []string) {
	list := balancer.ServerList{Full: len(removed) == 0}
	n.listed = n.listed[:0]
	for i, s := range p.fleet.Servers {
		server := balancer.Server{ID: s.ID, Zone: s.Zone, State: p.serverStates[i], Size: s.Spec.Size}
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

// sendListToAll sends the server list to every node, each after its lag.
func (p *player) sendListToAll(removed ...string) {
	for _, n := range p.nodes {
		p.at(p.now+n.lag, func() { p.sendList(n, removed) })
	}
}

// isDown reports whether a server is not expected to take load.
func (p *player) isDown(index int) bool {
	return p.unreachable[index] || p.crashed[index] || p.fleet.Servers[index].Fault == experiment.Hang || p.serverStates[index] != balancer.Ready
}

// sample records a sample of all servers and schedules the next one.
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
