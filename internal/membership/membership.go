// Package membership determines which other nodes are alive. It implements SWIM (Das, Gupta, Motivala 2002) with suspicion and
// incarnations, and with the extensions of Lifeguard (Dadgar, Phillips, Currey 2018): a node's local health score extends its
// timeouts, confirmations by other members shorten a suspicion, and a suspected member is notified first.
//
// The package implements the state machine and the datagram format. It does no I/O, reads no clock and starts no goroutine:
// time and messages are passed in, and messages to send are returned. Package gossip handles sockets, keys and rate limits.
//
// Guarantees:
//
//   - Only a member itself increments its incarnation. An update (incarnation, status) supersedes another one about the same
//     member only if its incarnation is later, or if the incarnations are equal and its status is higher (alive < suspect <
//     dead < left). Merging is therefore commutative, associative and idempotent, and the state of a member never regresses.
//   - A member refutes an update that declares it suspect, dead or left, or that carries a later incarnation than its own, as
//     after a restart under the same name, by announcing a later incarnation. While it runs and its messages are delivered,
//     all other members eventually consider it alive.
//   - A stopped member is suspected by the next member whose direct and indirect probes of it fail. All members consider it
//     dead at most MaxSuspicion later, plus the time that an update takes to spread.
//   - The number of messages that a node sends on its own does not depend on the number of members. Per probe interval it
//     sends at most two pings and IndirectProbes ping requests for its probe, one ping to an unreachable member or seed, one
//     Pull, and maxGossipMessages pings while many updates are pending. Replies, pings on behalf of other members and final
//     pings are additional. The updates of a message take at most MaxUpdateBytes.
package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"damsontrestle/internal/splitmix"
)

// Machine is the protocol state of one node: its own incarnation and the state of the other members. It is not safe for
// concurrent use.
type Machine struct {
	options     Options
	self        Peer
	id          ID
	incarnation uint32
	hasLeft     bool // Leave was called
	now         time.Duration

	seed  uint64 // of the pseudo-random numbers
	draws uint64 // number of pseudo-random numbers drawn

	members       []*memberState // all other members, ordered by ID
	selfTransmits int            // number of times this node's own update was sent
	changes       int            // see Changes

	nextPeriod     time.Duration
	probeOrder     []ID // members left to probe in this round
	probe          probe
	indirectProbes []indirectProbe // on behalf of other members
	seq            uint32          // last sequence number used
	healthScore    int             // local health score (Lifeguard); 0: healthy
	nextPull       time.Duration   // earliest time of the next Pull

	packets  []Packet // returned by the current call
	outdated []ID     // members about which the sender of the current message has outdated state

	// NameConflicts counts updates about this node's ID with a later incarnation than its own. The first one may result from a
	// restart; each further one indicates another process with the same name.
	NameConflicts int
}

// New returns a Machine that knows no other member. It sends no messages before the first Tick. The seed determines all
// pseudo-random numbers, so that a run is reproducible. New returns an error if an option or a field of self is out of range.
func New(self Peer, o Options, seed uint64) (*Machine, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if err := self.check(); err != nil {
		return nil, err
	}
	return &Machine{options: o, self: self, id: IDOf(self.Name), seed: seed}, nil
}

// draw returns a pseudo-random number in [0, n).
func (m *Machine) draw(n int) int {
	m.draws++
	return splitmix.Draw(m.seed, m.draws, n)
}

// find returns the index of a member and true, or the index at which to insert it and false.
func (m *Machine) find(id ID) (int, bool) {
	return slices.BinarySearchFunc(m.members, id, func(k *memberState, id ID) int { return cmp.Compare(k.ID, id) })
}

// get returns the member with an ID, or nil if it is unknown.
func (m *Machine) get(id ID) *memberState {
	if i, ok := m.find(id); ok {
		return m.members[i]
	}
	return nil
}

// activeCount returns the number of alive and suspect members, including this node.
func (m *Machine) activeCount() int {
	n := 1
	for _, member := range m.members {
		if member.active() {
			n++
		}
	}
	return n
}

