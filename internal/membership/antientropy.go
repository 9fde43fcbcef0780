package membership

import (
	"net/netip"

	"damsontrestle/internal/splitmix"
)

// Buckets are what a Pull tells of apart, by the first bits of members' IDs.
const Buckets = 32

func bucket(id ID) int { return int(id >> 59) }

// memberDigest is of one member in an incarnation.
func memberDigest(id ID, incarnation uint32) uint64 {
	return splitmix.Mix(uint64(id) ^ uint64(incarnation)*splitmix.Golden)
}

// digest is alike at nodes that hold the same members for alive, at the same incarnations: dead ones are forgotten at different
// times, and suspicions pass by themselves. Never 0.
func (m *Machine) digest() uint64 {
	s := memberDigest(m.id, m.incarnation)
	for _, k := range m.members {
		if k.status <= Suspect {
			s ^= memberDigest(k.ID, k.incarnation)
		}
	}
	return max(1, s)
}

// bucketDigests are as digest, by bucket.
func (m *Machine) bucketDigests() []uint32 {
	s := make([]uint32, Buckets)
	s[bucket(m.id)] = uint32(memberDigest(m.id, m.incarnation))
	for _, k := range m.members {
		if k.status <= Suspect {
			s[bucket(k.ID)] ^= uint32(memberDigest(k.ID, k.incarnation))
		}
	}
	return s
}

// requestPages asks for another's list, once a period at most.
func (m *Machine) requestPages(from netip.AddrPort, at ID) {
	if m.now < m.nextPull {
		return
	}
	m.nextPull = m.now + m.options.Period
	m.send(from, Message{Kind: Pull, About: at, Sums: m.bucketDigests()})
}

// maxPages go out for one Pull.
const maxPages = 4

// sendPages sends a part of the list, from an ID on: of the buckets in which the other holds something else.
func (m *Machine) sendPages(to netip.AddrPort, at ID, sums []uint32) {
	own := m.bucketDigests()
	msg, pages := Message{Kind: Page}, 1
	room := MaxBytes
	if at == 0 {
		msg.Updates = append(msg.Updates, m.selfUpdate())
		room -= updateSize(msg.Updates[0])
	}
	for _, k := range m.members {
		if k.ID < at || len(sums) == Buckets && sums[bucket(k.ID)] == own[bucket(k.ID)] {
			continue
		}
		u := k.update(true)
		if room -= updateSize(u); room < 0 && pages == maxPages {
			msg.About = k.ID
			break
		} else if room < 0 {
			m.send(to, msg)
			pages++
			msg, room = Message{Kind: Page}, MaxBytes-updateSize(u)
		}
		msg.Updates = append(msg.Updates, u)
	}
	m.send(to, msg)
}
