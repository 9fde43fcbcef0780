package membership

import (
	"math"
	"slices"
	"time"
)

// maxHealthScore bounds the local health score, by which periods and timeouts stretch (Lifeguard's local health multiplier).
const maxHealthScore = 8

// suspect adds a suspector of a member. Beyond 1 + Options.Indirect they are not counted: more would end the suspicion no
// sooner.
func (m *Machine) suspect(k *member, by ID) {
	if k.status == Alive {
		m.setStatus(k, k.incarnation, Suspect)
	}
	i, known := slices.BinarySearch(k.suspectors, by)
	if known || len(k.suspectors) > m.options.Indirect {
		return
	}
	k.suspectors = slices.Insert(k.suspectors, i, by)
	k.transmits = 0
}

// suspicionEnd returns when a suspicion ends: the more members confirm it, the sooner (Lifeguard).
func (m *Machine) suspicionEnd(k *member) time.Duration {
	if k.finalPingUntil > 0 {
		return k.finalPingUntil
	}
	n := m.activeCount()
	shortest := float64(m.options.MinSuspicion(n))
	longest := float64(m.options.MaxSuspicion(n))
	expected := float64(min(m.options.Indirect, n-2)) // confirmations beside the first suspector
	if expected < 1 {
		return k.since + time.Duration(shortest)
	}
	length := longest - (longest-shortest)*math.Log(float64(len(k.suspectors)))/math.Log(expected+1)
	return k.since + time.Duration(max(shortest, length))
}

// expireSuspicions sends a final ping to members whose suspicion has ended, and holds those for dead that have not
// answered theirs.
func (m *Machine) expireSuspicions() {
	for _, k := range m.members {
		if k.status != Suspect || m.now < m.suspicionEnd(k) {
			continue
		}
		if k.finalPingUntil == 0 {
			m.sendFinalPing(k)
		} else {
			m.setStatus(k, k.incarnation, Dead)
		}
	}
}

// sendFinalPing pings a member that this node is about to hold for dead. A member that runs answers with a later
// incarnation, so that no member is held for dead on the updates of others alone.
func (m *Machine) sendFinalPing(k *member) {
	k.finalPingUntil = m.now + m.options.Period
	m.send(k.Addr, Message{Kind: Ping})
}
