package zonestate

import (
	"slices"
	"time"
)

// lossPeriods is for how many periods this node sends its parts twice after a row was lost.
const lossPeriods = 10

// part is what a child sends up a plane.
type part struct {
	Row
	madeAt time.Duration // time of this node's clock before which the oldest part in it was not made
}

// plane is this node's role in one aggregation tree.
type plane struct {
	parts   map[uint64][pages]*part // by the children's IDs
	seq     uint32                  // of the last row that this node made as the root
	root    Author                  // of the row that came last from this zone's root
	rootSeq uint32                  // sequence of that row
	due     time.Duration           // when the next part goes up, or the root makes its next rows
	resend  bool                    // the part goes up a second time, in case the first was lost
}

// sendPlane sends this node's parts to its parent in a plane, or makes rows if it is the root.
func (m *Machine) sendPlane(at uint8) {
	t, i := m.position(at)
	parent, hasParent := t.parent(i, m.options.Fan, m.bypassed)
	children := t.children(i, m.options.Fan, m.bypassed)
	rows := m.aggregate(at, children)
	if hasParent {
		m.sendUp(at, t[parent], rows, len(children) > 0)
		return
	}
	m.publish(at, rows)
}

// sendUp sends parts to the parent, and plans a second time if children depend on this node or messages get lost.
func (m *Machine) sendUp(at uint8, parent Peer, rows []Row, hasChildren bool) {
	p := &m.planes[at]
	wait := m.options.period()
	switch {
	case p.resend:
		p.resend = false
		wait -= levelStep(m.options.Delay) / 2
		rows = slices.DeleteFunc(rows, func(r Row) bool { return staysInZone(r.Page) })
	case hasChildren || m.now < m.lossUntil:
		p.resend = true
		wait = levelStep(m.options.Delay) / 2
	}
	m.sendRows(parent, Up, rows, pages)
	p.due = m.now + wait
}

// publish makes rows as the root of a plane and sends them down the trees and to other zones.
func (m *Machine) publish(at uint8, rows []Row) {
	p := &m.planes[at]
	p.due += m.options.period()
	if p.due <= m.now {
		p.due = m.now + m.options.period()
	}
	p.resend = false
	p.seq++
	for i := range rows {
		rows[i].Seq = p.seq
		m.store.put(rows[i], m.now-rows[i].Age)
	}
	m.forwardInZone(rows, 0)
	m.forwardToZones(at, rows, maxZones)
}

// aggregate adds up this node's own part and its children's, page by page. A page without parts has no row.
func (m *Machine) aggregate(at uint8, children []Peer) []Row {
	parts := m.planes[at].parts
	for id := range parts {
		if !containsPeer(children, id) {
			delete(parts, id)
		}
	}
	var rows []Row
	for page := range uint8(pages) {
		r := Row{Place: m.self.Place, Plane: at, Page: page, Author: Author{m.self.ID, m.incarnation}}
		var lists [][]Entry
		if m.ownPartAt > 0 && m.now-m.ownPartAt <= m.options.maxPartAge() {
			r.From = 1
			r.Age = m.now - m.ownPartAt
			lists = append(lists, m.ownPart[page])
		}
		for _, c := range children {
			x := parts[c.ID][page]
			if x == nil || m.now-x.madeAt > m.options.maxPartAge() {
				continue
			}
			r.From += x.From
			r.Age = max(r.Age, m.now-x.madeAt)
			lists = append(lists, x.Entries)
		}
		var dropped int
		r.Entries, dropped = combine(lists...)
		m.Dropped.Cut += dropped
		if r.From > 0 {
			rows = append(rows, r)
		}
	}
	return rows
}

// receiveParts stores the parts that a child sent.
func (m *Machine) receiveParts(from Peer, rows []Row, delay time.Duration) {
	for _, r := range rows {
		t, i := m.position(r.Plane)
		children := t.children(i, m.options.Fan, m.bypassed)
		if r.Place != m.self.Place || r.Author.ID != from.ID || !containsPeer(children, from.ID) {
			m.Dropped.Foreign++
			continue
		}
		if r.From > maxParts(t) {
			m.Dropped.Odd++
			continue
		}
		parts := m.planes[r.Plane].parts
		byPage := parts[from.ID]
		madeAt := m.now - r.Age - delay
		if earlier := byPage[r.Page]; earlier != nil && earlier.madeAt >= madeAt {
			continue // a duplicate, or overtaken by a later part
		}
		byPage[r.Page] = &part{r, madeAt}
		parts[from.ID] = byPage
	}
}

// maxParts returns how many parts a row of a zone can be made of: each node twice, and some that this node does not know
// yet.
func maxParts(nodes tree) int { return 2*len(nodes) + 8 }

func containsPeer(peers []Peer, id uint64) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.ID == id })
}

// noteLoss notes if rows of the own zone's root were lost: then what this node sends up may be lost too.
func (m *Machine) noteLoss(r Row) {
	p := &m.planes[r.Plane]
	if p.root == r.Author && int32(r.Seq-p.rootSeq) > 1 {
		m.lossUntil = m.now + lossPeriods*m.options.period()
	}
	p.root = r.Author
	p.rootSeq = r.Seq
}

// alignToRoot times this node's sending by a row of the root. Parts go up so that those of each level have come when the
// next one sends its own, and the root of the second plane makes its rows half a period after the first's.
func (m *Machine) alignToRoot(at uint8) {
	t, i := m.position(at)
	if i != t.root(m.bypassed) {
		step := levelStep(m.options.Delay)
		p := &m.planes[at]
		p.due = m.now + m.options.period() - time.Duration(level(i, m.options.Fan))*step - step/2
		p.resend = false
	}
	if at != 0 {
		return
	}
	const second = planes - 1
	t, _ = m.position(second)
	if t[t.root(m.bypassed)].ID != m.self.ID {
		return
	}
	p := &m.planes[second]
	quarter := m.options.period() / 4
	p.due = max(p.due-quarter, min(m.now+m.options.period()/2, p.due+quarter))
}
