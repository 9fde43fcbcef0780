package swim

import (
	"fmt"
	"net/netip"
	"time"

	"damsontrestle/internal/membership"
	"damsontrestle/internal/simulation"
)

// Seen is what came of a fleet that was played.
type Seen struct {
	Joined, JoinedAll time.Duration // from the start until 95 in 100 of all pairs, and all, held each other for alive; negative: never
	Dead, DeadAll     time.Duration // from the deaths, until 95 in 100 of those that live, and all, held all of these for dead
	Parted            time.Duration // from a cut's begin, until 95 in 100 of the pairs across it held each other for dead
	Back, BackAll     time.Duration // from its end, until they held each other for alive
	False             int           // times that a member that lived came to be held for dead, by however many, but across a cut
	MemberMinutes     float64       // that members lived, in all
	Datagrams, Bytes  float64       // a second that a node sent
	MostSent          float64       // bytes, of the node that sent most
	Ill               int           // most of any node's ill health
	Suspects          int           // most suspicions that a node held at once
}

// player plays one.
type player struct {
	*simulation.Fleet
	actors  []*actor
	holds   [][]membership.Status // by node and member
	seen    Seen
	falsely []int // nodes that hold a member, which lives, for dead
	died    time.Duration
	wrong   error
}

// unheard of members are held for.
const unheard = membership.Left + 1

// actor is one node.
type actor struct {
	*membership.Machine
	p       *player
	index   int
	changes int
}

// Play plays a fleet whose nodes begin within a second and know three of them. The error tells of a datagram too long or
// malformed.
func Play(w simulation.World, o membership.Options) (Seen, error) {
	f, err := simulation.New(w)
	if err != nil {
		return Seen{}, err
	}
	p := &player{Fleet: f, falsely: make([]int, w.Nodes), seen: Seen{Joined: -1, JoinedAll: -1, Dead: -1, DeadAll: -1, Parted: -1, Back: -1, BackAll: -1}}
	for i := range min(3, w.Nodes) {
		o.Seeds = append(o.Seeds, place(i*w.Nodes/3))
	}
	for i := range f.Nodes {
		a := &actor{p: p, index: i, changes: -1}
		self := membership.Peer{Name: fmt.Sprint("n", i), Addr: place(i), Zone: fmt.Sprint("z", w.ZoneOf(i))}
		if a.Machine, err = membership.New(self, o, f.Rand.Uint64()); err != nil {
			return Seen{}, fmt.Errorf("swim: %w", err)
		}
		p.actors = append(p.actors, a)
		f.Nodes[i].Machine = a
		f.Nodes[i].Offset = 0 // the machine's own draws have it begin at once; clocks that lie apart are for the explorer
		held := make([]membership.Status, w.Nodes)
		for k := range held {
			held[k] = unheard
		}
		p.holds = append(p.holds, held)
	}
	f.LookEvery, f.Look, f.Died = 100*time.Millisecond, p.look, func() { p.died = f.Now }
	if err := f.Play(time.Second); err != nil {
		return p.seen, err
	}
	p.seen.Datagrams, p.seen.Bytes, p.seen.MostSent = f.Traffic()
	return p.seen, p.wrong
}

func place(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1)
}

func indexOf(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

// Tick implements simulation.Machine.
func (a *actor) Tick(now time.Duration) []simulation.Datagram {
	return a.p.written(a.Machine.Tick(now))
}

// Receive implements simulation.Machine.
func (a *actor) Receive(now time.Duration, from int, data []byte) []simulation.Datagram {
	m, err := membership.Decode(data, key)
	if err != nil {
		a.p.wrong = err
		return nil
	}
	return a.p.written(a.Machine.Receive(now, place(from), m))
}

func (p *player) written(packets []membership.Packet) (out []simulation.Datagram) {
	for _, x := range packets {
		data := membership.Encode(x.Message, key)
		if len(data) > membership.MaxDatagram {
			p.wrong = fmt.Errorf("swim: %d bytes", len(data))
		}
		out = append(out, simulation.Datagram{To: indexOf(x.To), Data: data})
	}
	return out
}

// look notes what has come about.
func (p *player) look() error {
	var pairs, alive, dying, dead, across, parted, again int
	for i, a := range p.actors {
		if p.Nodes[i].Dead {
			continue
		}
		p.seen.MemberMinutes += p.LookEvery.Minutes()
		p.take(i, a)
		for k, s := range p.holds[i] {
			if k == i {
				continue
			}
			far := (p.ZoneOf(i) == 0) != (p.ZoneOf(k) == 0)
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
				if far {
					if across++; s == membership.Dead {
						parted++
					} else if s == membership.Alive {
						again++
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
	s := &p.seen
	note(&s.Joined, 0, alive, pairs, 0.95)
	note(&s.JoinedAll, 0, alive, pairs, 1)
	if p.died > 0 {
		note(&s.Dead, p.died, dead, dying, 0.95)
		note(&s.DeadAll, p.died, dead, dying, 1)
	}
	if p.CutTo > 0 && p.Now >= p.CutFrom {
		if p.Now < p.CutTo {
			note(&s.Parted, p.CutFrom, parted, across, 0.95)
		} else {
			note(&s.Back, p.CutTo, again, across, 0.95)
			note(&s.BackAll, p.CutTo, again, across, 1)
		}
	}
	return p.wrong
}

// take notes what a node holds of others.
func (p *player) take(i int, a *actor) {
	if a.changes == a.Changes() {
		return
	}
	a.changes = a.Changes()
	suspects := 0
	p.seen.Ill = max(p.seen.Ill, a.HealthScore())
	for _, m := range a.Members() {
		k := indexOf(m.Addr)
		if m.Status == membership.Suspect {
			suspects++
		}
		was := p.holds[i][k]
		p.holds[i][k] = m.Status
		cut := p.CutTo > 0 && p.Now >= p.CutFrom && (p.ZoneOf(i) == 0) != (p.ZoneOf(k) == 0)
		if p.Nodes[k].Dead || cut || was == m.Status {
			continue
		}
		switch {
		case m.Status == membership.Dead:
			if p.falsely[k]++; p.falsely[k] == 1 {
				p.seen.False++
			}
		case was == membership.Dead:
			p.falsely[k]--
		}
	}
	p.seen.Suspects = max(p.seen.Suspects, suspects)
}
