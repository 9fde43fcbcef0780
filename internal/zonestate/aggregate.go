package zonestate

import (
	"slices"
	"time"
)

// resendPeriods is the number of periods for which this node sends its parts twice after it detected a lost row.
const resendPeriods = 10

// part is the sum of a subtree's entries on one page, as sent by a child to its parent in a plane.
type part struct {
	Row
	madeAt time.Duration // lower bound on the creation time of the oldest part in it, by this node's clock
}

// plane is this node's state in one aggregation tree.
type plane struct {
	parts    map[uint64][pages]*part // by the IDs of the children
	seq      uint32                  // of the last rows that this node published as the root
	root     Author                  // of the last row received from the root of this zone
	rootSeq  uint32                  // sequence number of that row
	nextSend time.Duration           // time of the next part to the parent, or of the next rows if this node is the root
	resend   bool                    // nextSend is the second transmission of the current parts, in case the first was lost
}

// sendPlane sends this node's parts to its parent in a plane, or publishes rows if it is the root.
func (m *Machine) sendPlane(plane uint8) {
	tree, i := m.position(plane)
	parent, hasParent := tree.parent(i, m.options.Fanout, m.bypassed)
	children := tree.children(i, m.options.Fanout, m.bypassed)
	rows := m.aggregate(plane, children)
	if hasParent {
		m.sendUp(plane, tree[parent], rows, len(children) > 0)
		return
	}
	m.publish(plane, rows)
}

// sendUp sends parts to the parent, and schedules a second transmission if this node has children or message loss was detected.
func (m *Machine) sendUp(plane uint8, parent Peer, rows []Row, hasChildren bool) {
	planeState := &m.planes[plane]
	interval := m.options.period()
	switch {
	case planeState.resend:
		planeState.resend = false
		interval -= levelInterval(m.options.Delay) / 2
		rows = slices.DeleteFunc(rows, func(r Row) bool { return staysInZone(r.Page) })
	case hasChildren || m.now < m.resendUntil:
		planeState.resend = true
		interval = levelInterval(m.options.Delay) / 2
	}
	m.sendRows(parent, PartUpdate, rows, pages)
	planeState.nextSend = m.now + interval
}

// publish publishes the rows of the root of a plane: it sends them down the tree and to other zones.
func (m *Machine) publish(plane uint8, rows []Row) {
	planeState := &m.planes[plane]
	planeState.nextSend += m.options.period()
	if planeState.nextSend <= m.now {
		planeState.nextSend = m.now + m.options.period()
	}
	planeState.resend = false
	planeState.seq++
	for i := range rows {
		rows[i].Seq = planeState.seq
		m.store.put(rows[i], m.now-rows[i].Age)
	}
	m.forwardInZone(rows, 0)
	m.forwardToZones(plane, rows, maxZonesPerPeriod)
}

// aggregate combines this node's own part and those of its children, page by page. It returns no row for a page without parts.
func (m *Machine) aggregate(plane uint8, children []Peer) []Row {
	parts := m.planes[plane].parts
	for id := range parts {
		if !containsPeer(children, id) {
			delete(parts, id)
		}
	}
	var rows []Row
	for page := range uint8(pages) {
		row := Row{ZoneID: m.self.ZoneID, Plane: plane, Page: page, Author: Author{m.self.ID, m.incarnation}}
		var lists [][]Entry
		if m.ownPartAt > 0 && m.now-m.ownPartAt <= m.options.maxPartAge() {
			row.PartCount = 1
			row.Age = m.now - m.ownPartAt
			lists = append(lists, m.ownPart[page])
		}
		for _, child := range children {
			childPart := parts[child.ID][page]
			if childPart == nil || m.now-childPart.madeAt > m.options.maxPartAge() {
				continue
			}
			row.PartCount += childPart.PartCount
			row.Age = max(row.Age, m.now-childPart.madeAt)
			lists = append(lists, childPart.Entries)
		}
		var dropped int
		row.Entries, dropped = combine(lists...)
		m.Dropped.Truncated += dropped
		if row.PartCount > 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// receiveParts stores parts received from a child.
func (m *Machine) receiveParts(from Peer, rows []Row, delay time.Duration) {
	for _, row := range rows {
		tree, i := m.position(row.Plane)
		children := tree.children(i, m.options.Fanout, m.bypassed)
		if row.ZoneID != m.self.ZoneID || row.Author.ID != from.ID || !containsPeer(children, from.ID) {
			m.Dropped.Foreign++
			continue
		}
		if row.PartCount > maxParts(tree) {
			m.Dropped.TooManyParts++
			continue
		}
		parts := m.planes[row.Plane].parts
		byPage := parts[from.ID]
		madeAt := m.now - row.Age - delay
		if earlier := byPage[row.Page]; earlier != nil && earlier.madeAt >= madeAt {
			continue // a duplicate, or older than the stored part
		}
		byPage[row.Page] = &part{row, madeAt}
		parts[from.ID] = byPage
	}
}

// maxParts returns the maximum plausible number of parts in a row of a zone: two of each node, and some of nodes that this node
// does not know yet.
func maxParts(nodes tree) int { return 2*len(nodes) + 8 }

func containsPeer(peers []Peer, id uint64) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.ID == id })
}

// detectLoss detects lost rows of the own zone's root by gaps in their sequence numbers. In that case the parts that this node
// sends may be lost as well, and are sent twice for a while.
func (m *Machine) detectLoss(row Row) {
	planeState := &m.planes[row.Plane]
	if planeState.root == row.Author && int32(row.Seq-planeState.rootSeq) > 1 {
		m.resendUntil = m.now + resendPeriods*m.options.period()
	}
	planeState.root = row.Author
	planeState.rootSeq = row.Seq
}

// alignToRoot schedules this node's next transmission relative to a row of the root. Each level of the tree sends its parts
// early enough that they arrive before the next level sends its own. The root of the second plane publishes its rows half a
// period after that of the first.
func (m *Machine) alignToRoot(plane uint8) {
	tree, i := m.position(plane)
	if i != tree.root(m.bypassed) {
		step := levelInterval(m.options.Delay)
		planeState := &m.planes[plane]
		planeState.nextSend = m.now + m.options.period() - time.Duration(level(i, m.options.Fanout))*step - step/2
		planeState.resend = false
	}
	if plane != 0 {
		return
	}
	const second = planes - 1
	tree, _ = m.position(second)
	if tree[tree.root(m.bypassed)].ID != m.self.ID {
		return
	}
	planeState := &m.planes[second]
	quarter := m.options.period() / 4
	planeState.nextSend = max(planeState.nextSend-quarter, min(m.now+m.options.period()/2, planeState.nextSend+quarter))
}
