// Package experiment holds what the fault bench is to play: a fleet of nodes and servers in zones, clients, and a timetable of
// faults, read from a file in HCL and checked whole. It plays nothing itself.
package experiment

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Experiment is one day on the bench. Times of faults count from the first request.
type Experiment struct {
	Name            string
	Note            string // what it is for, in a sentence
	Seed            uint64
	WarmUp          time.Duration // not measured
	Measure         time.Duration
	ProbeInterval   time.Duration // between two probes of nodes by nodes; 0: they do not know one another
	ZoneStateMaxAge time.Duration // what nodes tell one another of zones is fresh until it is as old; 0: they tell nothing

	Zones    []Zone
	Nodes    []Nodes
	Servers  []Servers
	Classes  []Class
	Clients  Clients
	Links    []Link
	Registry Registry
	Faults   []Fault
}

// Length is how long clients ask.
func (e *Experiment) TotalDuration() time.Duration { return e.WarmUp + e.Measure }

// Policy says who picks the server of a request.
type Policy string

// Policies. All but Program are for comparison.
const (
	Program Policy = "program" // the decision module, in processes or on virtual time
	Random  Policy = "random"  // any server that the node's list has in service
	JSQ     Policy = "jsq"     // the server that holds least for its slots, by what all hold now: no node can know that
)

// Zone is a place whose links to others can fail.
type Zone struct{ Name, Region string }

// Nodes is a group of nodes, dealt out over its zones in turn.
type Nodes struct {
	Name        string
	Count       int
	Zones       []string
	RateFactor  float64 // requests against the mean of all nodes
	PollChoices int     // servers that a node asks how much they hold before it sends a request to one; 0: none
}

// Servers is a group of servers, dealt out over its zones in turn.
type Servers struct {
	Name                string
	Count               int
	Zones               []string
	Slots               int           // requests in work at once
	Queue               int           // that wait; more are rejected
	Service             time.Duration // mean time of a request's work
	ServiceDistribution Distribution
	Size                float64 // as listed; 0: not told
	ReportsLoad         bool    // answers say how many requests the server holds
	SlowStartMinimum    float64 // share of its speed that a server has when it starts
	SlowStartWindow     time.Duration
}

// Draw is how times of service vary.
type Distribution string

// Draws.
const (
	Exponential Distribution = "exponential"
	Uniform     Distribution = "uniform" // half to one and a half of the mean
	Constant    Distribution = "constant"
)

// Time draws a time of service.
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
	Share            float64 // of all requests
	PriorityWeight   float64 // of one that is served within its latency objective
}

// Callers come in an open stream: they do not wait for answers.
type Clients struct {
	Rate        float64 // requests a second at a node, on average over all; 0: what Utilisation asks for
	Utilisation float64 // of all slots of all servers
	Retries     int     // that a client makes after a refusal or a failed safe request
	RetryDelay  time.Duration
	Patience    time.Duration // after which a client leaves; 0: it waits until the deadline
}

// Link is what lies between two zones, in both directions.
type Link struct {
	From, To      string
	Delay, Jitter time.Duration // one way
}

// Registry tells nodes of servers.
type Registry struct {
	MinLag time.Duration // after which a node hears of a change, and
	MaxLag time.Duration // the longest: each node has a lag of its own between the two
}

// Kind says what a fault does.
type Kind string

// Faults of links act on all traffic between two sets of zones, those of node processes and of servers on some of a group.
const (
	Cut        Kind = "cut"       // says nothing in either direction; new connections never come up
	CutForward Kind = "cut_there" // nothing from a node reaches a server
	CutReturn  Kind = "cut_back"  // nothing from a server reaches a node: requests run and no answer comes
	Reset      Kind = "reset"     // connections are reset, new ones too
	Refuse     Kind = "refuse"    // new connections are refused
	Slow       Kind = "slow"      // Delay, Jitter, Loss and Bandwidth are added

	Kill            Kind = "kill"    // SIGKILL; started again at the end
	Stop            Kind = "stop"    // SIGSTOP, and SIGCONT at the end
	Restart         Kind = "restart" // SIGTERM, and started again
	ChangeNodeCount Kind = "recount" // a reload that changes how many copies there are said to be
	ClockSkew       Kind = "skew"    // SIGKILL, and started again with a clock that is off

	Crash       Kind = "crash"   // the server's process dies: connections are reset, new ones refused; cold at the end
	MachineLoss Kind = "lose"    // its machine vanishes: silence; cold at the end
	Hang        Kind = "hang"    // takes requests and answers none
	Errors      Kind = "errors"  // answers 500 at once
	Slowdown    Kind = "drag"    // works Factor times as long
	Replace     Kind = "replace" // drained, and another under a new id in its place

	RegistryOutage Kind = "mute" // the registry says nothing
)

// Target is what kind of thing a fault strikes.
type Target int

// Targets.
const (
	TargetLinks Target = iota
	TargetNodes
	TargetServers
	TargetRegistry
)

