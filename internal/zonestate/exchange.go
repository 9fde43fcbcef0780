package zonestate

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"damsontrestle/internal/splitmix"
)

// MessageKind says what a message is for.
type MessageKind uint8

// Kinds of messages.
const (
	Up    MessageKind = iota + 1 // parts for the receiver, its sender's parent in a plane
	Down                         // rows that are news to the sender
	Tell                         // rows that were asked for
	Query                        // asks for rows of zones that are younger than what the sender holds
)

// Message is what one node sends another.
type Message struct {
	Kind  MessageKind
	From  uint64
	Token uint32 // the sender's clock when it was sent, in milliseconds from a drawn origin
	Echo  uint32 // the last token that came from the receiver; 0: none
	Held  uint16 // milliseconds since then
	Rows  []Row
	Wants []Want
}

// Want is a zone of which somebody wants to know more, and how old the best is that it holds.
type Want struct {
	Place Place
	Age   time.Duration
}

// Packet is a message on its way out.
type Packet struct {
	To netip.AddrPort
	Message
}

// Dropped counts what was not taken, by why.
type Dropped struct {
	Unbounded int `json:"unbounded"` // rows whose hop could have taken any time
	Late      int `json:"late"`      // rows that were or grew too old
	Foreign   int `json:"foreign"`   // rows of an author that is not known in their zone, or parts of no child
	Odd       int `json:"odd"`       // rows of more nodes than there can be
	Cut       int `json:"cut"`       // entries that a row had no room for
	Paced     int `json:"paced"`     // questions beyond what is answered in a period
}

// drift is the part of a time by which two clocks may measure it apart.
const drift = 1000

// link is what is known of the way to another.
type link struct {
	peerToken uint32        // the last that came
	tokenAt   time.Duration // when
	heard     time.Duration // when a message or a row of its making came last
}

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

// Machine is one node's exchange. Its methods belong to one goroutine.
type Machine struct {
	options      Options
	self         Peer
	incarnation  uint32
	seed         uint64
	draws        uint64
	now          time.Duration
	view         *View
	zones        map[Place]*zoneFreshness // of each place of the view
	links        map[uint64]*link
	planes       [planes]plane
	store        store
	ownPart      Pages
	ownPartAt    time.Duration // when own was made; 0: never
	lossUntil    time.Duration // until when messages are taken to get lost
	queriedAt    time.Duration // when the last question went out
	repliesSent  int           // questions that were answered since
	repliesSince time.Duration // then
	packets      []Packet

	Dropped Dropped
}

// New returns a Machine that knows nobody. Nothing goes out before Tick.
func New(now time.Duration, self Peer, o Options, seed uint64) (*Machine, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if self.ID == 0 {
		return nil, fmt.Errorf("zonestate: a node without an ID")
	}
	m := &Machine{options: o, self: self, seed: seed, now: now, queriedAt: now, repliesSince: now, zones: map[Place]*zoneFreshness{}, links: map[uint64]*link{},
		store: store{keep: o.maxRowAge(), rows: map[pageKey][]storedRow{}}}
	for i := range m.planes {
		m.planes[i] = plane{parts: map[uint64][pages]*part{}, due: now + o.period()*time.Duration(i+1)/planes}
	}
	m.See(now, NewView([]Peer{self}))
	return m, nil
}

func (m *Machine) draw(n int) int {
	m.draws++
	return splitmix.Draw(m.seed, m.draws, n)
}

// SetIncarnation takes the incarnation that the membership has for this node. Rows go by it.
func (m *Machine) SetIncarnation(incarnation uint32) { m.incarnation = max(m.incarnation, incarnation) }

// Set takes what the node itself sees as of now.
func (m *Machine) Set(now time.Duration, p Pages) {
	m.now = max(m.now, now)
	m.ownPart, m.ownPartAt = p, m.now
}

// token is a time as a token: never 0.
func (m *Machine) token(at time.Duration) uint32 {
	return max(1, uint32(at/time.Millisecond)+uint32(splitmix.Mix(m.seed)))
}

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

// Next is when Tick is due.
func (m *Machine) Next() time.Duration {
	return min(m.planes[0].due, m.planes[1].due, m.queriedAt+m.options.period()/2)
}

// Tick does what is due at a time of this node's clock.
func (m *Machine) Tick(now time.Duration) []Packet {
	m.begin(now)
	m.Dropped.Late += m.store.advance(m.now)
	for i := range m.planes {
		if m.now >= m.planes[i].due {
			m.sendPlane(uint8(i))
		}
	}
	if m.now >= m.queriedAt+m.options.period()/2 {
		m.queriedAt = m.now
		m.updateFreshness()
		m.sendQuery()
	}
	return m.packets
}

func (m *Machine) begin(now time.Duration) {
	m.now = max(m.now, now)
	m.packets = nil
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

// Receive takes a message.
func (m *Machine) Receive(now time.Duration, msg Message) []Packet {
	m.begin(now)
	from, known := m.view.peers[msg.From]
	if !known || msg.From == m.self.ID {
		m.Dropped.Foreign += len(msg.Rows)
		return nil
	}
	l := m.links[msg.From]
	if l == nil {
		l = &link{}
		m.links[msg.From] = l
	}
	l.peerToken, l.tokenAt, l.heard = msg.Token, m.now, m.now
	delay, bounded := m.hopDelay(msg)
	if !bounded {
		m.Dropped.Unbounded += len(msg.Rows)
		msg.Rows = nil
	}
	switch msg.Kind {
	case Up:
		m.receiveParts(from, msg.Rows, delay)
	case Down, Tell:
		m.receiveRows(from, msg.Rows, delay, msg.Kind == Down)
	case Query:
		m.reply(from, msg.Wants)
	}
	return m.packets
}

// hopDelay is how long a message can have been on its way: no longer than since this node's own token left, less what the sender
// held that for. Both clocks may be off by drift, and times are in milliseconds.
func (m *Machine) hopDelay(msg Message) (time.Duration, bool) {
	if msg.Echo == 0 {
		return 0, false
	}
	gone := time.Duration(m.token(m.now)-msg.Echo+2) * time.Millisecond
	if gone > 1<<17*time.Millisecond {
		return 0, false // of another incarnation, or long ago
	}
	held := time.Duration(msg.Held) * time.Millisecond
	if held > gone+held/drift {
		return 0, false
	}
	return max(0, gone-held) + (gone+held)/drift, true
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
