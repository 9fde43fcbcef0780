package membership

import (
	"net/netip"

	"damsontrestle/internal/splitmix"
)

// Buckets is the number of groups into which members are divided by the first bits of their IDs. A Pull carries a digest of each.
const Buckets = 32

// bucketShift is the right shift of an ID that yields its bucket.
const bucketShift = 59

// maxPagesPerPull is the maximum number of pages sent in reply to one Pull.
const maxPagesPerPull = 4

// bucket returns the bucket of a member.
func bucket(id ID) int { return int(id >> bucketShift) }

// memberDigest returns the digest of one member and its incarnation.
func memberDigest(id ID, incarnation uint32) uint64 {
	return splitmix.Mix(uint64(id) ^ uint64(incarnation)*splitmix.GoldenGamma)
}

// digest returns a digest of the active members and their incarnations, which is never 0. Dead members are excluded because
// nodes remove them at different times. Alive and suspect members are not distinguished because suspicions expire on their own.
func (m *Machine) digest() uint64 {
	sum := memberDigest(m.id, m.incarnation)
	for _, member := range m.members {
		if member.active() {
			sum ^= memberDigest(member.ID, member.incarnation)
		}
	}
	return max(1, sum)
}

// bucketDigests returns the digest of each bucket.
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

// requestPages requests another node's member list starting at an ID, at most once per probe interval.
func (m *Machine) requestPages(from netip.AddrPort, firstID ID) {
	if m.now < m.nextPull {
		return
	}
	m.nextPull = m.now + m.options.ProbeInterval
	m.send(from, Message{Kind: Pull, MemberID: firstID, BucketDigests: m.bucketDigests()})
}

// sendPages sends the members with an ID of firstID or higher whose bucket digest differs from the receiver's. If they take
// more than maxPagesPerPull pages, the last page names the ID from which the receiver requests the remainder.
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
		update := member.update(true)
		if page.add(update) {
			continue
		}
		if pages == maxPagesPerPull {
			m.send(to, Message{Kind: Page, MemberID: member.ID, Updates: page.updates})
			return
		}
		m.send(to, Message{Kind: Page, Updates: page.updates})
		pages++
		page = &updateList{bytesLeft: MaxUpdateBytes}
		page.add(update)
	}
	m.send(to, Message{Kind: Page, Updates: page.updates})
}
