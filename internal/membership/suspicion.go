package membership

import (
	"math"
	"slices"
	"time"
)

// maxHealthScore is the maximum of the local health score, which extends probe intervals and timeouts (Lifeguard's local health
// multiplier).
const maxHealthScore = 8

// suspect adds a suspector of a member. At most 1 + Options.IndirectProbes suspectors are recorded, because further ones do not
// shorten the suspicion.
func (m *Machine) suspect(member *memberState, suspector ID) {
	if member.status == Alive {
		m.setStatus(member, member.incarnation, Suspect)
	}
	i, known := slices.BinarySearch(member.suspectors, suspector)
	if known || len(member.suspectors) > m.options.IndirectProbes {
		return
	}
	member.suspectors = slices.Insert(member.suspectors, i, suspector)
	member.transmits = 0
}

// suspicionEnd returns the time at which the suspicion of a member ends, or the deadline of its final ping if that was sent. Each
// confirmation shortens the suspicion (Lifeguard).
func (m *Machine) suspicionEnd(member *memberState) time.Duration {
	if member.finalPingUntil > 0 {
		return member.finalPingUntil
	}
	n := m.activeCount()
	shortest := float64(m.options.MinSuspicion(n))
	longest := float64(m.options.MaxSuspicion(n))
	expected := float64(min(m.options.IndirectProbes, n-2)) // confirmations after the first suspector
	if expected < 1 {
		return member.statusSince + time.Duration(shortest)
	}
	length := longest - (longest-shortest)*math.Log(float64(len(member.suspectors)))/math.Log(expected+1)
	return member.statusSince + time.Duration(max(shortest, length))
}

// expireSuspicions sends a final ping to members whose suspicion has ended, and declares those dead that did not reply to it.
func (m *Machine) expireSuspicions() {
	for _, member := range m.members {
		if member.status != Suspect || m.now < m.suspicionEnd(member) {
			continue
		}
		if member.finalPingUntil == 0 {
			m.sendFinalPing(member)
		} else {
			m.setStatus(member, member.incarnation, Dead)
		}
	}
}

// sendFinalPing pings a member that this node is about to declare dead. A running member replies with a later incarnation, so
// that updates of other members alone never cause a member to be declared dead.
func (m *Machine) sendFinalPing(member *memberState) {
	member.finalPingUntil = m.now + m.options.ProbeInterval
	m.send(member.Addr, Message{Kind: Ping})
}
