// Package simulation runs large fleets of state machines without I/O on virtual time. Datagrams are lost or delayed and nodes
// pause, die and are partitioned, all reproducibly from a seed. It is independent of the protocol that the machines implement.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"damsontrestle/internal/eventqueue"
)

// World configures a fleet and its faults. Shares are from 0 to 1.
type World struct {
	Nodes, Zones   int
	FirstZoneNodes int           // nodes of the first zone; 0: as many as in each other zone
	Delay          time.Duration // maximum delay of a datagram; the minimum is a tenth of it
	Loss           float64       // share of datagrams that are lost
	TailShare      float64       // share of datagrams whose delay is 50 times as long
	SleepShare     float64       // share of nodes that are paused at any time, for SleepTime each time
	SleepTime      time.Duration
	DeathShare     float64       // share of nodes that die halfway through Duration
	CutFrom        time.Duration // the first zone is partitioned from CutFrom until CutTo
	CutTo          time.Duration
	OneWay         bool // the partition drops only what the first zone sends
	BadLink        bool // 75 % of the datagrams from and to the first node are lost
	Duration       time.Duration
	Seed           uint64
}

// Check returns an error if a field is out of range.
func (w World) Check() error {
	share := func(v float64) bool { return v >= 0 && v < 1 }
	switch {
	case w.Nodes < 1 || w.Nodes > 20000 || w.Zones < 1 || w.Zones > w.Nodes:
		return fmt.Errorf("simulation: %d nodes in %d zones; allowed: 1 to 20000 nodes, and 1 to as many zones", w.Nodes, w.Zones)
	case w.FirstZoneNodes < 0 || w.FirstZoneNodes > w.Nodes-w.Zones+1 || w.FirstZoneNodes > 0 && w.FirstZoneNodes < w.Nodes && w.Zones == 1:
		return fmt.Errorf("simulation: %d nodes of %d in the first of %d zones; allowed: numbers that leave each zone a node", w.FirstZoneNodes, w.Nodes, w.Zones)
	case w.Delay <= 0 || w.Duration <= 0 || w.Duration > time.Hour:
		return fmt.Errorf("simulation: delay of %v, duration of %v; allowed: both above 0, and a duration of up to 1h", w.Delay, w.Duration)
	case !share(w.Loss) || !share(w.TailShare) || !share(w.SleepShare) || !(w.DeathShare >= 0 && w.DeathShare <= 1) || w.SleepShare > 0 && w.SleepTime <= 0:
		return fmt.Errorf("simulation: loss %v, tail %v, asleep %v for %v, die %v; allowed: shares, and a sleep time above 0 if nodes sleep", w.Loss, w.TailShare, w.SleepShare, w.SleepTime, w.DeathShare)
	}
	return nil
}

// ZoneOf returns the zone of the i-th node.
func (w World) ZoneOf(i int) int {
	big := w.FirstZoneNodes
	if big == 0 {
		big = (w.Nodes + w.Zones - 1) / w.Zones
	}
	if i < big {
		return 0
	}
	return 1 + (i-big)*(w.Zones-1)/(w.Nodes-big)
}

// blocks reports whether the partition drops datagrams between the two nodes at the given time.
func (w World) blocks(from, to int, now time.Duration) bool {
	a, b := w.ZoneOf(from), w.ZoneOf(to)
	return now >= w.CutFrom && now < w.CutTo && a != b && (a == 0 || b == 0 && !w.OneWay)
}

// Datagram is an outgoing datagram.
type Datagram struct {
	To   int
	Data []byte
}

// Machine is a node's state machine. Times are those of the node's own clock.
type Machine interface {
	// Tick performs what is due. Next returns when the next tick is due.
	Tick(now time.Duration) []Datagram
	Next() time.Duration
	Receive(now time.Duration, from int, data []byte) []Datagram
}

// Node is one node of a fleet.
type Node struct {
	Machine       Machine
	Offset        time.Duration // of its clock from the fleet's
	Dead          bool
	BytesSent     int // total
	DatagramsSent int // total of datagrams sent

	asleepUntil time.Duration // in the fleet's time
	queued      []event       // datagrams that arrived during the pause
	nextTick    time.Duration // in the fleet's time; events of other ticks are superseded
}

// event is a datagram or a tick for a node.
type event struct {
	node     int
	from     int
	datagram []byte // nil: tick
}

// maxQueued is the number of datagrams that are queued for a paused node; more are lost.
const maxQueued = 200

// Fleet is a simulation of a World.
type Fleet struct {
	World
	Nodes []*Node
	Now   time.Duration
	Rand  *rand.Rand // seeded; the source of all random choices
	// Observe is called every ObserveInterval; its error ends the simulation. OnDeaths, if set, is called once nodes have died.
	Observe         func() error
	ObserveInterval time.Duration
	OnDeaths        func()

	queue eventqueue.Queue[event]
}

