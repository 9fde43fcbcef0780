// Package membership determines which other nodes are alive. It is SWIM (Das, Gupta, Motivala 2002) with suspicion and
// incarnations, and with the refinements of Lifeguard (Dadgar, Phillips, Currey 2018): a node's local health score stretches
// its timeouts, a suspicion that others confirm ends sooner, and a suspected member is the first to learn of it.
//
// The package owns the state machine and its datagram format. It does no I/O and has no clock and no goroutine: time and
// messages are passed in, messages are returned. Sockets, keys and pacing are left to internal/gossip.
//
// It promises:
//
//   - Only a member itself raises its incarnation. An update (incarnation, status) supersedes another of the same member
//     only if its incarnation is later, or if it is the same and the status ranks higher (alive < suspect < dead < left).
//     Merging therefore does not depend on order, repetition or grouping, and what a node holds never goes back.
//   - A member refutes an update that calls it suspect, dead or left, or that names an incarnation which it does not
//     remember, as after a restart under the same name: it announces a later incarnation. While it runs and its messages
//     are delivered, all others hold it for alive in the end.
//   - A member that has stopped is suspected by the next member whose direct and indirect probes find no answer. All hold
//     it for dead at most MaxSuspicion later, plus the time that an update takes to spread.
//   - A node sends at most 1 + IndirectProbes pings a period for its probes beside its answers, and maxGossipMessages more while many
//     updates wait, whatever the number of members. The updates of a message take MaxUpdateBytes at most.
package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"damsontrestle/internal/splitmix"
)

// Machine is the state of one node: its own incarnation and what it holds of the others. Its methods belong to one
// goroutine.
type Machine struct {
	options     Options
	self        Peer
	id          ID
	incarnation uint32
	hasLeft     bool // Leave was called
	now         time.Duration

	seed  uint64 // of the random draws
	draws uint64 // made so far

	members       []*memberState // all others, in the order of their IDs
	selfTransmits int            // times that this node's own update went out
	changes       int            // see Changes

	nextPeriod     time.Duration
	probeOrder     []ID // still to be probed in this round
	probe          probe
	indirectProbes []indirectProbe // on behalf of others
	seq            uint32          // of the last ping
	healthScore    int             // local health score (Lifeguard); 0: healthy
	nextPull       time.Duration   // no Pull goes out before

	packets  []Packet // to be sent after the call at hand
	outdated []ID     // members of which the sender of the message at hand holds less than this node

	// NameConflicts counts the updates about this node's ID with a later incarnation than its own. Beyond the first, which follows
	// a restart, each one tells of another process under the same name.
	NameConflicts int
}

// New returns a Machine that knows only itself. Nothing goes out before Tick. The seed decides all random draws, so that a
// run can be repeated. An option or a peer out of range is an error.
func New(self Peer, o Options, seed uint64) (*Machine, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if err := self.check(); err != nil {
		return nil, err
	}
	return &Machine{options: o, self: self, id: IDOf(self.Name), seed: seed}, nil
}

// draw returns a pseudo-random number below n.
func (m *Machine) draw(n int) int {
	m.draws++
	return splitmix.Draw(m.seed, m.draws, n)
}

// find returns the index of a member, or the one at which it would be inserted.
func (m *Machine) find(id ID) (int, bool) {
	return slices.BinarySearchFunc(m.members, id, func(k *memberState, id ID) int { return cmp.Compare(k.ID, id) })
}

// get returns the member with an ID; nil: it is not known.
func (m *Machine) get(id ID) *memberState {
	if i, ok := m.find(id); ok {
		return m.members[i]
	}
	return nil
}

// activeCount counts the members that are alive or suspect, this node among them.
func (m *Machine) activeCount() int {
	n := 1
	for _, member := range m.members {
		if member.active() {
			n++
		}
	}
	return n
}

// Next returns the time at which Tick is due.
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

// Tick does what is due at a time of this node's clock and returns the messages to send.
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

// begin advances the time, which never goes back, and clears what belonged to the call before.
func (m *Machine) begin(now time.Duration) {
	m.now = max(m.now, now)
	m.packets = nil
	m.outdated = nil
}

// forgetMembers removes members that have been dead or left for Options.ForgetAfter.
func (m *Machine) forgetMembers() {
	m.members = slices.DeleteFunc(m.members, func(member *memberState) bool {
		forgotten := !member.active() && m.now-member.statusSince >= m.options.ForgetAfter
		if forgotten {
			m.changes++
		}
		return forgotten
	})
}

// Receive handles a message that came from an address at a time of this node's clock, and returns the messages to send.
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

// Leave announces to some members that this node leaves, and returns the messages to send. The machine does nothing more
// after it.
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
		m.selfTransmits = 0 // the update goes with each of these messages, whatever the limit
		m.send(active[i].Addr, Message{Kind: Ping})
		active = slices.Delete(active, i, i+1)
	}
	return m.packets
}

// Members returns all members that are known but the node itself, in the order of their IDs.
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

// Changes returns a count that grows with each change of the members known, of their incarnations and statuses, and of
// the node's own incarnation.
func (m *Machine) Changes() int { return m.changes }

// Self returns the node's own ID and incarnation.
func (m *Machine) Self() (ID, uint32) { return m.id, m.incarnation }

// HealthScore returns the local health score: 0 where the node finds no fault with itself, up to 8.
func (m *Machine) HealthScore() int { return m.healthScore }
