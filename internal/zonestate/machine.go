package zonestate

import (
	"errors"
	"time"

	"damsontrestle/internal/splitmix"
)

// Dropped counts discarded rows, parts, entries and queries by reason.
type Dropped struct {
	Unbounded    int `json:"unbounded"` // rows and parts without a bound on their network delay
	Expired      int `json:"late"`      // rows that were too old on arrival or have expired
	Foreign      int `json:"foreign"`   // rows whose author is unknown or not in their zone, rows of unknown senders, and parts from nodes that are not children
	TooManyParts int `json:"odd"`       // rows and parts with more parts than the zone can have
	Truncated    int `json:"cut"`       // entries that exceeded the size of a row
	RateLimited  int `json:"paced"`     // queries in excess of maxReplies per period
}

// Machine is the protocol state of one node. It is not safe for concurrent use.
type Machine struct {
	options     Options
	self        Peer
	incarnation uint32
	now         time.Duration

	seed  uint64 // of the pseudo-random numbers
	draws uint64 // number of pseudo-random numbers drawn

	view   *View
	zones  map[ZoneID]*zoneFreshness // of each zone of the view
	links  map[uint64]*link          // by node ID
	planes [planes]plane
	store  store

	ownPart     Pages
	ownPartAt   time.Duration // when ownPart was set; 0: never
	resendUntil time.Duration // until when parts are sent twice because message loss was detected

	queriedAt    time.Duration // when queries were last due, whether or not one was sent
	repliesSent  int           // queries since repliesSince for which there were rows to send
	repliesSince time.Duration

	packets []Packet // returned by the current call

	// Dropped counts what this node discarded.
	Dropped Dropped
}

// New returns a Machine that knows no other node. It sends no messages before the first Tick. The seed determines all
// pseudo-random numbers, so that a run is reproducible. New returns an error if an option is out of range or self has no ID.
func New(now time.Duration, self Peer, o Options, seed uint64) (*Machine, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if self.ID == 0 {
		return nil, errors.New("zonestate: node ID is zero")
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
		// Spread the planes evenly over the period.
		due := now + o.period()*time.Duration(i+1)/planes
		m.planes[i] = plane{parts: map[uint64][pages]*part{}, nextSend: due}
	}
	m.SetView(now, NewView([]Peer{self}))
	return m, nil
}

// draw returns a pseudo-random number in [0, n).
func (m *Machine) draw(n int) int {
	m.draws++
	return splitmix.Draw(m.seed, m.draws, n)
}

// SetIncarnation sets the incarnation of this node, as determined by the membership protocol. It never decreases.
func (m *Machine) SetIncarnation(incarnation uint32) { m.incarnation = max(m.incarnation, incarnation) }

// SetOwnPart sets this node's own part, as measured at now.
func (m *Machine) SetOwnPart(now time.Duration, p Pages) {
	m.now = max(m.now, now)
	m.ownPart = p
	m.ownPartAt = m.now
}

// Next returns the time at which Tick must be called next.
func (m *Machine) Next() time.Duration {
	return min(m.planes[0].nextSend, m.planes[1].nextSend, m.nextQuery())
}

// nextQuery returns the time at which queries are due. They are only sent if rows are missing or about to become stale.
func (m *Machine) nextQuery() time.Duration { return m.queriedAt + m.options.period()/2 }

// Tick performs the actions that are due at a time of this node's clock and returns the messages to send.
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

// begin advances the time, which never decreases, and clears the results of the previous call.
func (m *Machine) begin(now time.Duration) {
	m.now = max(m.now, now)
	m.packets = nil
}

// Receive handles a message at a time of this node's clock and returns the messages to send. Messages from nodes that are not
// in the view are dropped.
func (m *Machine) Receive(now time.Duration, msg Message) []Packet {
	m.begin(now)
	from, known := m.view.peers[msg.From]
	if !known || msg.From == m.self.ID {
		m.Dropped.Foreign += len(msg.Rows)
		return nil
	}
	senderLink := m.links[msg.From]
	if senderLink == nil {
		senderLink = &link{}
		m.links[msg.From] = senderLink
	}
	senderLink.peerToken = msg.Token
	senderLink.tokenReceivedAt = m.now
	senderLink.lastHeard = m.now
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
