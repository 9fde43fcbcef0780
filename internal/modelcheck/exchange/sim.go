// Package exchange tests the exchange of zone state (internal/zonestate) in two ways: it simulates large fleets on virtual time
// with loss, delay, partitions, node deaths and pauses and measures the result, and it models small fleets for modelcheck.
// Both know the true state of each node and check every read against it.
package exchange

import (
	"fmt"
	"net/netip"
	"time"

	"damsontrestle/internal/simulation"
	"damsontrestle/internal/zonestate"
)

// World describes a fleet to simulate.
type World struct {
	simulation.World
	Fresh time.Duration
}

// Result holds what a simulation measured after a warm-up of twice World.Fresh.
type Result struct {
	FreshShare     float64       // share of reads, by awake nodes of zones with live nodes, that were fresh
	CompleteShare  float64       // share of the fresh reads that counted every live node of the zone
	CountedShare   float64       // mean share of the zone's live nodes that the fresh reads counted
	MeanAge        time.Duration // reported by the fresh reads
	MaxAge         time.Duration // reported by a fresh read
	MeanSlack      time.Duration // mean of the reported age less the true age of the oldest part
	MaxUnderReport time.Duration // most by which an age was under-reported; above 0 is a breach
	MaxOvercount   float64       // most parts counted beyond the live nodes, as a share of these
	ByteRate       float64       // payload bytes per second and node, authentication tag included, mean
	MaxByteRate    float64       // bytes per second of the node that sent most
	PacketRate     float64       // packets per second and node, mean
	MaxRows        int           // most rows that a node held
	RecoveryTime   time.Duration // from the partition's end until every read is fresh; negative: never
	Dropped        zonestate.Dropped
}

// tagSize is the length in bytes of the authentication tag that is added to each message.
const tagSize = 12

// The times after its death at which membership reports a node as suspect and as dead.
const (
	suspectAfter = 2500 * time.Millisecond
	deadAfter    = 10 * time.Second
)

// simNode is a node's state machine with what the simulation needs to drive it.
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
	viewDelays []time.Duration // delays after diedAt at which membership's view still has to be updated
	result     Result
	sums       struct {
		reads, fresh, complete int
		counted                float64
		age, slack             time.Duration
	}
	failure error
}

// observeInterval is the time between two checks of all reads.
const observeInterval = 100 * time.Millisecond

// Play simulates a world. It returns an error on a violation: an under-reported age, or a datagram that is too long or malformed.
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

// summarize computes shares, means and totals once the simulation has ended.
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
	s.FreshShare = float64(p.sums.fresh) / float64(max(1, p.sums.reads))
	s.CompleteShare, s.CountedShare = float64(p.sums.complete)/n, p.sums.counted/n
	s.MeanAge, s.MeanSlack = time.Duration(float64(p.sums.age)/n), time.Duration(float64(p.sums.slack)/n)
}

// Tick implements simulation.Machine.
func (a *simNode) Tick(now time.Duration) []simulation.Datagram {
	// The own part holds the time at which it was made, and a demand of one request per second for a class.
	made := float64((a.p.Now + time.Millisecond - 1).Milliseconds())
	a.SetOwnPart(now, zonestate.GroupByPage([]zonestate.Entry{{Kind: zonestate.MadeAt, Subject: 1, Value: made}, {Kind: zonestate.Demand, Subject: 2, Value: 1}}))
	return a.p.encode(a.Machine.Tick(now))
}

// Next implements simulation.Machine. A node ticks at least every fresh/8 to renew its own part.
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

// encode returns packets as datagrams and records one that is too long as a failure.
func (p *simulator) encode(packets []zonestate.Packet) (out []simulation.Datagram) {
	for _, x := range packets {
		data := zonestate.Append(nil, x.Message)
		if len(data) > zonestate.MaxMessage {
			p.failure = fmt.Errorf("exchange: message is too long: %d bytes", len(data))
		}
		b := x.To.Addr().As4()
		out = append(out, simulation.Datagram{To: int(b[1])<<16 | int(b[2])<<8 | int(b[3]), Data: append(data, make([]byte, tagSize)...)})
	}
	return out
}

// view returns membership's view at the given time since the deaths.
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

// observe updates membership's views after deaths and, after a warm-up of twice fresh, checks all reads against the true state.
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
	liveNodes := make([]int, p.Zones)
	for i, a := range p.simNodes {
		if !p.Nodes[i].Dead {
			liveNodes[a.zone]++
		}
	}
	all := true
	for i, a := range p.simNodes {
		if !p.Awake(i) {
			continue
		}
		p.result.MaxRows = max(p.result.MaxRows, a.Size())
		for zone, n := range liveNodes {
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

// checkRead checks a node's reads of a zone with n live nodes.
func (p *simulator) checkRead(a *simNode, clock time.Duration, zone, n int) (fresh bool, err error) {
	v := a.Read(clock, zoneID(zone), zonestate.MadeAt, 1)
	d := a.Read(clock, zoneID(zone), zonestate.Demand, 2)
	p.sums.reads++
	if v.PartCount > 0 && v.Freshness != zonestate.Unknown {
		trueAge := p.Now - time.Duration(v.Amount)*time.Millisecond
		if p.result.MaxUnderReport = max(p.result.MaxUnderReport, trueAge-v.Age); trueAge > v.Age {
			return false, fmt.Errorf("exchange: at %v a node of zone %d read an entry of zone %d that is %v old; the reported maximum age is %v", p.Now, a.zone, zone, trueAge, v.Age)
		}
		if v.Freshness == zonestate.Fresh {
			p.sums.slack += v.Age - trueAge
		}
		p.result.MaxOvercount = max(p.result.MaxOvercount, float64(v.PartCount-max(v.ActiveNodes, n))/float64(max(v.ActiveNodes, n)))
		if d.Amount != float64(d.PartCount) {
			return false, fmt.Errorf("exchange: a row of %d nodes with a demand of 1 each holds %v", d.PartCount, d.Amount)
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
		p.sums.complete++
	}
	return true, nil
}
