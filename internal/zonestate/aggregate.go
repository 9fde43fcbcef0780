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
	p := &m.planes[plane]
	interval := m.options.period()
	switch {
	case p.resend:
		p.resend = false
		interval -= levelInterval(m.options.Delay) / 2
		rows = slices.DeleteFunc(rows, func(r Row) bool { return staysInZone(r.Page) })
	case hasChildren || m.now < m.resendUntil:
		p.resend = true
		interval = levelInterval(m.options.Delay) / 2
	}
	m.sendRows(parent, PartUpdate, rows, pages)
	p.nextSend = m.now + interval
}

// publish publishes the rows of the root of a plane: it sends them down the tree and to other zones.
func (m *Machine) publish(plane uint8, rows []Row) {
	p := &m.planes[plane]
	p.nextSend += m.options.period()
	if p.nextSend <= m.now {
		p.nextSend = m.now + m.options.period()
	}
	p.resend = false
	p.seq++
	for i := range rows {
		rows[i].Seq = p.seq
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
		r := Row{ZoneID: m.self.ZoneID, Plane: plane, Page: page, Author: Author{m.self.ID, m.incarnation}}
		var lists [][]Entry
		if m.ownPartAt > 0 && m.now-m.ownPartAt <= m.options.maxPartAge() {
			r.PartCount = 1
			r.Age = m.now - m.ownPartAt
			lists = append(lists, m.ownPart[page])
		}
		for _, child := range children {
			childPart := parts[child.ID][page]
			if childPart == nil || m.now-childPart.madeAt > m.options.maxPartAge() {
				continue
			}
			r.PartCount += childPart.PartCount
			r.Age = max(r.Age, m.now-childPart.madeAt)
			lists = append(lists, childPart.Entries)
		}
		var dropped int
		r.Entries, dropped = combine(lists...)
		m.Dropped.Truncated += dropped
		if r.PartCount > 0 {
			rows = append(rows, r)
		}
	}
	return rows
}

// receiveParts stores parts received from a child.
func (m *Machine) receiveParts(from Peer, rows []Row, delay time.Duration) {
	for _, r := range rows {
		t, i := m.position(r.Plane)
		children := t.children(i, m.options.Fanout, m.bypassed)
		if r.ZoneID != m.self.ZoneID || r.Author.ID != from.ID || !containsPeer(children, from.ID) {
			m.Dropped.Foreign++
			continue
		}
		if r.PartCount > maxParts(t) {
			m.Dropped.TooManyParts++
			continue
		}
		parts := m.planes[r.Plane].parts
		byPage := parts[from.ID]
		madeAt := m.now - r.Age - delay
		if earlier := byPage[r.Page]; earlier != nil && earlier.madeAt >= madeAt {
			continue // a duplicate, or older than the stored part
		}
		byPage[r.Page] = &part{r, madeAt}
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
func (m *Machine) detectLoss(r Row) {
	p := &m.planes[r.Plane]
	if p.root == r.Author && int32(r.Seq-p.rootSeq) > 1 {
		m.resendUntil = m.now + resendPeriods*m.options.period()
	}
	p.root = r.Author
	p.rootSeq = r.Seq
}

// alignToRoot schedules this node's next transmission relative to a row of the root. Each level of the tree sends its parts
// early enough that they arrive before the next level sends its own. The root of the second plane publishes its rows half a
// period after that of the first.
func (m *Machine) alignToRoot(plane uint8) {
	t, i := m.position(plane)
	if i != t.root(m.bypassed) {
		step := levelInterval(m.options.Delay)
		p := &m.planes[plane]
		p.nextSend = m.now + m.options.period() - time.Duration(level(i, m.options.Fanout))*step - step/2
		p.resend = false
	}
	if plane != 0 {
		return
	}
	const second = planes - 1
	t, _ = m.position(second)
	if t[t.root(m.bypassed)].ID != m.self.ID {
		return
	}
	p := &m.planes[second]
	quarter := m.options.period() / 4
	p.nextSend = max(p.nextSend-quarter, min(m.now+m.options.period()/2, p.nextSend+quarter))
}