// Targets of each kind.
var targets = map[Kind]Target{Cut: TargetLinks, CutForward: TargetLinks, CutReturn: TargetLinks, Reset: TargetLinks, Refuse: TargetLinks, Slow: TargetLinks,
	Kill: TargetNodes, Stop: TargetNodes, Restart: TargetNodes, ChangeNodeCount: TargetNodes, ClockSkew: TargetNodes,
	Crash: TargetServers, MachineLoss: TargetServers, Hang: TargetServers, Errors: TargetServers, Slowdown: TargetServers, Replace: TargetServers, RegistryOutage: TargetRegistry}

// Target is what the kind strikes.
func (k Kind) Target() Target { return targets[k] }

// RegistrySide is what a fault's Far requests the links between nodes and the registry.
const RegistryZone = "registry"

// Fault is one thing that goes wrong from one instant to another.
type Fault struct {
	Name        string
	Kind        Kind
	From, To    time.Duration
	OnsetSpread time.Duration // the onset is spread over so long

	NodeZones, ServerZones []string // zones of the nodes, and of the servers, that links lie between; RegistrySide is the registry's side
	BothDirections         bool     // of cut: the links from nodes in Far to servers in Near as well
	Fraction               float64  // share of the links, nodes or servers that are struck
	Group                  string   // of nodes or servers; empty: all
	Count                  int      // that are struck, instead of a share; for recount: copies that there are said to be

	Factor        float64       // of drag
	Offset        time.Duration // of skew
	Delay, Jitter time.Duration // of slow
	Loss          float64       // of slow: share of pieces that come a retransmission later, and of datagrams that don't come
	Duplicate     float64       // of slow: share of datagrams that come twice
	Reorder       float64       // of slow: share of datagrams that are held back behind later ones
	Bandwidth     int64         // of slow: bytes a second; 0: no bound
}

// Lies says that links from nodes in one zone to servers in another are among those that the fault is of.
func (f Fault) AffectsLink(near, far string) bool {
	return slices.Contains(f.NodeZones, near) && slices.Contains(f.ServerZones, far) || f.BothDirections && slices.Contains(f.ServerZones, near) && slices.Contains(f.NodeZones, far)
}

// Struck draws which of n things the fault strikes, the same for the same seed.
func (f Fault) Select(seed uint64, n int) []int {
	want := int(f.Fraction*float64(n) + 0.5)
	if f.Count > 0 && f.Kind != ChangeNodeCount {
		want = min(f.Count, n)
	}
	h := uint64(14695981039346656037)
	for _, c := range f.Name {
		h = (h ^ uint64(c)) * 1099511628211
	}
	struck := rand.New(rand.NewPCG(seed, h)).Perm(n)[:want]
	slices.Sort(struck)
	return struck
}

// NodeZones are the zones of all nodes, in their order.
func (e *Experiment) NodeZones() (zones []string) {
	for _, g := range e.Nodes {
		for i := range g.Count {
			zones = append(zones, g.Zones[i%len(g.Zones)])
		}
	}
	return zones
}

// NodeGroup is the group of the i-th node.
func (e *Experiment) NodeGroup(i int) Nodes {
	for _, g := range e.Nodes {
		if i -= g.Count; i < 0 {
			return g
		}
	}
	return Nodes{}
}

// Lags are how long after the registry each node hears of a change.
func (e *Experiment) RegistryLags() []time.Duration {
	rng := rand.New(rand.NewPCG(e.Seed, 0xa6e7))
	lags := make([]time.Duration, len(e.NodeZones()))
	for i := range lags {
		lags[i] = e.Registry.MinLag + time.Duration(rng.Float64()*float64(max(0, e.Registry.MaxLag-e.Registry.MinLag)))
	}
	return lags
}

// Slots is how many requests all servers have in work at most.
func (e *Experiment) TotalSlots() (n int) {
	for _, g := range e.Servers {
		n += g.Count * g.Slots
	}
	return n
}

// Rates are the requests a second of each node.
func (e *Experiment) NodeRates() (rates []float64) {
	var all, times float64
	for _, g := range e.Nodes {
		times += float64(g.Count) * g.RateFactor
	}
	for _, g := range e.Nodes {
		for range g.Count {
			rates = append(rates, g.RateFactor)
		}
	}
	all = e.Clients.Rate * float64(len(rates))
	if e.Clients.Rate == 0 {
		for _, g := range e.Servers {
			all += e.Clients.Utilisation * float64(g.Count*g.Slots) / g.Service.Seconds()
		}
	}
	for i := range rates {
		rates[i] *= all / times
	}
	return rates
}

// Region is the region of a zone.
func (e *Experiment) ZoneRegion(zone string) string {
	for _, z := range e.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// Between is the link between two zones, in either order.
func (e *Experiment) LinkBetween(a, b string) Link {
	for _, l := range e.Links {
		if l.From == a && l.To == b || l.From == b && l.To == a {
			return l
		}
	}
	return Link{From: a, To: b}
}

// Places is how many servers there are.
func (e *Experiment) ServerCount() (n int) {
	for _, g := range e.Servers {
		n += g.Count
	}
	return n
}

// Struck are the places of the nodes or servers that a fault strikes, of its group.
func (e *Experiment) Targets(f Fault) (struck []int) {
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
	var in []int
	for i, g := range groups {
		if f.Group == "" || g == f.Group {
			in = append(in, i)
		}
	}
	for _, k := range f.Select(e.Seed, len(in)) {
		struck = append(struck, in[k])
	}
	return struck
}
