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
type Seen struct {
	Fresh    float64       // share of (node, zone, instant) at which the node that lives said fresh of a zone of which somebody does
	Whole    float64       // of these, the share in which every living node of the zone was counted
	Counted  float64       // of these, the part of the zone's living nodes that was counted, mean
	Age      time.Duration // that these said, mean
	AgeMost  time.Duration // and at most
	Slack    time.Duration // mean of said age less true age, of the oldest part
	Short    time.Duration // by which an age was under-reported at most; above 0 is a breach
	Over     float64       // most parts counted beyond those that live, as a share of them
	Bytes    float64       // a second that a node sent, mean, of what a datagram holds, with the room's tag
	MostSent float64       // and the node that sent most
	Packets  float64       // a second that a node sent
	Rows     int           // most that a node held
	Back     time.Duration // from the end of the cut until all say fresh of all; negative: never
	Dropped  zonestate.Dropped
}

// tagSize is what the room adds to a message.
const tagSize = 12

// When membership comes to hold a dead node for suspect, and for dead.
const (
	suspected = 2500 * time.Millisecond
	known     = 10 * time.Second
)

// actor is one node of a world: its machine, as the crowd drives it.
type actor struct {
	*zonestate.Machine
	p    *play
	peer zonestate.Peer
	zone int
}

type play struct {
	*simulation.Fleet
	fresh  time.Duration
	actors []*actor
	died   time.Duration
	steps  []time.Duration // after that, at which membership comes to know more
	seen   Seen
	sums   struct {
		all, fresh, whole int
		counted           float64
		age, slack        time.Duration
	}
	wrong error
}

// look is how often answers are checked.
const look = 100 * time.Millisecond

// Play plays a world. The error tells of what must never be: an age under-reported, a datagram too long or malformed.
func Play(w World) (Seen, error) {
	f, err := simulation.New(w.World)
	if err != nil {
		return Seen{}, err
	}
	p := &play{Fleet: f, fresh: w.Fresh, seen: Seen{Back: -1}}
	o := zonestate.Defaults(w.Fresh)
	o.Delay = max(o.Delay, w.Delay)
	for i := range f.Nodes {
		p.actors = append(p.actors, &actor{p: p, zone: w.ZoneOf(i), peer: zonestate.Peer{ID: f.Rand.Uint64() | 1, ZoneID: place(w.ZoneOf(i)),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1)}})
	}
	view := p.view(time.Hour)
	for i, a := range p.actors {
		if a.Machine, err = zonestate.New(f.Clock(i), a.peer, o, f.Rand.Uint64()); err != nil {
			return Seen{}, fmt.Errorf("exchange: %w", err)
		}
		a.SetView(f.Clock(i), view)
		f.Nodes[i].Machine = a
	}
	f.LookEvery, f.Look = look, p.look
	f.Died = func() { p.died, p.steps = f.Now, []time.Duration{suspected, known} }
	if err := f.Play(w.Fresh / 2); err != nil {
		return p.seen, err
	}
	p.sum()
	return p.seen, p.wrong
}

// sum works out what was seen.
func (p *play) sum() {
	s := &p.seen
	s.Packets, s.Bytes, s.MostSent = p.Traffic()
	for i, a := range p.actors {
		if p.Nodes[i].Dead {
			continue
		}
		d, t := a.Dropped, &s.Dropped
		t.Unbounded, t.Expired, t.Foreign, t.TooManyParts, t.Truncated, t.RateLimited = t.Unbounded+d.Unbounded, t.Expired+d.Expired, t.Foreign+d.Foreign, t.TooManyParts+d.TooManyParts, t.Truncated+d.Truncated, t.RateLimited+d.RateLimited
	}
	n := float64(max(1, p.sums.fresh))
	s.Fresh = float64(p.sums.fresh) / float64(max(1, p.sums.all))
	s.Whole, s.Counted = float64(p.sums.whole)/n, p.sums.counted/n
	s.Age, s.Slack = time.Duration(float64(p.sums.age)/n), time.Duration(float64(p.sums.slack)/n)
}

// Tick implements simulation.Machine.
func (a *actor) Tick(now time.Duration) []simulation.Datagram {
	// When it was so, and one request a second of a class.
	made := float64((a.p.Now + time.Millisecond - 1).Milliseconds())
	a.SetOwnPart(now, zonestate.GroupByPage([]zonestate.Entry{{Kind: zonestate.MadeAt, Subject: 1, Value: made}, {Kind: zonestate.Demand, Subject: 2, Value: 1}}))
	return a.p.written(a.Machine.Tick(now))
}