// New returns a fleet whose nodes have no machines yet.
func New(w World) (*Fleet, error) {
	if err := w.Check(); err != nil {
		return nil, err
	}
	f := &Fleet{World: w, Rand: rand.New(rand.NewPCG(w.Seed, 0xc0d))}
	for range w.Nodes {
		f.Nodes = append(f.Nodes, &Node{Offset: time.Duration(f.Rand.Int64N(int64(24 * time.Hour)))})
	}
	return f, nil
}

// Clock returns the time on a node's clock.
func (f *Fleet) Clock(i int) time.Duration { return f.Nodes[i].Offset + f.Now }

// Awake reports whether a node is alive and not paused.
func (f *Fleet) Awake(i int) bool { return !f.Nodes[i].Dead && f.Nodes[i].asleepUntil <= f.Now }

// scheduleTick sets the time of a node's next tick and supersedes any tick scheduled before.
func (f *Fleet) scheduleTick(node int, at time.Duration) {
	f.Nodes[node].nextTick = at
	f.queue.Add(at, event{node: node})
}

// Play runs the simulation to its end, or to the first error of Observe. Each node starts at a random time below startSpread.
func (f *Fleet) Play(startSpread time.Duration) error {
	for i := range f.Nodes {
		f.scheduleTick(i, time.Duration(f.Rand.Int64N(int64(startSpread))))
	}
	nextObservation, died := f.ObserveInterval, f.DeathShare == 0
	for at, e, ok := f.queue.Next(); ok && at < f.Duration; at, e, ok = f.queue.Next() {
		for at >= nextObservation && nextObservation < f.Duration {
			f.Now = nextObservation
			if err := f.Observe(); err != nil {
				return err
			}
			nextObservation += f.ObserveInterval
		}
		f.Now = at
		if !died && f.Now >= f.Duration/2 {
			died = true
			for _, n := range f.Nodes {
				n.Dead = f.Rand.Float64() < f.DeathShare
			}
			if f.OnDeaths != nil {
				f.OnDeaths()
			}
		}
		f.handle(e)
	}
	return nil
}

// handle delivers an event to its node. A paused node handles what was queued with its first event after the pause.
func (f *Fleet) handle(e event) {
	n := f.Nodes[e.node]
	if n.Dead {
		return
	}
	if n.asleepUntil > f.Now {
		if e.datagram == nil {
			f.scheduleTick(e.node, n.asleepUntil)
		} else if len(n.queued) < maxQueued {
			n.queued = append(n.queued, e)
		}
		return
	}
	for _, h := range n.queued {
		f.send(e.node, n.Machine.Receive(f.Clock(e.node), h.from, h.datagram))
	}
	n.queued = nil
	if e.datagram != nil {
		f.send(e.node, n.Machine.Receive(f.Clock(e.node), e.from, e.datagram))
		if due := n.Machine.Next() - n.Offset; due < n.nextTick {
			f.scheduleTick(e.node, max(f.Now, due))
		}
		return
	}
	if f.Now != n.nextTick {
		return // superseded by another tick
	}
	f.send(e.node, n.Machine.Tick(f.Clock(e.node)))
	wait := max(time.Millisecond, n.Machine.Next()-f.Clock(e.node))
	if f.SleepShare > 0 && f.Rand.Float64() < f.SleepShare*float64(wait)/float64(f.SleepTime)/(1-f.SleepShare) {
		n.asleepUntil = f.Now + f.SleepTime
	}
	f.scheduleTick(e.node, f.Now+wait)
}

func (f *Fleet) send(from int, out []Datagram) {
	n := f.Nodes[from]
	for _, d := range out {
		n.BytesSent += len(d.Data)
		n.DatagramsSent++
		if f.blocks(from, d.To, f.Now) || f.Rand.Float64() < f.Loss || f.BadLink && (from == 0 || d.To == 0) && f.Rand.Float64() < 0.75 {
			continue
		}
		maxDelay := f.Delay
		if f.Rand.Float64() < f.TailShare {
			maxDelay *= 50
		}
		f.queue.Add(f.Now+maxDelay/10+time.Duration(f.Rand.Int64N(int64(maxDelay-maxDelay/10)+1)), event{node: d.To, from: from, datagram: d.Data})
	}
}

// Traffic returns the live nodes' mean datagrams and bytes sent per second, and the highest byte rate of any of them.
func (f *Fleet) Traffic() (datagrams, bytes, maxByteRate float64) {
	living := 0
	for _, n := range f.Nodes {
		if n.Dead {
			continue
		}
		living++
		datagrams += float64(n.DatagramsSent)
		bytes += float64(n.BytesSent)
		maxByteRate = max(maxByteRate, float64(n.BytesSent)/f.Duration.Seconds())
	}
	per := float64(max(1, living)) * f.Duration.Seconds()
	return datagrams / per, bytes / per, maxByteRate
}
