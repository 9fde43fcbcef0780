package swim

import (
	"fmt"
	"net/netip"
	"time"

	"damsontrestle/internal/membership"
	"damsontrestle/internal/simulation"
)

// Result holds what the simulation of a fleet measured. Pairs are ordered pairs of live nodes; a negative time means never.
type Result struct {
	Joined95, JoinedAll     time.Duration // from the start until 95 %, and all, of the pairs saw each other as alive
	Dead95, DeadAll         time.Duration // from the deaths until 95 %, and all, of the pairs of a live and a dead node were detected
	Partitioned95           time.Duration // from a partition's start until 95 % of the pairs across it saw each other as dead
	Rejoined95, RejoinedAll time.Duration // from its end until 95 %, and all, of these saw each other as alive
	FalseDeaths             int           // times a live member was declared dead, counted once for all nodes that did, except across a partition
	MemberMinutes           float64       // total lifetime of all members
	DatagramRate, ByteRate  float64       // per second and node, mean
	MaxByteRate             float64       // bytes per second of the node that sent most
	MaxHealthScore          int           // highest local health score of any node; 0 is healthy
	MaxSuspects             int           // most members that a node suspected at once
}

// simulator simulates a fleet and measures the result.
type simulator struct {
	*simulation.Fleet
	simNodes    []*simNode
	statuses    [][]membership.Status // by observing node and member
	result      Result
	falselyDead []int // by live member: number of nodes that see it as dead
	diedAt      time.Duration
	failure     error
}

// statusUnknown is the status of members that a node has not heard of.
const statusUnknown = membership.Left + 1

// simNode is a node's state machine with what the simulation needs to drive it.
type simNode struct {
	*membership.Machine
	p       *simulator
	index   int
	changes int
}

// Play simulates a fleet whose nodes start within a second and have three of them as seeds. It returns an error if a datagram is
// too long or malformed.
func Play(w simulation.World, o membership.Options) (Result, error) {
	f, err := simulation.New(w)
	if err != nil {
		return Result{}, err
	}
	p := &simulator{Fleet: f, falselyDead: make([]int, w.Nodes), result: Result{Joined95: -1, JoinedAll: -1, Dead95: -1, DeadAll: -1, Partitioned95: -1, Rejoined95: -1, RejoinedAll: -1}}
	for i := range min(3, w.Nodes) {
		o.Seeds = append(o.Seeds, simAddr(i*w.Nodes/3))
	}
	for i := range f.Nodes {
		a := &simNode{p: p, index: i, changes: -1}
		self := membership.Peer{Name: fmt.Sprint("n", i), Addr: simAddr(i), Zone: fmt.Sprint("z", w.ZoneOf(i))}
		if a.Machine, err = membership.New(self, o, f.Rand.Uint64()); err != nil {
			return Result{}, fmt.Errorf("swim: %w", err)
		}
		p.simNodes = append(p.simNodes, a)
		f.Nodes[i].Machine = a
		f.Nodes[i].Offset = 0 // the machine draws its own start times, so it begins at once; clock skew is left to the model checker
		held := make([]membership.Status, w.Nodes)
		for k := range held {
			held[k] = statusUnknown
		}
		p.statuses = append(p.statuses, held)
	}
	f.ObserveInterval, f.Observe, f.OnDeaths = 100*time.Millisecond, p.observe, func() { p.diedAt = f.Now }
	if err := f.Play(time.Second); err != nil {
		return p.result, err
	}
	p.result.DatagramRate, p.result.ByteRate, p.result.MaxByteRate = f.Traffic()
	return p.result, p.failure
}

func simAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1)
}

func indexOf(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// Tick implements simulation.Machine.
func (a *simNode) Tick(now time.Duration) []simulation.Datagram {
	return a.p.encode(a.Machine.Tick(now))
}

// Receive implements simulation.Machine.
func (a *simNode) Receive(now time.Duration, from int, data []byte) []simulation.Datagram {
	m, err := membership.Decode(data, key)
	if err != nil {
		a.p.failure = err
		return nil
	}
	return a.p.encode(a.Machine.Receive(now, simAddr(from), m))
}

func (p *simulator) encode(packets []membership.Packet) (out []simulation.Datagram) {
	for _, x := range packets {
		data := membership.Encode(x.Message, key)
		if len(data) > membership.MaxDatagram {
			p.failure = fmt.Errorf("swim: datagram is too long: %d bytes", len(data))
		}
		out = append(out, simulation.Datagram{To: indexOf(x.To), Data: data})
	}
	return out
}

// observe counts the pairs in each state and records the times at which the shares are reached.
func (p *simulator) observe() error {
	var pairs, alive, dying, dead, across, parted, rejoined int
	for i, a := range p.simNodes {
		if p.Nodes[i].Dead {
			continue
		}
		p.result.MemberMinutes += p.ObserveInterval.Minutes()
		p.recordStatuses(i, a)
		for k, s := range p.statuses[i] {
			if k == i {
				continue
			}
			acrossCut := (p.ZoneOf(i) == 0) != (p.ZoneOf(k) == 0)
			switch {
			case p.Nodes[k].Dead:
				if dying++; s == membership.Dead {
					dead++
				}
			default:
				pairs++
				if s == membership.Alive {
					alive++
				}
				if acrossCut {
					if across++; s == membership.Dead {
						parted++
					} else if s == membership.Alive {
						rejoined++
					}
				}
			}
		}
	}
	note := func(at *time.Duration, since time.Duration, n, of int, share float64) {
		if *at < 0 && of > 0 && float64(n) >= share*float64(of) {
			*at = p.Now - since
		}
	}
	s := &p.result
	note(&s.Joined95, 0, alive, pairs, 0.95)
	note(&s.JoinedAll, 0, alive, pairs, 1)
	if p.diedAt > 0 {
		note(&s.Dead95, p.diedAt, dead, dying, 0.95)
		note(&s.DeadAll, p.diedAt, dead, dying, 1)
	}
	if p.CutTo > 0 && p.Now >= p.CutFrom {
		if p.Now < p.CutTo {
			note(&s.Partitioned95, p.CutFrom, parted, across, 0.95)
		} else {
			note(&s.Rejoined95, p.CutTo, rejoined, across, 0.95)
			note(&s.RejoinedAll, p.CutTo, rejoined, across, 1)
		}
	}
	return p.failure
}

// recordStatuses records how a node sees the others and counts false deaths, if its view has changed.
func (p *simulator) recordStatuses(i int, a *simNode) {
	if a.changes == a.Changes() {
		return
	}
	a.changes = a.Changes()
	suspects := 0
	p.result.MaxHealthScore = max(p.result.MaxHealthScore, a.HealthScore())
	for _, m := range a.Members() {
		k := indexOf(m.Addr)
		if m.Status == membership.Suspect {
			suspects++
		}
		was := p.statuses[i][k]
		p.statuses[i][k] = m.Status
		cut := p.CutTo > 0 && p.Now >= p.CutFrom && (p.ZoneOf(i) == 0) != (p.ZoneOf(k) == 0)
		if p.Nodes[k].Dead || cut || was == m.Status {
			continue
		}
		switch {
		case m.Status == membership.Dead:
			if p.falselyDead[k]++; p.falselyDead[k] == 1 {
				p.result.FalseDeaths++
			}
		case was == membership.Dead:
			p.falselyDead[k]--
		}
	}
	p.result.MaxSuspects = max(p.result.MaxSuspects, suspects)
}
