// Package soak generates experiments of the fault bench from a seed: a small fleet with overlapping faults of servers, links,
// nodes and clients. The same seed gives the same experiment, so that a run can be repeated. It does not run experiments.
package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"damsontrestle/internal/faultbench/experiment"
)

// Duration is how long clients of a generated experiment send requests, warm-up included.
const Duration = 10 * time.Second

const warmUp = 500 * time.Millisecond

// Ranges of what is drawn.
const (
	maxLinkDelay    = 20 * time.Millisecond // one way
	linkJitter      = 0.3                   // of the link's delay
	maxRepeatGap    = 30 * time.Millisecond // between a reply and its repetition
	maxHold         = 150 * time.Millisecond
	idleClientCount = 600 // more than the descriptors of a node
	restartSpacing  = 1500 * time.Millisecond

	// Rates of slow transfers, in bytes per second.
	minSlowRate      = 2 << 10
	maxSlowReplyRate = 100 << 10
	minSlowReadRate  = 100 << 10
	maxSlowReadRate  = 4 << 20
)

// Streams of random numbers for a seed.
const (
	mainStream           = 0x50a4
	stoppedRepliesStream = 0x57a1
	slowTransfersStream  = 0x5106
)

// generator draws an experiment.
type generator struct {
	rng        *rand.Rand
	experiment *experiment.Experiment
}

// Generate returns the experiment of a seed.
func Generate(seed uint64) *experiment.Experiment {
	g := &generator{
		rng:        rand.New(rand.NewPCG(seed, mainStream)),
		experiment: &experiment.Experiment{Name: fmt.Sprintf("soak-%d", seed), Seed: seed, WarmUp: warmUp, Measure: Duration - warmUp},
	}
	g.drawFleet()
	g.drawClients()
	g.drawReplyFaults()
	g.drawServerFaults()
	g.drawLinkFaults()
	g.drawNodeFaults()
	g.drawStoppedReplies()
	g.drawSlowTransfers()
	return g.experiment
}

// chance returns true with a probability.
func (g *generator) chance(probability float64) bool { return g.rng.Float64() < probability }

// between returns a duration from low to high.
func (g *generator) between(low, high time.Duration) time.Duration {
	return low + time.Duration(g.rng.Float64()*float64(high-low))
}

// add adds a fault that lasts for a given time and begins when the rest of the run still allows that.
func (g *generator) add(lasts time.Duration, fault experiment.Fault) {
	fault.From = g.between(warmUp, Duration-lasts)
	fault.To = fault.From + lasts
	fault.Name = fmt.Sprintf("%s%d", fault.Kind, len(g.experiment.Faults))
	if fault.Fraction == 0 {
		fault.Fraction = 1
	}
	if fault.Kind.Target() == experiment.TargetLinks {
		fault.NodeZones, fault.ServerZones = []string{"near"}, []string{"near", "far"}
	}
	g.experiment.Faults = append(g.experiment.Faults, fault)
}

func (g *generator) drawFleet() {
	e := g.experiment
	e.Zones = []experiment.Zone{{Name: "near"}, {Name: "far"}}
	for _, zones := range [][2]string{{"near", "near"}, {"near", "far"}} {
		delay := g.between(100*time.Microsecond, maxLinkDelay)
		if zones[0] == zones[1] {
			delay /= 10
		}
		e.Links = append(e.Links, experiment.Link{From: zones[0], To: zones[1], Delay: delay, Jitter: time.Duration(linkJitter * float64(delay))})
	}
	polls := 0
	if g.chance(0.5) {
		polls = 2
	}
	e.Nodes = []experiment.Nodes{{Name: "front", Count: 2 + g.rng.IntN(2), Zones: []string{"near"}, RateFactor: 1, PollChoices: polls}}
	e.Servers = []experiment.Servers{{
		Name:                "box",
		Count:               4 + g.rng.IntN(6),
		Zones:               []string{"far", "near"},
		Slots:               8 + g.rng.IntN(24),
		Queue:               50,
		Service:             g.between(2*time.Millisecond, 20*time.Millisecond),
		ServiceDistribution: experiment.Uniform,
		ReportsLoad:         true,
		SlowStartMinimum:    0.2 + 0.3*g.rng.Float64(),
		SlowStartWindow:     3 * time.Second,
	}}
	e.Registry = experiment.Registry{MaxLag: 200 * time.Millisecond}
}

func (g *generator) drawClients() {
	e := g.experiment
	e.Classes = []experiment.Class{
		{Name: "view", Effect: "safe", LatencyObjective: 500 * time.Millisecond, Deadline: g.between(time.Second, 2*time.Second), Share: 0.4, PriorityWeight: 1},
		{Name: "note", Effect: "unsafe", LatencyObjective: 500 * time.Millisecond, Deadline: g.between(time.Second, 2*time.Second), Share: 0.4, PriorityWeight: 1},
		{Name: "tick", Effect: "unsafe", LatencyObjective: 200 * time.Millisecond, Deadline: g.between(300*time.Millisecond, 600*time.Millisecond), Share: 0.2, PriorityWeight: 1},
	}
	e.Clients = experiment.Clients{Rate: 50 + 150*g.rng.Float64(), Retries: g.rng.IntN(3), RetryDelay: 20 * time.Millisecond}
	if g.chance(0.3) {
		e.Clients.Patience = g.between(50*time.Millisecond, 300*time.Millisecond)
	}
}

