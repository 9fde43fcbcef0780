package membership

import (
	"math"
	"slices"
	"time"
)

// maxHealthScore bounds the count of own ill health, by which periods and timeouts stretch (Lifeguard).
const maxHealthScore = 8

// suspect adds a voice against a member. A few are enough: more would end the suspicion no sooner.
func (m *Machine) suspect(k *member, by ID) {
	if k.status == Alive {
		m.setStatus(k, k.incarnation, Suspect)
	}
	if i, known := slices.BinarySearch(k.suspectors, by); !known && len(k.suspectors) <= m.options.Indirect {
		k.suspectors = slices.Insert(k.suspectors, i, by)
		k.transmits = 0
	}
}

// suspicionEnd is when a suspicion ends: the more members confirm it, the sooner.
func (m *Machine) suspicionEnd(k *member) time.Duration {
	if k.finalPingUntil > 0 {
		return k.finalPingUntil
	}
	n := m.activeCount()
	least, most := float64(m.options.MinSuspicion(n)), float64(m.options.MaxSuspicion(n))
	wanted := float64(min(m.options.Indirect, n-2))
	lasts := least
	if wanted >= 1 {
		lasts = max(least, most-(most-least)*math.Log(float64(len(k.suspectors)))/math.Log(wanted+1))
	}
	return k.since + time.Duration(lasts)
}

// sendFinalPing pings a member that this node is about to hold for dead: its answer would tell of a later incarnation. Nobody is held
// for dead by rumour alone.
func (m *Machine) sendFinalPing(k *member) {
	k.finalPingUntil = m.now + m.options.Period
	m.send(k.Addr, Message{Kind: Ping})
}
