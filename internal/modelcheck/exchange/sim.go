// Package exchange plays fleets of internal/zonestate: whole fleets on virtual time with loss, delays, cuts, deaths and sleep, for
// figures; and small ones in every order, for the explorer. Both know the truth of what nodes tell one another, and check
// every answer against it.
package exchange

import (
	"fmt"
	"net/netip"
	"time"

	"damsontrestle/internal/simulation"
	"damsontrestle/internal/zonestate"
)

// World is a fleet to be played.
type World struct {
	simulation.World
	Fresh time.Duration
}

// Seen is what came of it, after a warm-up of two fresh.
type Result struct {
	FreshShare     float64       // share of (node, zone, instant) at which the node that lives said fresh of a zone of which somebody does
	CompleteShare  float64       // of these, the share in which every living node of the zone was counted
	CountedShare   float64       // of these, the part of the zone's living nodes that was counted, mean
	MeanAge        time.Duration // that these said, mean
	MaxAge         time.Duration // and at most
	MeanSlack      time.Duration // mean of said age less true age, of the oldest part
	MaxUnderReport time.Duration // by which an age was under-reported at most; above 0 is a breach
	MaxOvercount   float64       // most parts counted beyond those that live, as a share of them
	ByteRate       float64       // a second that a node sent, mean, of what a datagram holds, with the room's tag
	MaxByteRate    float64       // and the node that sent most
	PacketRate     float64       // a second that a node sent
	MaxRows        int           // most that a node held
	RecoveryTime   time.Duration // from the end of the cut until all say fresh of all; negative: never
	Dropped        zonestate.Dropped
}

// tagSize is what the room adds to a message.
const tagSize = 12

// When membership comes to hold a dead node for suspect, and for dead.
const (
	suspectAfter = 2500 * time.Millisecond
	deadAfter    = 10 * time.Second
)

// actor is one node of a world: its machine, as the crowd drives it.
type simNode struct {
	*zonestate.Machine
	p    *simulator
	peer zonestate.Peer
	zone int
}

type simulator struct {
	*simulation.Fleet
	fresh      time.Duration
	simNodes   []*simNode
	diedAt     time.Duration
	viewDelays []time.Duration // after that, at which membership comes to know more
	result     Result
	sums       struct {
		all, fresh, whole int
		counted           float64
		age, slack        time.Duration
	}
	failure error
}

// look is how often answers are checked.
const observeInterval = 100 * time.Millisecond

// Play plays a world. The error tells of what must never be: an age under-reported, a datagram too long or malformed.
func Play(w World) (Result, error) {
	f, err := simulation.New(w.World)
	if err != nil {
		return Result{}, err
	}
	p := &simulator{Fleet: f, fresh: w.Fresh, result: Result{RecoveryTime: -1}}
	o := zonestate.Defaults(w.Fresh)
	o.Delay = max(o.Delay, w.Delay)
	for i := range f.Nodes {
		p.simNodes = append(p.simNodes, &simNode{p: p, zone: w.ZoneOf(i), peer: zonestate.Peer{ID: f.Rand.Uint64() | 1, ZoneID: zoneID(w.ZoneOf(i)),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1)}})
	}
	view := p.view(time.Hour)
	for i, a := range p.simNodes {
		if a.Machine, err = zonestate.New(f.Clock(i), a.peer, o, f.Rand.Uint64()); err != nil {
			return Result{}, fmt.Errorf("exchange: %w", err)
		}
		a.SetView(f.Clock(i), view)
		f.Nodes[i].Machine = a
	}
	f.ObserveInterval, f.Observe = observeInterval, p.observe
	f.OnDeaths = func() { p.diedAt, p.viewDelays = f.Now, []time.Duration{suspectAfter, deadAfter} }
	if err := f.Play(w.Fresh / 2); err != nil {
		return p.result, err
	}
	p.summarize()
	return p.result, p.failure
}

// sum works out what was seen.
func (p *simulator) summarize() {
	s := &p.result
	s.PacketRate, s.ByteRate, s.MaxByteRate = p.Traffic()
	for i, a := range p.simNodes {
		if p.Nodes[i].Dead {
			continue
		}
		d, t := a.Dropped, &s.Dropped
		t.Unbounded, t.Expired, t.Foreign, t.TooManyParts, t.Truncated, t.RateLimited = t.Unbounded+d.Unbounded, t.Expired+d.Expired, t.Foreign+d.Foreign, t.TooManyParts+d.TooManyParts, t.Truncated+d.Truncated, t.RateLimited+d.RateLimited
	}
	n := float64(max(1, p.sums.fresh))
	s.FreshShare = float64(p.sums.fresh) / float64(max(1, p.sums.all))
	s.CompleteShare, s.CountedShare = float64(p.sums.whole)/n, p.sums.counted/n
	s.MeanAge, s.MeanSlack = time.Duration(float64(p.sums.age)/n), time.Duration(float64(p.sums.slack)/n)
}

