package zonestate

import (
	"cmp"
	"slices"
)

// sendQuery asks somebody for zones of which nothing is known that is young enough, before that is too old: one of the own zone
// as a rule, and now and then anybody.
func (m *Machine) sendQuery() {
	var wants []Want
	for at, trees := range m.view.trees {
		if len(trees[0]) == 0 {
			continue
		}
		age := m.options.maxRowAge()
		if b, found := m.store.best(m.now, at, 0, m.options.Fresh); found {
			age = m.now - b.madeAt
		}
		if age > m.options.Fresh*3/4 {
			wants = append(wants, Want{at, age})
		}
	}
	whom := m.view.living
	if len(wants) == 0 || len(whom) < 2 {
		return
	}
	slices.SortFunc(wants, func(a, b Want) int { return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Place, b.Place)) })
	if mine, _ := m.position(0); len(mine) > 1 && m.draw(4) > 0 {
		whom = mine
	}
	i := m.draw(len(whom))
	if whom[i].ID == m.self.ID {
		i = (i + 1) % len(whom)
	}
	m.send(whom[i], Message{Kind: Query, Wants: wants[:min(len(wants), maxWants)]})
}

// Bounds on what questions can have a node send.
const (
	maxReplies       = 8 // a period
	maxReplyMessages = 4 // messages to each
)

// reply answers a question with what is younger.
func (m *Machine) reply(to Peer, wants []Want) {
	if m.now-m.repliesSince >= m.options.period() {
		m.repliesSince, m.repliesSent = m.now, 0
	}
	var rows []Row
	for _, w := range wants {
		for page := range uint8(pages) {
			if staysInZone(page) && w.Place != to.Place {
				continue
			}
			b, found := m.store.best(m.now, w.Place, page, m.options.Fresh)
			if found && m.now-b.madeAt < w.Age && b.Author.ID != to.ID {
				rows = append(rows, b.row(m.now))
			}
		}
	}
	if len(rows) == 0 {
		return
	}
	if m.repliesSent++; m.repliesSent > maxReplies {
		m.Dropped.Paced++
		return
	}
	m.sendRows(to, Tell, rows, maxReplyMessages)
}
