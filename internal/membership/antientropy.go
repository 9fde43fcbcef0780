package membership

import (
	"net/netip"

	"damsontrestle/internal/splitmix"
)

// Buckets is the number of groups of members, by the first bits of their IDs, for which a Pull carries a digest each.
const Buckets = 32

// bucketShift leaves the bits of an ID that number its bucket.
const bucketShift = 59

// maxPagesPerPull is how many pages answer one Pull.
const maxPagesPerPull = 4

// bucket returns the bucket of a member.
func bucket(id ID) int { return int(id >> bucketShift) }

// memberDigest returns the digest of one member in an incarnation.
func memberDigest(id ID, incarnation uint32) uint64 {
	return splitmix.Mix(uint64(id) ^ uint64(incarnation)*splitmix.Golden)
}

// digest returns a number, never 0, that is equal at nodes which hold the same members for active at the same
// incarnations. Dead members are left out, because they are forgotten at different times, and so is the difference between
// alive and suspect, because suspicions end by themselves.
func (m *Machine) digest() uint64 {
	sum := memberDigest(m.id, m.incarnation)
	for _, member := range m.members {
		if member.active() {
			sum ^= memberDigest(member.ID, member.incarnation)
		}
	}
	return max(1, sum)
}

// bucketDigests returns the digests of the buckets.
func (m *Machine) bucketDigests() []uint32 {
	digests := make([]uint32, Buckets)
	digests[bucket(m.id)] = uint32(memberDigest(m.id, m.incarnation))
	for _, member := range m.members {
		if member.active() {
			digests[bucket(member.ID)] ^= uint32(memberDigest(member.ID, member.incarnation))
		}
	}
	return digests
}

// requestPages asks for another node's list from an ID on, once a period at most.
func (m *Machine) requestPages(from netip.AddrPort, firstID ID) {
	if m.now < m.nextPull {
		return
	}
	m.nextPull = m.now + m.options.ProbeInterval
	m.send(from, Message{Kind: Pull, MemberID: firstID, BucketDigests: m.bucketDigests()})
}

// sendPages sends the members from an ID on whose buckets have another digest than the receiver's. What does not fit into
// maxPagesPerPull the receiver asks for again, from the ID that the last page names.
func (m *Machine) sendPages(to netip.AddrPort, firstID ID, receiverDigests []uint32) {
	ownDigests := m.bucketDigests()
	page := &updateList{bytesLeft: MaxUpdateBytes}
	if firstID == 0 {
		page.add(m.selfUpdate())
	}
	pages := 1
	for _, member := range m.members {
		if member.ID < firstID || len(receiverDigests) == Buckets && receiverDigests[bucket(member.ID)] == ownDigests[bucket(member.ID)] {
			continue
		}
		u := member.update(true)
		if page.add(u) {
			continue
		}
		if pages == maxPagesPerPull {
			m.send(to, Message{Kind: Page, MemberID: member.ID, Updates: page.updates})
			return
		}
		m.send(to, Message{Kind: Page, Updates: page.updates})
		pages++
		page = &updateList{bytesLeft: MaxUpdateBytes}
		page.add(u)
	}
	m.send(to, Message{Kind: Page, Updates: page.updates})
}
