package zonestate

import (
	"errors"
	"time"

	"damsontrestle/internal/splitmix"
)

// Dropped counts what was not used, by reason.
type Dropped struct {
	Unbounded    int `json:"unbounded"` // rows whose delay on the hop has no bound
	Expired      int `json:"late"`      // rows that came or grew too old
	Foreign      int `json:"foreign"`   // rows whose author is not known in their zone, and parts of nodes that are no children
	TooManyParts int `json:"odd"`       // rows of more nodes than there can be
	Truncated    int `json:"cut"`       // entries for which a row had no space
	RateLimited  int `json:"paced"`     // queries beyond maxReplies in a period
}

// Machine is the state of one node's exchange. Its methods belong to one goroutine.
type Machine struct {
	options     Options
	self        Peer
	incarnation uint32
	now         time.Duration

	seed  uint64 // of the random draws
	draws uint64 // made so far

	view   *View
	zones  map[ZoneID]*zoneFreshness // of each zone of the view
	links  map[uint64]*link          // by the IDs of nodes
	planes [planes]plane
	store  store

	ownPart     Pages
	ownPartAt   time.Duration // when ownPart was set; 0: never
	resendUntil time.Duration // until when messages are assumed to get lost

	queriedAt    time.Duration // when the last query went out
	repliesSent  int           // queries that were answered since repliesSince
	repliesSince time.Duration

	packets []Packet // to be sent after the call at hand

	// Dropped counts what this node did not use.
	Dropped Dropped
}

// New returns a Machine that knows no other node. Nothing goes out before Tick. The seed decides all random draws, so that a
// run can be repeated. Options out of range and a node without an ID are errors.
func New(now time.Duration, self Peer, o Options, seed uint64) (*Machine, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if self.ID == 0 {
		return nil, errors.New("zonestate: a node without an ID")
	}
	m := &Machine{
		options:      o,
		self:         self,
		now:          now,
		seed:         seed,
		zones:        map[ZoneID]*zoneFreshness{},
		links:        map[uint64]*link{},
		store:        store{maxAge: o.maxRowAge(), rows: map[pageKey][]storedRow{}},
		queriedAt:    now,
		repliesSince: now,
	}
	for i := range m.planes {
		// The planes are due in turns.
		due := now + o.period()*time.Duration(i+1)/planes
		m.planes[i] = plane{parts: map[uint64][pages]*part{}, nextSend: due}
	}
	m.SetView(now, NewView([]Peer{self}))
	return m, nil
}

// draw returns a pseudo-random number below n.
func (m *Machine) draw(n int) int {
	m.draws++
	return splitmix.Draw(m.seed, m.draws, n)
}

// SetIncarnation sets the incarnation of this node, which membership decides. It never goes back.
func (m *Machine) SetIncarnation(incarnation uint32) { m.incarnation = max(m.incarnation, incarnation) }

// Set sets this node's own part, as measured now.
func (m *Machine) SetOwnPart(now time.Duration, p Pages) {
	m.now = max(m.now, now)
	m.ownPart = p
	m.ownPartAt = m.now
}

// Next returns the time at which Tick is due.
func (m *Machine) Next() time.Duration {
	return min(m.planes[0].nextSend, m.planes[1].nextSend, m.nextQuery())
}

// nextQuery returns when queries are due, which are sent only if something is missing.
func (m *Machine) nextQuery() time.Duration { return m.queriedAt + m.options.period()/2 }

// Tick does what is due at a time of this node's clock and returns the messages to send.
func (m *Machine) Tick(now time.Duration) []Packet {
	m.begin(now)
	m.Dropped.Expired += m.store.advance(m.now)
	for i := range m.planes {
		if m.now >= m.planes[i].nextSend {
			m.sendPlane(uint8(i))
		}
	}
	if m.now >= m.nextQuery() {
		m.queriedAt = m.now
		m.updateFreshness()
		m.sendQuery()
	}
	return m.packets
}

// begin advances the time, which never goes back, and clears what belonged to the call before.
func (m *Machine) begin(now time.Duration) {
	m.now = max(m.now, now)
	m.packets = nil
}

// Receive handles a message at a time of this node's clock and returns the messages to send. What comes from a node that is not
// in the view is dropped.
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
	l.peerToken = msg.Token
	l.tokenReceivedAt = m.now
	l.lastHeard = m.now
	delay, bounded := m.hopDelay(msg)
	if !bounded {
		m.Dropped.Unbounded += len(msg.Rows)
		msg.Rows = nil
	}
	switch msg.Kind {
	case PartUpdate:
		m.receiveParts(from, msg.Rows, delay)
	case RowUpdate, Reply:
		m.receiveRows(from, msg.Rows, delay, msg.Kind == RowUpdate)
	case Query:
		m.reply(from, msg.ZoneQueries)
	}
	return m.packets
}
