// Package membership knows which other nodes live: SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnations, and
// Lifeguard's refinements (Dadgar, Phillips, Currey 2018): a node's own health stretches its patience, a suspicion that
// others confirm ends sooner, and whoever is suspected hears of it first. It does no I/O, has no clock and no goroutine:
// time and messages come in, messages go out.
//
// What it promises, in the papers' terms, with the incarnation of a member called its incarnation:
//
//   - Only a member itself raises its incarnation. A word of (life, status) takes the place of another of the same member only
//     if it is of a later incarnation, or of the same and graver (alive < suspect < dead < left): merging does not hang on
//     order, repetition or grouping, and what a node holds never goes back.
//   - A member that hears itself called suspect, dead or left, or of an incarnation of its own that it does not remember, as after a
//     restart under the same name, answers with a later incarnation. While it lives and its words get through, it is alive for
//     all in the end.
//   - A member that has stopped is suspected by whoever probes it next and finds neither it nor anybody who reaches it,
//     and dead for all at most MaxSuspicion after that, plus the time that a word takes to spread.
//   - Whatever the number of members, a node sends at most 1 + Indirect pings a period beside its answers, and messages
//     hold MaxBytes at most.
package membership

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"damsontrestle/internal/splitmix"
)

// Machine is one node's view. Its methods belong to one goroutine.
type Machine struct {
	options        Options
	self           Peer
	id             ID
	incarnation    uint32
	left           bool
	seed           uint64
	draws          uint64
	now            time.Duration
	members        []*member // all others, in the order of their IDs
	probeOrder     []ID      // still to be probed in this round
	probe          probe
	nextPeriod     time.Duration
	indirectProbes []indirectProbe // for others
	seq            uint32
	healthScore    int           // local health score (Lifeguard): 0 is healthy
	selfTransmits  int           // times that this node's own update went out
	nextPull       time.Duration // no Pull goes out before
	packets        []Packet
	outdated       []ID // members of which the sender of the message at hand knows less than this node

	changes int

	// Twins counts words of an own incarnation that this process did not have, beyond the first: another process under its name.
	Twins int
}

// New returns a Machine that knows only itself. Nothing goes out before Tick.
func New(self Peer, o Options, seed uint64) (*Machine, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if self.Name == "" || len(self.Name) > MaxName || len(self.Region) > MaxPlace || len(self.Zone) > MaxPlace || !self.Addr.IsValid() {
		return nil, fmt.Errorf("membership: %+v; allowed: a name of 1 to %d bytes, places of up to %d, an address", self, MaxName, MaxPlace)
	}
	return &Machine{options: o, self: self, id: IDOf(self.Name), seed: seed}, nil
}

// draw is a number below n, from the seed and the count of draws.
func (m *Machine) draw(n int) int {
	m.draws++
	return splitmix.Draw(m.seed, m.draws, n)
}

func (m *Machine) find(id ID) (int, bool) {
	return slices.BinarySearchFunc(m.members, id, func(k *member, id ID) int { return cmp.Compare(k.ID, id) })
}

func (m *Machine) get(id ID) *member {
	if i, ok := m.find(id); ok {
		return m.members[i]
	}
	return nil
}

// activeCount counts the members that are not dead or left, this one among them.
func (m *Machine) activeCount() int {
	n := 1
	for _, k := range m.members {
		if k.status <= Suspect {
			n++
		}
	}
	return n
}

// Next is when Tick is due.
func (m *Machine) Next() time.Duration {
	at := m.nextPeriod
	if m.probe.running && m.probe.helpers == 0 && m.probe.indirectAt > 0 {
		at = min(at, m.probe.indirectAt)
	}
	for _, r := range m.indirectProbes {
		at = min(at, r.deadline)
	}
	for _, k := range m.members {
		if k.status == Suspect {
			at = min(at, m.suspicionEnd(k))
		}
	}
	return at
}