// drawReplyFaults adds servers that spoil replies. Replies that are sent twice are part of every experiment.
func (g *generator) drawReplyFaults() {
	lasts := Duration - 2*time.Second
	g.add(lasts, experiment.Fault{Kind: experiment.Repeat, Fraction: 0.3 + 0.7*g.rng.Float64(), Share: 0.02 + 0.4*g.rng.Float64(), Jitter: g.between(time.Millisecond, maxRepeatGap)})
	if g.chance(0.4) {
		g.add(lasts, experiment.Fault{Kind: experiment.Noise, Fraction: 0.5, Share: 0.05, Jitter: g.between(0, maxRepeatGap)})
	}
	if g.chance(0.4) {
		g.add(lasts, experiment.Fault{Kind: experiment.Truncate, Fraction: 0.5, Share: 0.03})
	}
	if g.chance(0.5) {
		g.add(lasts, experiment.Fault{Kind: experiment.LongReplies, Fraction: 0.5, Share: 0.1})
	}
}

// drawStoppedReplies adds servers that stop behind the head of a reply. It draws from numbers of its own, so that the other faults of
// a seed stay as they were.
func (g *generator) drawStoppedReplies() {
	g.rng = rand.New(rand.NewPCG(g.experiment.Seed, stoppedRepliesStream))
	if g.chance(0.5) {
		g.add(Duration-2*time.Second, experiment.Fault{Kind: experiment.StopInReply, Fraction: 0.5, Share: 0.05})
	}
}

// drawSlowTransfers adds servers and clients that send or read slowly. It draws from numbers of its own, as drawStoppedReplies does.
func (g *generator) drawSlowTransfers() {
	g.rng = rand.New(rand.NewPCG(g.experiment.Seed, slowTransfersStream))
	lasts := Duration - 2*time.Second
	if g.chance(0.7) {
		g.add(lasts, experiment.Fault{Kind: experiment.SlowReplies, Fraction: 0.5, Share: 0.05, Bandwidth: g.rate(minSlowRate, maxSlowReplyRate)})
	}
	if g.chance(0.5) {
		g.add(lasts, experiment.Fault{Kind: experiment.SlowReads, Fraction: 0.5, Share: 0.3, Bandwidth: g.rate(minSlowReadRate, maxSlowReadRate)})
	}
	if g.chance(0.6) {
		g.add(lasts, experiment.Fault{Kind: experiment.SlowClients, Share: 0.04, Bandwidth: g.rate(minSlowRate, maxSlowReadRate)})
	}
}

// rate returns a rate from low to high, in bytes per second, whose logarithm is uniform.
func (g *generator) rate(low, high float64) int64 {
	return int64(low * math.Pow(high/low, g.rng.Float64()))
}

func (g *generator) drawServerFaults() {
	for _, kind := range []experiment.Kind{experiment.Hang, experiment.Errors, experiment.Crash} {
		if g.chance(0.3) {
			g.add(g.between(500*time.Millisecond, 2*time.Second), experiment.Fault{Kind: kind, Count: 1})
		}
	}
	if g.chance(0.5) {
		g.add(4*time.Second, experiment.Fault{Kind: experiment.Replace, Fraction: 0.4, OnsetSpread: 2 * time.Second})
	}
	if g.chance(0.4) {
		g.add(g.between(time.Second, 3*time.Second), experiment.Fault{Kind: experiment.RegistryOutage})
	}
}

func (g *generator) drawLinkFaults() {
	for range g.rng.IntN(3) {
		g.add(g.between(50*time.Millisecond, 200*time.Millisecond), experiment.Fault{Kind: experiment.Reset, Fraction: 0.5})
	}
	if g.chance(0.4) {
		g.add(g.between(time.Second, 3*time.Second), experiment.Fault{Kind: experiment.Slow, Delay: g.between(0, maxLinkDelay), Jitter: g.between(0, 5*time.Millisecond), Loss: 0.02})
	}
	if g.chance(0.2) {
		g.add(g.between(500*time.Millisecond, 1500*time.Millisecond), experiment.Fault{Kind: experiment.Cut, Fraction: 0.3})
	}
}

// drawNodeFaults adds faults of node processes. At most one kind ends processes, since the end of a process that is stopped or
// killed at the same time is not judged.
func (g *generator) drawNodeFaults() {
	if g.chance(0.6) {
		g.add(Duration-2*time.Second, experiment.Fault{Kind: experiment.Hold, Delay: g.between(20*time.Millisecond, maxHold)})
	}
	if g.chance(0.4) {
		g.add(Duration/2, experiment.Fault{Kind: experiment.Reload})
	}
	if g.chance(0.25) {
		g.add(Duration/2, experiment.Fault{Kind: experiment.IdleClients, Count: idleClientCount})
	}
	switch {
	case g.chance(0.6):
		g.add(5*time.Second, experiment.Fault{Kind: experiment.Terminate, OnsetSpread: restartSpacing})
	case g.chance(0.5):
		g.add(time.Second, experiment.Fault{Kind: experiment.Kill, Count: 1})
	case g.chance(0.5):
		g.add(time.Second, experiment.Fault{Kind: experiment.Stop, Count: 1})
	}
}
