package zonestate

import (
	"cmp"
	"slices"
)

const (
	maxReplies       = 8 // to queries in a period
	maxReplyMessages = 4 // to one query
	ownZoneQueries   = 4 // one query in so many may go to any zone; the others go to the own zone
)

// sendQuery asks another node for zones whose best row is close to being stale, or missing.
func (m *Machine) sendQuery() {
	wants := m.wants()
	receivers := m.view.active
	if len(wants) == 0 || len(receivers) < 2 {
		return
	}
	if ownZone, _ := m.position(0); len(ownZone) > 1 && m.draw(ownZoneQueries) > 0 {
		receivers = ownZone
	}
	i := m.draw(len(receivers))
	if receivers[i].ID == m.self.ID {
		i = (i + 1) % len(receivers)
	}
	m.send(receivers[i], Message{Kind: Query, Wants: wants[:min(len(wants), maxWants)]})
}

// wants returns the zones with active nodes whose best row is older than three quarters of Options.Fresh, oldest first.
func (m *Machine) wants() []Want {
	var wants []Want
	for at, trees := range m.view.trees {
		if len(trees[0]) == 0 {
			continue
		}
		age := m.options.maxRowAge()
		if best, found := m.store.best(m.now, at, 0, m.options.Fresh); found {
			age = m.now - best.madeAt
		}
		if age > m.options.Fresh*3/4 {
			wants = append(wants, Want{at, age})
		}
	}
	slices.SortFunc(wants, func(a, b Want) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Place, b.Place))
	})
	return wants
}

// reply answers a query with rows that are younger than those that its sender holds.
func (m *Machine) reply(to Peer, wants []Want) {
	if m.now-m.repliesSince >= m.options.period() {
		m.repliesSince = m.now
		m.repliesSent = 0
	}
	rows := m.younger(to, wants)
	if len(rows) == 0 {
		return
	}
	m.repliesSent++
	if m.repliesSent > maxReplies {
		m.Dropped.Paced++
		return
	}
	m.sendRows(to, Reply, rows, maxReplyMessages)
}

// younger returns the best rows of wanted zones that are younger than wanted and not the receiver's own.
func (m *Machine) younger(to Peer, wants []Want) []Row {
	var rows []Row
	for _, w := range wants {
		for page := range uint8(pages) {
			if staysInZone(page) && w.Place != to.Place {
				continue
			}
			best, found := m.store.best(m.now, w.Place, page, m.options.Fresh)
			if found && m.now-best.madeAt < w.Age && best.Author.ID != to.ID {
				rows = append(rows, best.row(m.now))
			}
		}
	}
	return rows
}