// Tick does what is due at a time of this node's clock.
func (m *Machine) Tick(now time.Duration) []Packet {
	m.begin(now)
	if m.left {
		return m.flush()
	}
	for _, k := range m.members {
		switch {
		case k.status != Suspect || m.now < m.suspicionEnd(k):
		case k.finalPingUntil == 0:
			m.sendFinalPing(k)
		default:
			m.setStatus(k, k.incarnation, Dead)
		}
	}
	m.members = slices.DeleteFunc(m.members, func(k *member) bool {
		forgotten := k.status >= Dead && m.now-k.since >= m.options.Forget
		if forgotten {
			m.changes++
		}
		return forgotten
	})
	if p := &m.probe; p.running && p.helpers == 0 && m.now >= p.indirectAt {
		m.probeIndirectly()
	}
	m.indirectProbes = slices.DeleteFunc(m.indirectProbes, func(r indirectProbe) bool {
		if m.now < r.deadline {
			return false
		}
		m.send(r.requester, Message{Kind: Nack, Seq: r.requesterSeq})
		return true
	})
	if m.now >= m.nextPeriod {
		m.startPeriod()
	}
	return m.flush()
}

func (m *Machine) begin(now time.Duration) {
	m.now = max(m.now, now)
	m.packets, m.outdated = nil, nil
}

func (m *Machine) flush() []Packet { return m.packets }

// Receive takes a message that came from an address.
func (m *Machine) Receive(now time.Duration, from netip.AddrPort, msg Message) []Packet {
	m.begin(now)
	if m.left || msg.From == m.id {
		return m.flush()
	}
	for _, u := range msg.Updates {
		m.merge(u, u.ID == msg.From)
		// Who spreads what is over is told so, as far as it is answered.
		if k := m.get(u.ID); k != nil && u.Status != Alive && u.Incarnation < k.incarnation {
			m.outdated = append(m.outdated, u.ID)
		}
	}
	k := m.get(msg.From)
	if k != nil {
		k.heard = m.now
	}
	switch msg.Kind {
	case Ping:
		m.send(from, Message{Kind: Ack, Seq: msg.Seq, Sum: m.digest()})
		if k == nil {
			m.requestPages(from, 0)
		}
	case Ack:
		m.receiveAck(from, msg)
	case PingReq:
		if t := m.get(msg.About); t != nil && len(m.indirectProbes) < 64 {
			m.seq++
			m.indirectProbes = append(m.indirectProbes, indirectProbe{m.seq, from, msg.Seq, m.now + m.options.Timeout})
			m.send(t.Addr, Message{Kind: Ping, Seq: m.seq})
		}
	case Nack:
		if m.probe.running && msg.Seq == m.probe.seq {
			m.probe.nacks++
		}
	case Pull:
		m.sendPages(from, msg.About, msg.Sums)
	case Page:
		if msg.About != 0 {
			m.send(from, Message{Kind: Pull, About: msg.About, Sums: m.bucketDigests()})
		}
	}
	return m.flush()
}

// Leave says goodbye to some members, and has the machine do nothing more.
func (m *Machine) Leave(now time.Duration) []Packet {
	m.begin(now)
	m.left, m.selfTransmits = true, 0
	var all []*member
	for _, k := range m.members {
		if k.status <= Suspect {
			all = append(all, k)
		}
	}
	for range min(2*(1+m.options.Indirect), len(all)) {
		i := m.draw(len(all))
		m.selfTransmits = 0
		m.send(all[i].Addr, Message{Kind: Ping})
		all = slices.Delete(all, i, i+1)
	}
	return m.flush()
}

// Members are all that are known but the node itself, in the order of their IDs.
func (m *Machine) Members() (out []Member) {
	for _, k := range m.members {
		out = append(out, Member{k.Peer, k.ID, k.incarnation, k.status, k.since, k.heard})
	}
	return out
}

// Changes grows with each change of who is known, of their incarnations and statuses, and of the own incarnation.
func (m *Machine) Changes() int { return m.changes }

// Self is the node's own ID and life.
func (m *Machine) Self() (ID, uint32) { return m.id, m.incarnation }

// Health is 0 where all is well with the node itself, up to 8.
func (m *Machine) Health() int { return m.healthScore }
