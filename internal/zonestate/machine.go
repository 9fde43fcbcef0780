package zonestate

import (
	"fmt"
	"time"

	"damsontrestle/internal/splitmix"
)

// Dropped counts what was not taken, by why.
type Dropped struct {
	Unbounded int `json:"unbounded"` // rows whose hop could have taken any time
	Late      int `json:"late"`      // rows that were or grew too old
	Foreign   int `json:"foreign"`   // rows of an author that is not known in their zone, or parts of no child
	Odd       int `json:"odd"`       // rows of more nodes than there can be
	Cut       int `json:"cut"`       // entries that a row had no room for
	Paced     int `json:"paced"`     // questions beyond what is answered in a period
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