// Tick implements simulation.Machine.
func (a *simNode) Tick(now time.Duration) []simulation.Datagram {
	// When it was so, and one request a second of a class.
	made := float64((a.p.Now + time.Millisecond - 1).Milliseconds())
	a.SetOwnPart(now, zonestate.GroupByPage([]zonestate.Entry{{Kind: zonestate.MadeAt, Subject: 1, Value: made}, {Kind: zonestate.Demand, Subject: 2, Value: 1}}))
	return a.p.encode(a.Machine.Tick(now))
}

// Next implements simulation.Machine: a node looks at itself from time to time.
func (a *simNode) Next() time.Duration {
	return min(a.Machine.Next(), a.p.Now+a.p.Nodes[a.index()].Offset+a.p.fresh/8)
}

func (a *simNode) index() int {
	b := a.peer.Addr.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// Receive implements simulation.Machine.
func (a *simNode) Receive(now time.Duration, _ int, data []byte) []simulation.Datagram {
	m, err := zonestate.Parse(data[:len(data)-tagSize])
	if err != nil {
		a.p.failure = err
		return nil
	}
	return a.p.encode(a.Machine.Receive(now, m))
}

// written is packets as datagrams.
func (p *simulator) encode(packets []zonestate.Packet) (out []simulation.Datagram) {
	for _, x := range packets {
		data := zonestate.Append(nil, x.Message)
		if len(data) > zonestate.MaxMessage {
			p.failure = fmt.Errorf("exchange: %d bytes", len(data))
		}
		b := x.To.Addr().As4()
		out = append(out, simulation.Datagram{To: int(b[1])<<16 | int(b[2])<<8 | int(b[3]), Data: append(data, make([]byte, tagSize)...)})
	}
	return out
}

// view is what membership has, so long after a death.
func (p *simulator) view(since time.Duration) *zonestate.View {
	var all []zonestate.Peer
	for i, a := range p.simNodes {
		q := a.peer
		q.Suspect, q.Inactive = p.Nodes[i].Dead && since >= suspectAfter, p.Nodes[i].Dead && since >= deadAfter
		all = append(all, q)
	}
	return zonestate.NewView(all)
}

func zoneID(zone int) zonestate.ZoneID { return zonestate.ZoneIDOf("r", fmt.Sprint("z", zone)) }

// look checks what nodes say against the truth, after a warm-up of twice fresh.
func (p *simulator) observe() error {
	if len(p.viewDelays) > 0 && p.Now >= p.diedAt+p.viewDelays[0] {
		v := p.view(p.viewDelays[0])
		p.viewDelays = p.viewDelays[1:]
		for i, a := range p.simNodes {
			if !p.Nodes[i].Dead {
				a.SetView(p.Clock(i), v)
			}
		}
	}
	if p.Now < 2*p.fresh {
		return p.failure
	}
	living := make([]int, p.Zones)
	for i, a := range p.simNodes {
		if !p.Nodes[i].Dead {
			living[a.zone]++
		}
	}
	all := true
	for i, a := range p.simNodes {
		if !p.Awake(i) {
			continue
		}
		p.result.MaxRows = max(p.result.MaxRows, a.Size())
		for zone, n := range living {
			if n == 0 {
				continue
			}
			fresh, err := p.checkRead(a, p.Clock(i), zone, n)
			if err != nil {
				return err
			}
			all = all && fresh
		}
	}
	if all && p.result.RecoveryTime < 0 && p.CutTo > 0 && p.Now >= p.CutTo {
		p.result.RecoveryTime = p.Now - p.CutTo
	}
	return p.failure
}

// answer checks what a node says of a zone in which so many live.
func (p *simulator) checkRead(a *simNode, clock time.Duration, zone, n int) (fresh bool, err error) {
	v := a.Read(clock, zoneID(zone), zonestate.MadeAt, 1)
	d := a.Read(clock, zoneID(zone), zonestate.Demand, 2)
	p.sums.all++
	if v.PartCount > 0 && v.Freshness != zonestate.Unknown {
		real := p.Now - time.Duration(v.Amount)*time.Millisecond
		if p.result.MaxUnderReport = max(p.result.MaxUnderReport, real-v.Age); real > v.Age {
			return false, fmt.Errorf("exchange: at %v a node of zone %d was given a fact of zone %d that is %v old, for %v at most", p.Now, a.zone, zone, real, v.Age)
		}
		if v.Freshness == zonestate.Fresh {
			p.sums.slack += v.Age - real
		}
		p.result.MaxOvercount = max(p.result.MaxOvercount, float64(v.PartCount-max(v.ActiveNodes, n))/float64(max(v.ActiveNodes, n)))
		if d.Amount != float64(d.PartCount) {
			return false, fmt.Errorf("exchange: a row of %d nodes that tell 1 each has %v", d.PartCount, d.Amount)
		}
	}
	if v.Freshness != zonestate.Fresh {
		return false, nil
	}
	p.sums.fresh++
	p.sums.age += v.Age
	p.sums.counted += min(1, float64(v.PartCount)/float64(n))
	p.result.MaxAge = max(p.result.MaxAge, v.Age)
	if v.PartCount == n {
		p.sums.whole++
	}
	return true, nil
}
