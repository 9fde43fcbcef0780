// Package simulation plays large fleets of machines without I/O on virtual time: their datagrams get lost, come late, their nodes
// sleep, die and are cut off from one another, all from a seed. What the machines are it does not know.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"damsontrestle/internal/eventqueue"
)

// World is what happens to a fleet.
type World struct {
	Nodes, Zones   int
	FirstZoneNodes int           // nodes of the first zone; 0: as many as in the others
	Delay          time.Duration // of a datagram: from a tenth of it up to it
	Loss           float64       // share of datagrams
	TailShare      float64       // share that takes up to fifty times as long
	SleepShare     float64       // share of the nodes that sleep for SleepFor at a time, again and again
	SleepTime      time.Duration
	DeathShare     float64       // share of the nodes that die half way
	CutFrom        time.Duration // the first zone is cut off from here on
	CutTo          time.Duration
	OneWay         bool // what the first zone sends is lost, what it is sent is not
	BadLink        bool // three in four of the first node's datagrams are lost, each way
	Duration       time.Duration
	Seed           uint64
}

// Check says what of a world is out of range.
func (w World) Check() error {
	share := func(v float64) bool { return v >= 0 && v < 1 }
	switch {
	case w.Nodes < 1 || w.Nodes > 20000 || w.Zones < 1 || w.Zones > w.Nodes:
		return fmt.Errorf("crowd: %d nodes in %d zones; allowed: 1 to 20000, in up to as many", w.Nodes, w.Zones)
	case w.FirstZoneNodes < 0 || w.FirstZoneNodes > w.Nodes-w.Zones+1 || w.FirstZoneNodes > 0 && w.FirstZoneNodes < w.Nodes && w.Zones == 1:
		return fmt.Errorf("crowd: %d nodes of %d in the first of %d zones; allowed: so many that each has one", w.FirstZoneNodes, w.Nodes, w.Zones)
	case w.Delay <= 0 || w.Duration <= 0 || w.Duration > time.Hour:
		return fmt.Errorf("crowd: a delay of %v over %v; allowed: above 0, and up to 1h", w.Delay, w.Duration)
	case !share(w.Loss) || !share(w.TailShare) || !share(w.SleepShare) || !(w.DeathShare >= 0 && w.DeathShare <= 1) || w.SleepShare > 0 && w.SleepTime <= 0:
		return fmt.Errorf("crowd: loss %v, tail %v, asleep %v for %v, die %v; allowed: shares, and a time to sleep", w.Loss, w.TailShare, w.SleepShare, w.SleepTime, w.DeathShare)
	}
	return nil
}

// ZoneOf is the zone of the i-th node.
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

// cut says that nothing comes from one node to another now.
func (w World) blocks(from, to int, now time.Duration) bool {
	a, b := w.ZoneOf(from), w.ZoneOf(to)
	return now >= w.CutFrom && now < w.CutTo && a != b && (a == 0 || b == 0 && !w.OneWay)
}

// Datagram is one on its way out.
type Datagram struct {
	To   int
	Data []byte
}

// Machine is what a node does. Times are of the node's own clock.
type Machine interface {
	// Tick does what is due, and says when the next is.
	Tick(now time.Duration) []Datagram
	Next() time.Duration
	Receive(now time.Duration, from int, data []byte) []Datagram
}

// Node is one of a fleet.
type Node struct {
	Machine       Machine
	Offset        time.Duration // of its clock
	Dead          bool
	BytesSent     int // that it sent
	DatagramsSent int // datagrams

	asleepUntil time.Duration // it sleeps
	queued      []event       // what came meanwhile
	nextTick    time.Duration // when the next comes
}

// event is something that happens to a node.
type event struct {
	node     int
	from     int
	datagram []byte // nil: the time for a tick
}

// mostHeld is how many datagrams wait for a sleeper.
const maxQueued = 200

// Fleet is a world that is played.
type Fleet struct {
	World
	Nodes []*Node
	Now   time.Duration
	Rand  *rand.Rand // of what is drawn
	// Look is called every LookEvery; an error ends the play. Died is called when nodes have died.
	Observe         func() error
	ObserveInterval time.Duration
	OnDeaths        func()

	queue eventqueue.Queue[event]
}

// New is a fleet without machines.
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

// Clock is what a node's clock shows.
func (f *Fleet) Clock(i int) time.Duration { return f.Nodes[i].Offset + f.Now }

// Awake says that a node is there and does not sleep.
func (f *Fleet) Awake(i int) bool { return !f.Nodes[i].Dead && f.Nodes[i].asleepUntil <= f.Now }

// wake has a node tick at a time, instead of at any other.
func (f *Fleet) scheduleTick(node int, at time.Duration) {
	f.Nodes[node].nextTick = at
	f.queue.Add(at, event{node: node})
}

// Play plays it to its end. Nodes begin within a while of one another.
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

// happen has an event happen to its node.
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
		return // another came in its stead
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

// Traffic is what nodes that live have sent in a second, on average, and the one that sent most.
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
