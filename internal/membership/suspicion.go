package membership

import (
	"math"
	"slices"
	"time"
)

// maxHealthScore bounds the local health score, by which periods and timeouts stretch (Lifeguard's local health multiplier).
const maxHealthScore = 8

// suspect adds a suspector of a member. Beyond 1 + Options.IndirectProbes they are not counted: more would end the suspicion no
// sooner.
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

// suspicionEnd returns when a suspicion ends: the more members confirm it, the sooner (Lifeguard).
func (m *Machine) suspicionEnd(member *memberState) time.Duration {
	if member.finalPingUntil > 0 {
		return member.finalPingUntil
	}
	n := m.activeCount()
	shortest := float64(m.options.MinSuspicion(n))
	longest := float64(m.options.MaxSuspicion(n))
	expected := float64(min(m.options.IndirectProbes, n-2)) // confirmations beside the first suspector
	if expected < 1 {
		return member.statusSince + time.Duration(shortest)
	}
	length := longest - (longest-shortest)*math.Log(float64(len(member.suspectors)))/math.Log(expected+1)
	return member.statusSince + time.Duration(max(shortest, length))
}

// expireSuspicions sends a final ping to members whose suspicion has ended, and holds those for dead that have not
// answered theirs.
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

// sendFinalPing pings a member that this node is about to hold for dead. A member that runs answers with a later
// incarnation, so that no member is held for dead on the updates of others alone.
func (m *Machine) sendFinalPing(member *memberState) {
	member.finalPingUntil = m.now + m.options.ProbeInterval
	m.send(member.Addr, Message{Kind: Ping})
}
