package zonestate

import (
	"cmp"
	"slices"
	"time"
)

func (m *Machine) send(to Peer, msg Message) {
	msg.From, msg.Token = m.self.ID, m.token(m.now)
	if l := m.links[to.ID]; l != nil && l.peerToken != 0 {
		// Rounded down, the hop counts as longer.
		if held := (m.now - l.tokenAt) / time.Millisecond; held < 1<<16 {
			msg.Echo, msg.Held = l.peerToken, uint16(held)
		}
	}
	m.packets = append(m.packets, Packet{to.Addr, msg})
}

// sendRows sends rows in as many messages as they take.
func (m *Machine) sendRows(to Peer, kind MessageKind, rows []Row, most int) {
	var batch []Row
	room := MaxMessage - headSize
	for i, r := range rows {
		batch = append(batch, r)
		room -= size(r)
		if i+1 == len(rows) || size(rows[i+1]) > room {
			if most--; most < 0 {
				return
			}
			m.send(to, Message{Kind: kind, Rows: batch})
			batch, room = nil, MaxMessage-headSize
		}
	}
}

// forwardInZone hands rows that are news to the neighbours in their trees, but for who brought them.
func (m *Machine) forwardInZone(rows []Row, but uint64) {
	for at := range uint8(planes) {
		var mine []Row
		for _, r := range rows {
			if r.Plane == at {
				mine = append(mine, r)
			}
		}
		if len(mine) == 0 {
			continue
		}
		t, i := m.position(at)
		to := t.children(i, m.options.Fan, m.bypassed)
		if up, has := t.parent(i, m.options.Fan, m.bypassed); has {
			to = append(to, t[up])
		}
		for _, p := range to {
			if p.ID == but {
				continue
			}
			// Nobody is told what is its own.
			m.sendRows(p, Down, slices.DeleteFunc(slices.Clone(mine), func(r Row) bool { return r.Author.ID == p.ID }), pages*planes)
		}
	}
}

// maxZones bounds the zones that a root tells of its own in one period. Where there are more they are drawn, and each root tells
// spread others of what is news to it.
const (
	maxZones       = 8
	zonesPerUpdate = 2
)

// forwardToZones tells the roots of up to n other zones.
func (m *Machine) forwardToZones(at uint8, rows []Row, n int) {
	rows = slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return staysInZone(r.Page) || r.Plane != at })
	if len(rows) == 0 {
		return
	}
	var roots []Peer
	for place, trees := range m.view.trees {
		if t := trees[at]; place != m.self.Place && len(t) > 0 {
			roots = append(roots, t[t.root(m.bypassed)])
		}
	}
	slices.SortFunc(roots, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for range min(n, len(roots)) {
		i := m.draw(len(roots))
		m.sendRows(roots[i], Down, rows, pages)
		roots = slices.Delete(roots, i, i+1)
	}
}

// receiveRows merges rows, and hands on what is news. wave: they come down a tree, and not late by a question.
func (m *Machine) receiveRows(from Peer, rows []Row, delay time.Duration, wave bool) {
	var news []Row
	for _, r := range rows {
		author, known := m.view.peers[r.Author.ID]
		switch {
		case !known || author.Place != r.Place || r.Author.ID == m.self.ID:
			m.Dropped.Foreign++
		case r.From > 2*len(m.view.trees[r.Place][0])+8:
			m.Dropped.Odd++
		case r.Age+delay > m.options.maxRowAge():
			m.Dropped.Late++
		case m.store.put(r, m.now-r.Age-delay):
			if l := m.links[r.Author.ID]; l != nil {
				l.heard = m.now
			} else if r.Place == m.self.Place {
				m.links[r.Author.ID] = &link{heard: m.now}
			}
			r.Age += delay
			news = append(news, r)
			if wave && r.Place == m.self.Place && r.Page == 0 {
				m.alignToRoot(r.Plane)
				m.noteLoss(r)
			}
		}
	}
	if len(news) == 0 {
		return
	}
	m.forwardInZone(news, from.ID)
	if len(m.view.trees) > maxZones+1 {
		for at := range uint8(planes) {
			if t, i := m.position(at); i == t.root(m.bypassed) {
				m.forwardToZones(at, news, zonesPerUpdate)
			}
		}
	}
}
