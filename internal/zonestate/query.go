package zonestate

import (
	"cmp"
	"slices"
)

const (
	maxReplies          = 8 // to queries, per period
	maxReplyMessages    = 4 // per query
	anyZoneQueryDivisor = 4 // one query in this number goes to a node of any zone, the others to the own zone
)

// sendQuery sends another node a query for zones whose best row is missing or about to become stale.
func (m *Machine) sendQuery() {
	queries := m.queries()
	receivers := m.view.active
	if len(queries) == 0 || len(receivers) < 2 {
		return
	}
	if ownZone, _ := m.position(0); len(ownZone) > 1 && m.draw(anyZoneQueryDivisor) > 0 {
		receivers = ownZone
	}
	i := m.draw(len(receivers))
	if receivers[i].ID == m.self.ID {
		i = (i + 1) % len(receivers)
	}
	m.send(receivers[i], Message{Kind: Query, ZoneQueries: queries[:min(len(queries), maxZoneQueries)]})
}

// staleZoneQueries returns queries for the zones with active nodes whose best row is missing or older than three quarters of
// Options.FreshAge, oldest first.
func (m *Machine) queries() []ZoneQuery {
	var queries []ZoneQuery
	for zone, trees := range m.view.trees {
		if len(trees[0]) == 0 {
			continue
		}
		age := m.options.maxRowAge()
		if best, found := m.store.best(m.now, zone, 0, m.options.FreshAge); found {
			age = m.now - best.madeAt
		}
		if age > m.options.FreshAge*3/4 {
			queries = append(queries, ZoneQuery{zone, age})
		}
	}
	slices.SortFunc(queries, func(a, b ZoneQuery) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.ZoneID, b.ZoneID))
	})
	return queries
}

// reply replies to a query with rows that are younger than those of its sender.
func (m *Machine) reply(to Peer, queries []ZoneQuery) {
	if m.now-m.repliesSince >= m.options.period() {
		m.repliesSince = m.now
		m.repliesSent = 0
	}
	rows := m.youngerRows(to, queries)
	if len(rows) == 0 {
		return
	}
	m.repliesSent++
	if m.repliesSent > maxReplies {
		m.Dropped.RateLimited++
		return
	}
	m.sendRows(to, Reply, rows, maxReplyMessages)
}

// youngerRows returns the best rows of the queried zones that are younger than those of the querying node and not its own.
func (m *Machine) youngerRows(to Peer, queries []ZoneQuery) []Row {
	var rows []Row
	for _, query := range queries {
		for page := range uint8(pages) {
			if staysInZone(page) && query.ZoneID != to.ZoneID {
				continue
			}
			best, found := m.store.best(m.now, query.ZoneID, page, m.options.FreshAge)
			if found && m.now-best.madeAt < query.Age && best.Author.ID != to.ID {
				rows = append(rows, best.row(m.now))
			}
		}
	}
	return rows
}