// Next returns the time at which Tick must be called next.
func (m *Machine) Next() time.Duration {
	next := m.nextPeriod
	if m.probe.awaitsIndirect() {
		next = min(next, m.probe.indirectAt)
	}
	for _, indirect := range m.indirectProbes {
		next = min(next, indirect.deadline)
	}
	for _, member := range m.members {
		if member.status == Suspect {
			next = min(next, m.suspicionEnd(member))
		}
	}
	return next
}

// Tick performs the actions that are due at a time of this node's clock and returns the messages to send.
func (m *Machine) Tick(now time.Duration) []Packet {
	m.begin(now)
	if m.hasLeft {
		return m.packets
	}
	m.expireSuspicions()
	m.forgetMembers()
	if m.probe.running && m.probe.helpers == 0 && m.now >= m.probe.indirectAt {
		m.probeIndirectly()
	}
	m.expireIndirectProbes()
	if m.now >= m.nextPeriod {
		m.startPeriod()
	}
	return m.packets
}

// begin advances the time, which never decreases, and clears the results of the previous call.
func (m *Machine) begin(now time.Duration) {
	m.now = max(m.now, now)
	m.packets = nil
	m.outdated = nil
}

// forgetMembers removes members that have been dead or left for at least Options.ForgetAfter.
func (m *Machine) forgetMembers() {
	m.members = slices.DeleteFunc(m.members, func(member *memberState) bool {
		forgotten := !member.active() && m.now-member.statusSince >= m.options.ForgetAfter
		if forgotten {
			m.changes++
		}
		return forgotten
	})
}

// Receive handles a message received from an address at a time of this node's clock, and returns the messages to send.
func (m *Machine) Receive(now time.Duration, from netip.AddrPort, msg Message) []Packet {
	m.begin(now)
	if m.hasLeft || msg.From == m.id {
		return m.packets
	}
	m.mergeAll(msg)
	sender := m.get(msg.From)
	if sender != nil {
		sender.lastHeard = m.now
	}
	switch msg.Kind {
	case Ping:
		m.send(from, Message{Kind: Ack, Seq: msg.Seq, Digest: m.digest()})
		if sender == nil {
			m.requestPages(from, 0)
		}
	case Ack:
		m.receiveAck(from, msg)
	case PingReq:
		m.receivePingReq(from, msg)
	case Nack:
		if m.probe.running && msg.Seq == m.probe.seq {
			m.probe.nacks++
		}
	case Pull:
		m.sendPages(from, msg.MemberID, msg.BucketDigests)
	case Page:
		if msg.MemberID != 0 {
			m.send(from, Message{Kind: Pull, MemberID: msg.MemberID, BucketDigests: m.bucketDigests()})
		}
	}
	return m.packets
}

// Leave returns messages that announce to some members that this node leaves. Afterwards the Machine sends nothing.
func (m *Machine) Leave(now time.Duration) []Packet {
	m.begin(now)
	m.hasLeft = true
	var active []*memberState
	for _, member := range m.members {
		if member.active() {
			active = append(active, member)
		}
	}
	m.selfTransmits = 0
	for range min(2*(1+m.options.IndirectProbes), len(active)) {
		i := m.draw(len(active))
		m.selfTransmits = 0 // include the update in each of these messages regardless of the limit
		m.send(active[i].Addr, Message{Kind: Ping})
		active = slices.Delete(active, i, i+1)
	}
	return m.packets
}

// Members returns all known members except the node itself, ordered by ID.
func (m *Machine) Members() []Member {
	var out []Member
	for _, member := range m.members {
		out = append(out, Member{
			Peer:        member.Peer,
			ID:          member.ID,
			Incarnation: member.incarnation,
			Status:      member.status,
			StatusSince: member.statusSince,
			LastHeard:   member.lastHeard,
		})
	}
	return out
}

// Changes returns a counter that increases with each change of a known member, its Peer, incarnation or status, or of the
// node's own incarnation.
func (m *Machine) Changes() int { return m.changes }

// Self returns the ID and incarnation of this node.
func (m *Machine) Self() (ID, uint32) { return m.id, m.incarnation }

// HealthScore returns the local health score, from 0 (healthy) to 8.
func (m *Machine) HealthScore() int { return m.healthScore }
