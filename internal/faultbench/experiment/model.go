// Package experiment describes an experiment of the fault bench: a fleet of nodes and servers in zones, clients, and a
// schedule of faults, read from an HCL file and validated. It does not run experiments.
package experiment

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Experiment describes one run of the fault bench. Fault times are relative to the first request.
type Experiment struct {
	Name            string
	Note            string // purpose, in one sentence
	Seed            uint64
	WarmUp          time.Duration // excluded from the metrics
	Measure         time.Duration
	ProbeInterval   time.Duration // between membership probes; 0: nodes do not know each other
	ZoneStateMaxAge time.Duration // after which exchanged zone state is stale; 0: none is exchanged

	Zones    []Zone
	Nodes    []Nodes
	Servers  []Servers
	Classes  []Class
	Clients  Clients
	Links    []Link
	Registry Registry
	Faults   []Fault
}

// TotalDuration returns how long clients send requests, warm-up included.
func (e *Experiment) TotalDuration() time.Duration { return e.WarmUp + e.Measure }

// Policy selects how the server of a request is picked.
type Policy string

// Policies. All but Program are for comparison.
const (
	Program Policy = "program" // the balancer, in node processes or in virtual time
	Random  Policy = "random"  // a random server that is in service by the node's list
	JSQ     Policy = "jsq"     // the server with the fewest requests per slot at this instant, which no real node can know
)

// Zone is a zone whose links to other zones can fail.
type Zone struct{ Name, Region string }

// Nodes is a group of nodes, assigned to its zones round-robin.
type Nodes struct {
	Name        string
	Count       int
	Zones       []string
	RateFactor  float64 // request rate relative to the other nodes
	PollChoices int     // servers polled for their load per request; 0: none
}

// Servers is a group of servers, assigned to its zones round-robin.
type Servers struct {
	Name                string
	Count               int
	Zones               []string
	Slots               int           // requests served concurrently
	Queue               int           // maximum queued requests; more are rejected
	Service             time.Duration // mean service time
	ServiceDistribution Distribution
	Size                float64 // in the server list; 0: omitted
	ReportsLoad         bool    // replies carry the number of requests at the server
	SlowStartMinimum    float64 // fraction of full speed at the start
	SlowStartWindow     time.Duration
}

// Distribution is the distribution of service times.
type Distribution string

// Distributions.
const (
	Exponential Distribution = "exponential"
	Uniform     Distribution = "uniform" // 0.5 to 1.5 times the mean
	Constant    Distribution = "constant"
)

