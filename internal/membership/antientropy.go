package membership

import (
	"net/netip"

	"damsontrestle/internal/splitmix"
)

// Buckets is the number of groups of members, by the first bits of their IDs, for which a Pull carries a digest each.
const Buckets = 32

// bucketShift leaves the bits of an ID that number its bucket.
const bucketShift = 59

// maxPages is how many pages answer one Pull.
const maxPages = 4

// bucket returns the bucket of a member.
func bucket(id ID) int { return int(id >> bucketShift) }

// memberDigest returns the digest of one member in an incarnation.
func memberDigest(id ID, incarnation uint32) uint64 {
	return splitmix.Mix(uint64(id) ^ uint64(incarnation)*splitmix.GoldenGamma)
}

// digest returns a number, never 0, that is equal at nodes which hold the same members for active at the same
// incarnations. Dead members are left out, because they are forgotten at different times, and so is the difference between
// alive and suspect, because suspicions end by themselves.
func (m *Machine) digest() uint64 {
	sum := memberDigest(m.id, m.incarnation)
	for _, k := range m.members {
		if k.active() {
			sum ^= memberDigest(k.ID, k.incarnation)
		}
	}
	return max(1, sum)
}

// bucketDigests returns the digests of the buckets.
func (m *Machine) bucketDigests() []uint32 {
	sums := make([]uint32, Buckets)
	sums[bucket(m.id)] = uint32(memberDigest(m.id, m.incarnation))
	for _, k := range m.members {
		if k.active() {
			sums[bucket(k.ID)] ^= uint32(memberDigest(k.ID, k.incarnation))
		}
	}
	return sums
}

// requestPages asks for another node's list from an ID on, once a period at most.
func (m *Machine) requestPages(from netip.AddrPort, at ID) {
	if m.now < m.nextPull {
		return
	}
	m.nextPull = m.now + m.options.Period
	m.send(from, Message{Kind: Pull, About: at, Digests: m.bucketDigests()})
}

// sendPages sends the members from an ID on whose buckets have another digest than the receiver's. What does not fit into
// maxPages the receiver asks for again, from the ID that the last page names.
func (m *Machine) sendPages(to netip.AddrPort, at ID, sums []uint32) {
	own := m.bucketDigests()
	page := &updateList{left: MaxBytes}
	if at == 0 {
		page.add(m.selfUpdate())
	}
	pages := 1
	for _, k := range m.members {
		if k.ID < at || len(sums) == Buckets && sums[bucket(k.ID)] == own[bucket(k.ID)] {
			continue
		}
		u := k.update(true)
		if page.add(u) {
			continue
		}
		if pages == maxPages {
			m.send(to, Message{Kind: Page, About: k.ID, Updates: page.updates})
			return
		}
		m.send(to, Message{Kind: Page, Updates: page.updates})
		pages++
		page = &updateList{left: MaxBytes}
		page.add(u)
	}
	m.send(to, Message{Kind: Page, Updates: page.updates})
}