// Next implements simulation.Machine: a node looks at itself from time to time.
func (a *actor) Next() time.Duration {
	return min(a.Machine.Next(), a.p.Now+a.p.Nodes[a.index()].Offset+a.p.fresh/8)
}

func (a *actor) index() int {
	b := a.peer.Addr.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// Receive implements simulation.Machine.
func (a *actor) Receive(now time.Duration, _ int, data []byte) []simulation.Datagram {
	m, err := zonestate.Parse(data[:len(data)-tagSize])
	if err != nil {
		a.p.wrong = err
		return nil
	}
	return a.p.written(a.Machine.Receive(now, m))
}

// written is packets as datagrams.
func (p *play) written(packets []zonestate.Packet) (out []simulation.Datagram) {
	for _, x := range packets {
		data := zonestate.Append(nil, x.Message)
		if len(data) > zonestate.MaxMessage {
			p.wrong = fmt.Errorf("exchange: %d bytes", len(data))
		}
		b := x.To.Addr().As4()
		out = append(out, simulation.Datagram{To: int(b[1])<<16 | int(b[2])<<8 | int(b[3]), Data: append(data, make([]byte, tagSize)...)})
	}
	return out
}

// view is what membership has, so long after a death.
func (p *play) view(since time.Duration) *zonestate.View {
	var all []zonestate.Peer
	for i, a := range p.actors {
		q := a.peer
		q.Suspect, q.Inactive = p.Nodes[i].Dead && since >= suspected, p.Nodes[i].Dead && since >= known
		all = append(all, q)
	}
	return zonestate.NewView(all)
}

func place(zone int) zonestate.ZoneID { return zonestate.ZoneIDOf("r", fmt.Sprint("z", zone)) }

// look checks what nodes say against the truth, after a warm-up of twice fresh.
func (p *play) look() error {
	if len(p.steps) > 0 && p.Now >= p.died+p.steps[0] {
		v := p.view(p.steps[0])
		p.steps = p.steps[1:]
		for i, a := range p.actors {
			if !p.Nodes[i].Dead {
				a.SetView(p.Clock(i), v)
			}
		}
	}
	if p.Now < 2*p.fresh {
		return p.wrong
	}
	living := make([]int, p.Zones)
	for i, a := range p.actors {
		if !p.Nodes[i].Dead {
			living[a.zone]++
		}
	}
	all := true
	for i, a := range p.actors {
		if !p.Awake(i) {
			continue
		}
		p.seen.Rows = max(p.seen.Rows, a.Size())
		for zone, n := range living {
			if n == 0 {
				continue
			}
			fresh, err := p.answer(a, p.Clock(i), zone, n)
			if err != nil {
				return err
			}
			all = all && fresh
		}
	}
	if all && p.seen.Back < 0 && p.CutTo > 0 && p.Now >= p.CutTo {
		p.seen.Back = p.Now - p.CutTo
	}
	return p.wrong
}

// answer checks what a node says of a zone in which so many live.
func (p *play) answer(a *actor, clock time.Duration, zone, n int) (fresh bool, err error) {
	v := a.Read(clock, place(zone), zonestate.MadeAt, 1)
	d := a.Read(clock, place(zone), zonestate.Demand, 2)
	p.sums.all++
	if v.PartCount > 0 && v.Freshness != zonestate.Unknown {
		real := p.Now - time.Duration(v.Amount)*time.Millisecond
		if p.seen.Short = max(p.seen.Short, real-v.Age); real > v.Age {
			return false, fmt.Errorf("exchange: at %v a node of zone %d was given a fact of zone %d that is %v old, for %v at most", p.Now, a.zone, zone, real, v.Age)
		}
		if v.Freshness == zonestate.Fresh {
			p.sums.slack += v.Age - real
		}
		p.seen.Over = max(p.seen.Over, float64(v.PartCount-max(v.ActiveNodes, n))/float64(max(v.ActiveNodes, n)))
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
	p.seen.AgeMost = max(p.seen.AgeMost, v.Age)
	if v.PartCount == n {
		p.sums.whole++
	}
	return true, nil
}