// Sample returns a random service time.
func (d Distribution) Sample(rng *rand.Rand, mean time.Duration) time.Duration {
	switch d {
	case Constant:
		return mean
	case Uniform:
		return time.Duration((0.5 + rng.Float64()) * float64(mean))
	}
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

// Class is a class of requests.
type Class struct {
	Name             string
	Effect           string // safe or unsafe
	LatencyObjective time.Duration
	Deadline         time.Duration
	Share            float64 // relative to the other classes
	PriorityWeight   float64 // of a request served within its latency objective
}

// Clients send requests in an open loop, without waiting for responses.
type Clients struct {
	Rate        float64 // mean requests per second per node; 0: derived from Utilisation
	Utilisation float64 // fraction of the capacity of all servers
	Retries     int     // maximum retries after a rejection or a failed safe request
	RetryDelay  time.Duration
	Patience    time.Duration // after which a client disconnects; 0: it waits until the deadline
}

// Link is the network link between two zones, in both directions.
type Link struct {
	From, To      string
	Delay, Jitter time.Duration // one way
}

// Registry describes the registry that provides nodes with the server list.
type Registry struct {
	MinLag time.Duration // minimum delay until a node receives a change
	MaxLag time.Duration // maximum delay; each node has a random lag between the two
}

// Kind is the kind of a fault.
type Kind string

// Link faults affect all traffic between two sets of zones; node and server faults affect a selection of a group.
const (
	Cut        Kind = "cut"       // drops traffic in both directions; new connections are never established
	CutForward Kind = "cut_there" // drops traffic from nodes to servers
	CutReturn  Kind = "cut_back"  // drops traffic from servers to nodes: requests run and no reply arrives
	Reset      Kind = "reset"     // resets connections, new ones included
	Refuse     Kind = "refuse"    // refuses new connections
	Slow       Kind = "slow"      // adds Delay, Jitter, Loss, Duplicate, Reorder and Bandwidth

	Kill            Kind = "kill"         // SIGKILL; restarted at the end
	Stop            Kind = "stop"         // SIGSTOP, and SIGCONT at the end
	Restart         Kind = "restart"      // SIGTERM, then restarted
	ChangeNodeCount Kind = "recount"      // reload with another configured node count
	ClockSkew       Kind = "skew"         // SIGKILL, then restarted with a clock offset
	Terminate       Kind = "term"         // SIGTERM twice with SIGHUP between, SIGKILL at the earliest time the platform allows, then restarted
	Reload          Kind = "reload"       // SIGHUP every 0.5 s
	Hold            Kind = "hold"         // SIGSTOP for up to Delay, again and again, with SIGCONT between
	IdleClients     Kind = "idle_clients" // Count idle client connections at each node

	Crash       Kind = "crash"    // the server process dies: connections are reset, new ones refused; slow start at the end
	MachineLoss Kind = "lose"     // the machine is lost: no traffic at all; slow start at the end
	Hang        Kind = "hang"     // accepts requests and never replies
	Errors      Kind = "errors"   // replies with status 500 immediately
	Slowdown    Kind = "drag"     // multiplies service times by Factor
	Replace     Kind = "replace"  // drained, then replaced by a server with a new id
	Repeat      Kind = "repeat"   // sends a Share of replies a second time, after Delay and up to Jitter more
	Noise       Kind = "noise"    // sends bytes that are no HTTP behind a Share of replies, after Delay and up to Jitter more
	Truncate    Kind = "truncate" // ends the connection halfway through a Share of replies
	LongReplies Kind = "long"     // pads a Share of replies so that nodes stream them
	StopInReply Kind = "stall"    // sends the head of a Share of replies, padded so that nodes stream them, and nothing more

	SlowReplies Kind = "slow_reply" // sends a Share of replies in parts at Bandwidth, with a length, in chunks or until the close
	SlowReads   Kind = "slow_read"  // reads the bodies of a Share of requests at Bandwidth, with a small buffer

	SlowClients Kind = "slow_clients" // a Share of the clients of nodes have small buffers and long bodies, which they send, and read replies, at Bandwidth or at once

	RegistryOutage Kind = "mute" // the registry does not reply
)

// Target is the type of component that a fault affects.
type Target int

// Targets.
const (
	TargetLinks Target = iota
	TargetNodes
	TargetServers
	TargetRegistry
)

// targets maps each kind of fault to its target.
var targets = map[Kind]Target{Cut: TargetLinks, CutForward: TargetLinks, CutReturn: TargetLinks, Reset: TargetLinks, Refuse: TargetLinks, Slow: TargetLinks,
	Kill: TargetNodes, Stop: TargetNodes, Restart: TargetNodes, ChangeNodeCount: TargetNodes, ClockSkew: TargetNodes,
	Terminate: TargetNodes, Reload: TargetNodes, Hold: TargetNodes, IdleClients: TargetNodes,
	Crash: TargetServers, MachineLoss: TargetServers, Hang: TargetServers, Errors: TargetServers, Slowdown: TargetServers, Replace: TargetServers,
	Repeat: TargetServers, Noise: TargetServers, Truncate: TargetServers, LongReplies: TargetServers, StopInReply: TargetServers,
	SlowReplies: TargetServers, SlowReads: TargetServers, SlowClients: TargetNodes,
	RegistryOutage: TargetRegistry}

// Target returns the type of component that faults of the kind affect.
func (k Kind) Target() Target { return targets[k] }

// SpoilsReplies reports whether servers with a fault of the kind run requests as usual and spoil a Share of the replies.
func (k Kind) SpoilsReplies() bool {
	return k == Repeat || k == Noise || k == Truncate || k == LongReplies || k == StopInReply || k.IsSlow()
}

// IsSlow reports whether the kind makes a Share of transfers slow.
func (k Kind) IsSlow() bool { return k == SlowReplies || k == SlowReads || k == SlowClients }

// RegistryZone is the name in Fault.ServerZones that selects the links between nodes and the registry.
const RegistryZone = "registry"

// Fault is a fault that lasts from From to To.
type Fault struct {
	Name        string
	Kind        Kind
	From, To    time.Duration
	OnsetSpread time.Duration // the targets fail one after the other over this time

	NodeZones, ServerZones []string // endpoints of the affected links; ServerZones may contain RegistryZone
	BothDirections         bool     // for Cut: also affects links from nodes in ServerZones to servers in NodeZones
	Fraction               float64  // fraction of the links, nodes or servers that is affected
	Group                  string   // of nodes or servers; empty: all groups
	Count                  int      // affected targets, overrides Fraction; for ChangeNodeCount: the configured node count; for IdleClients: connections
	Share                  float64  // fraction of the replies or, for SlowClients, requests, for kinds that SpoilsReplies

	Factor        float64       // for Slowdown
	Offset        time.Duration // for ClockSkew
	Delay, Jitter time.Duration // for Slow, Repeat and Noise; for Hold only Delay
	Loss          float64       // for Slow: fraction of segments delayed by a retransmission and of datagrams dropped
	Duplicate     float64       // for Slow: fraction of datagrams delivered twice
	Reorder       float64       // for Slow: fraction of datagrams delayed so that later ones overtake them
	Bandwidth     int64         // for Slow: bytes per second; 0: unlimited. For kinds that are slow: bytes per second
}

// AffectsLink reports whether the fault affects links from nodes in one zone to servers in another.
func (f Fault) AffectsLink(near, far string) bool {
	return slices.Contains(f.NodeZones, near) && slices.Contains(f.ServerZones, far) || f.BothDirections && slices.Contains(f.ServerZones, near) && slices.Contains(f.NodeZones, far)
}

// LinksCut reports whether a fault may have silenced links between two run times.
func (e *Experiment) LinksCut(from, to time.Duration) bool {
	return slices.ContainsFunc(e.Faults, func(f Fault) bool {
		switch f.Kind {
		case Cut, CutForward, CutReturn, Reset, MachineLoss, Crash, Replace:
			return f.From <= to && from <= f.To+f.OnsetSpread
		case Slow: // a lost segment comes again after a timeout
			return f.Loss > 0 && f.From <= to && from <= f.To
		}
		return false
	})
}

// Select returns the sorted indices of the targets among n candidates. The selection is deterministic for a seed.
func (f Fault) Select(seed uint64, n int) []int {
	count := int(f.Fraction*float64(n) + 0.5)
	if f.Count > 0 && f.Kind != ChangeNodeCount && f.Kind != IdleClients {
		count = min(f.Count, n)
	}
	h := uint64(14695981039346656037)
	for _, c := range f.Name {
		h = (h ^ uint64(c)) * 1099511628211
	}
	selected := rand.New(rand.NewPCG(seed, h)).Perm(n)[:count]
	slices.Sort(selected)
	return selected
}

// NodeZones returns the zone of each node, in order.
func (e *Experiment) NodeZones() (zones []string) {
	for _, g := range e.Nodes {
		for i := range g.Count {
			zones = append(zones, g.Zones[i%len(g.Zones)])
		}
	}
	return zones
}

// NodeGroup returns the group of the i-th node.
func (e *Experiment) NodeGroup(i int) Nodes {
	for _, g := range e.Nodes {
		if i -= g.Count; i < 0 {
			return g
		}
	}
	return Nodes{}
}

// RegistryLags returns the delay with which each node receives changes from the registry.
func (e *Experiment) RegistryLags() []time.Duration {
	rng := rand.New(rand.NewPCG(e.Seed, 0xa6e7))
	lags := make([]time.Duration, len(e.NodeZones()))
	for i := range lags {
		lags[i] = e.Registry.MinLag + time.Duration(rng.Float64()*float64(max(0, e.Registry.MaxLag-e.Registry.MinLag)))
	}
	return lags
}

// TotalSlots returns the total number of slots of all servers.
func (e *Experiment) TotalSlots() (n int) {
	for _, g := range e.Servers {
		n += g.Count * g.Slots
	}
	return n
}

// NodeRates returns the request rate of each node, in requests per second.
func (e *Experiment) NodeRates() (rates []float64) {
	var total, factors float64
	for _, g := range e.Nodes {
		factors += float64(g.Count) * g.RateFactor
	}
	for _, g := range e.Nodes {
		for range g.Count {
			rates = append(rates, g.RateFactor)
		}
	}
	total = e.Clients.Rate * float64(len(rates))
	if e.Clients.Rate == 0 {
		for _, g := range e.Servers {
			total += e.Clients.Utilisation * float64(g.Count*g.Slots) / g.Service.Seconds()
		}
	}
	for i := range rates {
		rates[i] *= total / factors
	}
	return rates
}

// ZoneRegion returns the region of a zone.
func (e *Experiment) ZoneRegion(zone string) string {
	for _, z := range e.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// LinkBetween returns the link between two zones, in either order.
func (e *Experiment) LinkBetween(a, b string) Link {
	for _, l := range e.Links {
		if l.From == a && l.To == b || l.From == b && l.To == a {
			return l
		}
	}
	return Link{From: a, To: b}
}

// ServerCount returns the number of servers.
func (e *Experiment) ServerCount() (n int) {
	for _, g := range e.Servers {
		n += g.Count
	}
	return n
}

// Targets returns the indices of the nodes or servers that a fault affects, among those of its group.
func (e *Experiment) Targets(f Fault) (targets []int) {
	var groups []string
	if f.Kind.Target() == TargetNodes {
		for _, g := range e.Nodes {
			groups = append(groups, slices.Repeat([]string{g.Name}, g.Count)...)
		}
	} else {
		for _, g := range e.Servers {
			groups = append(groups, slices.Repeat([]string{g.Name}, g.Count)...)
		}
	}
	var candidates []int
	for i, g := range groups {
		if f.Group == "" || g == f.Group {
			candidates = append(candidates, i)
		}
	}
	for _, k := range f.Select(e.Seed, len(candidates)) {
		targets = append(targets, candidates[k])
	}
	return targets
}
