package zonestate

import (
	"cmp"
	"slices"
	"time"
)

// Maximum numbers of zones to which a root sends rows. If there are more zones, it selects the receivers at random.
const (
	maxZonesPerPeriod = 8 // per period, for the rows of its own zone
	zonesPerUpdate    = 2 // per received message with new rows of other zones
)

// send queues a message.
func (m *Machine) send(to Peer, msg Message) {
	msg.From = m.self.ID
	m.stampToken(to.ID, &msg)
	m.packets = append(m.packets, Packet{To: to.Addr, Message: msg})
}

// sendRows sends rows in as many messages as required, but at most maxMessages. Remaining rows are not sent.
func (m *Machine) sendRows(to Peer, kind MessageKind, rows []Row, maxMessages int) {
	var batch []Row
	left := MaxMessage - headSize
	sent := 0
	for i, r := range rows {
		batch = append(batch, r)
		left -= rowBytes(r)
		if i+1 < len(rows) && rowBytes(rows[i+1]) <= left {
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

// forwardInZone sends rows to this node's neighbours in the trees of their planes, except to the sender of the rows.
func (m *Machine) forwardInZone(rows []Row, from uint64) {
	for plane := range uint8(planes) {
		ofPlane := rowsOfPlane(rows, plane)
		if len(ofPlane) == 0 {
			continue
		}
		tree, i := m.position(plane)
		neighbours := tree.children(i, m.options.Fanout, m.bypassed)
		if parent, ok := tree.parent(i, m.options.Fanout, m.bypassed); ok {
			neighbours = append(neighbours, tree[parent])
		}
		for _, neighbour := range neighbours {
			if neighbour.ID == from {
				continue
			}
			others := slices.DeleteFunc(slices.Clone(ofPlane), func(r Row) bool { return r.Author.ID == neighbour.ID })
			m.sendRows(neighbour, RowUpdate, others, pages*planes)
		}
	}
}

// rowsOfPlane returns the rows of a plane.
func rowsOfPlane(rows []Row, plane uint8) []Row {
	var out []Row
	for _, r := range rows {
		if r.Plane == plane {
			out = append(out, r)
		}
	}
	return out
}

// forwardToZones sends rows of a plane to the roots of up to n other zones.
func (m *Machine) forwardToZones(plane uint8, rows []Row, n int) {
	rows = slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return staysInZone(r.Page) || r.Plane != plane })
	if len(rows) == 0 {
		return
	}
	var roots []Peer
	for zone, trees := range m.view.trees {
		if t := trees[plane]; zone != m.self.ZoneID && len(t) > 0 {
			roots = append(roots, t[t.root(m.bypassed)])
		}
	}
	slices.SortFunc(roots, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for range min(n, len(roots)) {
		i := m.draw(len(roots))
		m.sendRows(roots[i], RowUpdate, rows, pages)
		roots = slices.Delete(roots, i, i+1)
	}
}

// receiveRows merges rows and forwards the new ones. fromTree reports whether they arrived as a RowUpdate rather than a Reply.
func (m *Machine) receiveRows(from Peer, rows []Row, delay time.Duration, fromTree bool) {
	var newRows []Row
	for _, row := range rows {
		if !m.mergeRow(row, delay) {
			continue
		}
		row.Age += delay
		newRows = append(newRows, row)
		if fromTree && row.ZoneID == m.self.ZoneID && row.Page == 0 {
			m.alignToRoot(row.Plane)
			m.detectLoss(row)
		}
	}
	if len(newRows) == 0 {
		return
	}
	m.forwardInZone(newRows, from.ID)
	if len(m.view.trees) <= maxZonesPerPeriod+1 {
		return // the author of a row already sent it to all roots
	}
	for plane := range uint8(planes) {
		if tree, i := m.position(plane); i == tree.root(m.bypassed) {
			m.forwardToZones(plane, newRows, zonesPerUpdate)
		}
	}
}

// mergeRow stores a row whose network delay was at most delay. It reports whether the row is new and was not dropped.
func (m *Machine) mergeRow(row Row, delay time.Duration) bool {
	author, known := m.view.peers[row.Author.ID]
	if !known || author.ZoneID != row.ZoneID || row.Author.ID == m.self.ID {
		m.Dropped.Foreign++
		return false
	}
	if row.PartCount > maxParts(m.view.trees[row.ZoneID][0]) {
		m.Dropped.TooManyParts++
		return false
	}
	if row.Age+delay > m.options.maxRowAge() {
		m.Dropped.Expired++
		return false
	}
	if !m.store.put(row, m.now-row.Age-delay) {
		return false
	}
	if authorLink := m.links[row.Author.ID]; authorLink != nil {
		authorLink.lastHeard = m.now
	} else if row.ZoneID == m.self.ZoneID {
		m.links[row.Author.ID] = &link{lastHeard: m.now}
	}
	return true
}
