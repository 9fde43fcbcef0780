package zonestate

import (
	"cmp"
	"slices"
	"time"
)

// Bounds on the zones that a root sends rows to. Where there are more zones, the receivers are drawn at random.
const (
	maxZones       = 8 // in a period, with the rows of its own zone
	zonesPerUpdate = 2 // with rows of other zones that are new to it
)

// send queues a message.
func (m *Machine) send(to Peer, msg Message) {
	msg.From = m.self.ID
	m.stampToken(to.ID, &msg)
	m.packets = append(m.packets, Packet{To: to.Addr, Message: msg})
}

// sendRows sends rows in as many messages as they take, up to maxMessages. What is beyond is not sent.
func (m *Machine) sendRows(to Peer, kind MessageKind, rows []Row, maxMessages int) {
	var batch []Row
	left := MaxMessage - headSize
	sent := 0
	for i, r := range rows {
		batch = append(batch, r)
		left -= size(r)
		if i+1 < len(rows) && size(rows[i+1]) <= left {
			continue
		}
		if sent == maxMessages {
			return
		}
		m.send(to, Message{Kind: kind, Rows: batch})
		sent++
		batch = nil
		left = MaxMessage - headSize
	}
}

// forwardInZone sends rows to this node's neighbours in the trees of their planes, except the one that they came from.
func (m *Machine) forwardInZone(rows []Row, from uint64) {
	for at := range uint8(planes) {
		ofPlane := rowsOfPlane(rows, at)
		if len(ofPlane) == 0 {
			continue
		}
		t, i := m.position(at)
		neighbours := t.children(i, m.options.Fan, m.bypassed)
		if parent, ok := t.parent(i, m.options.Fan, m.bypassed); ok {
			neighbours = append(neighbours, t[parent])
		}
		for _, n := range neighbours {
			if n.ID == from {
				continue
			}
			others := slices.DeleteFunc(slices.Clone(ofPlane), func(r Row) bool { return r.Author.ID == n.ID })
			m.sendRows(n, Down, others, pages*planes)
		}
	}
}

// rowsOfPlane returns the rows of a plane.
func rowsOfPlane(rows []Row, at uint8) []Row {
	var out []Row
	for _, r := range rows {
		if r.Plane == at {
			out = append(out, r)
		}
	}
	return out
}

// forwardToZones sends rows of a plane to the roots of up to n other zones.
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

// receiveRows merges rows and forwards those that are new. fromTree says that they came down a tree and not as a reply.
func (m *Machine) receiveRows(from Peer, rows []Row, delay time.Duration, fromTree bool) {
	var fresh []Row
	for _, r := range rows {
		if !m.mergeRow(r, delay) {
			continue
		}
		r.Age += delay
		fresh = append(fresh, r)
		if fromTree && r.Place == m.self.Place && r.Page == 0 {
			m.alignToRoot(r.Plane)
			m.noteLoss(r)
		}
	}
	if len(fresh) == 0 {
		return
	}
	m.forwardInZone(fresh, from.ID)
	if len(m.view.trees) <= maxZones+1 {
		return // the author of a row has sent it to all roots
	}
	for at := range uint8(planes) {
		if t, i := m.position(at); i == t.root(m.bypassed) {
			m.forwardToZones(at, fresh, zonesPerUpdate)
		}
	}
}

// mergeRow stores a row that was under way for a delay at most; false: it is dropped, or is not new.
func (m *Machine) mergeRow(r Row, delay time.Duration) bool {
	author, known := m.view.peers[r.Author.ID]
	if !known || author.Place != r.Place || r.Author.ID == m.self.ID {
		m.Dropped.Foreign++
		return false
	}
	if r.From > maxParts(m.view.trees[r.Place][0]) {
		m.Dropped.Odd++
		return false
	}
	if r.Age+delay > m.options.maxRowAge() {
		m.Dropped.Late++
		return false
	}
	if !m.store.put(r, m.now-r.Age-delay) {
		return false
	}
	if l := m.links[r.Author.ID]; l != nil {
		l.heard = m.now
	} else if r.Place == m.self.Place {
		m.links[r.Author.ID] = &link{heard: m.now}
	}
	return true
}
