package zonestate

import (
	"slices"
	"time"
)

// part is what a child, or this node, adds.
type part struct {
	Row
	madeAt time.Duration
}

// plane is this node's part in one.
type plane struct {
	parts   map[uint64][pages]*part // by the children's IDs
	seq     uint32
	root    Author        // whose row came last
	rootSeq uint32        // and its sequence
	due     time.Duration // when the next part goes up, or the next rows are made
	resend  bool          // what goes abroad goes up a second time, for one may be lost
}

// sendPlane sends this node's parts up a plane, or makes rows if it is the root.
func (m *Machine) sendPlane(at uint8) {
	t, i := m.position(at)
	up, hasParent := t.parent(i, m.options.Fan, m.bypassed)
	children := t.children(i, m.options.Fan, m.bypassed)
	rows := m.aggregate(at, children)
	p := &m.planes[at]
	if hasParent {
		wait := m.options.period()
		switch twice := len(children) > 0 || m.now < m.lossUntil; {
		case p.resend:
			wait -= levelStep(m.options.Delay) / 2
			p.resend = false
			rows = slices.DeleteFunc(rows, func(r Row) bool { return staysInZone(r.Page) })
		case twice:
			wait = levelStep(m.options.Delay) / 2
			p.resend = true
		}
		m.sendRows(t[up], Up, rows, pages)
		p.due = m.now + wait
		return
	}
	if p.due += m.options.period(); p.due <= m.now {
		p.due = m.now + m.options.period()
	}
	p.resend = false
	p.seq++
	for k := range rows {
		rows[k].Author, rows[k].Seq = Author{m.self.ID, m.incarnation}, p.seq
		m.store.put(rows[k], m.now-rows[k].Age)
	}
	m.forwardInZone(rows, 0)
	m.forwardToZones(at, rows, maxZones)
}

// aggregate are this node's own part and its children's, by page.
func (m *Machine) aggregate(at uint8, children []Peer) (rows []Row) {
	p := &m.planes[at]
	for id := range p.parts {
		if !slices.ContainsFunc(children, func(c Peer) bool { return c.ID == id }) {
			delete(p.parts, id)
		}
	}
	for page := range uint8(pages) {
		r := Row{Place: m.self.Place, Plane: at, Page: page, Author: Author{m.self.ID, m.incarnation}}
		var lists [][]Entry
		if m.ownPartAt > 0 && m.now-m.ownPartAt <= m.options.maxPartAge() {
			r.From, r.Age = 1, m.now-m.ownPartAt
			lists = append(lists, m.ownPart[page])
		}
		for _, c := range children {
			x := p.parts[c.ID][page]
			if x == nil || m.now-x.madeAt > m.options.maxPartAge() {
				continue
			}
			r.From += x.From
			r.Age = max(r.Age, m.now-x.madeAt)
			lists = append(lists, x.Entries)
		}
		var cut int
		r.Entries, cut = combine(lists...)
		m.Dropped.Cut += cut
		if r.From > 0 { // an empty page says that there is nothing to tell
			rows = append(rows, r)
		}
	}
	return rows
}

// receiveParts takes what a child adds.
func (m *Machine) receiveParts(from Peer, rows []Row, delay time.Duration) {
	for _, r := range rows {
		t, i := m.position(r.Plane)
		children := t.children(i, m.options.Fan, m.bypassed)
		if r.Place != m.self.Place || r.Author.ID != from.ID || !slices.ContainsFunc(children, func(c Peer) bool { return c.ID == from.ID }) {
			m.Dropped.Foreign++
			continue
		}
		if r.From > 2*len(t)+8 {
			m.Dropped.Odd++
			continue
		}
		p := m.planes[r.Plane].parts[from.ID]
		made := m.now - r.Age - delay
		if was := p[r.Page]; was != nil && was.madeAt >= made {
			continue // came twice, or in another order
		}
		p[r.Page] = &part{r, made}
		m.planes[r.Plane].parts[from.ID] = p
	}
}

// lossPeriods is for how many periods a loss is remembered.
const lossPeriods = 10

// noteLoss notes that rows of the own root were lost: what this node sends up may be too.
func (m *Machine) noteLoss(r Row) {
	p := &m.planes[r.Plane]
	if p.root == r.Author && int32(r.Seq-p.rootSeq) > 1 {
		m.lossUntil = m.now + lossPeriods*m.options.period()
	}
	p.root, p.rootSeq = r.Author, r.Seq
}

// alignToRoot times this node's work by the root's: parts go up so that each level's are there when the next sends its own, and a
// root of the second plane makes its rows half a period from the first's.
func (m *Machine) alignToRoot(at uint8) {
	t, i := m.position(at)
	if i != t.root(m.bypassed) {
		m.planes[at].due = m.now + m.options.period() - time.Duration(level(i, m.options.Fan))*levelStep(m.options.Delay) - levelStep(m.options.Delay)/2
		m.planes[at].resend = false
	}
	other := planes - 1 - at
	t, _ = m.position(other)
	if at == 0 && t[t.root(m.bypassed)].ID == m.self.ID {
		p := &m.planes[other]
		p.due = max(p.due-m.options.period()/4, min(m.now+m.options.period()/2, p.due+m.options.period()/4))
	}
}
