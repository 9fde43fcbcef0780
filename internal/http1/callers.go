package http1

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"woodpick/internal/clock"
)

// graces tell how long a caller's connection is spared, when there are too many, in each of the states in
// which it holds a place and no request is open on it.
type graces struct{ lingering, silent, half, idle time.Duration }

// pressing shortens the graces while descriptors are about to run out.
const pressing = 5

// A good caller sends its request as soon as it has connected, and in one piece; one idle for a moment may
// meet its next request on the way.
func defaultGraces() graces {
	return graces{lingering: 50 * time.Millisecond, silent: 100 * time.Millisecond, half: time.Second,
		idle: 500 * time.Millisecond}
}

// Callers are the callers' connections, within their share of the node's descriptors. Whoever holds a
// place without a request makes room first; only if nobody does, requests are refused.
type Callers struct {
	clock   clock.Clock
	servers func() int // how many descriptors the servers' connections have
	spare   int        // descriptors beyond room for callers whose requests are read only to be refused

	mu      sync.Mutex
	room    int // descriptors for callers and servers together
	least   int // of these the servers' connections may always have
	conns   map[*callerConn]struct{}
	leaving int // let go and not closed yet
	opened  int // with a request open
	grace   graces
	counts  callerCounts
}

// callerCounts tell, for the log, what became of connections.
type callerCounts struct{ Accepted, LetGo, Crowded, TurnedAway int }

// activity is what a connection does, and since when.
type activity struct {
	phase phase
	since time.Duration
	going bool // let go, and counted as leaving
}

type phase int

const (
	silent    phase = iota // new, no request read
	reading                // a request's head is read, its body may not be
	open                   // a request is with the module
	idle                   // answered
	lingering              // answered for good; what still comes is thrown away
)

// NewCallers returns the callers' side of so many descriptors (room) for callers and servers together, of
// which servers tells how many they have; spare ones beyond room are for callers that are read only to be
// refused.
func NewCallers(c clock.Clock, room, spare int, servers func() int) *Callers {
	return &Callers{clock: c, room: room, least: room / 4, servers: servers, spare: spare,
		conns: map[*callerConn]struct{}{}, grace: defaultGraces()}
}

// most is how many connections callers may hold now: what servers leave. The caller holds mu.
func (s *Callers) most() int { return max(s.room/2, s.room-max(s.least, s.servers())) }

// callerConn is a caller's connection that can be let go while it waits for a request, and only then.
//
// Close, in the gap between net/http's read of a request and its report of StateActive, would lose
// that request. A read deadline in the past ends the wait, or comes too late for it: the request is
// then either read and answered, or left unread, and its client sends it again. Whether one has
// begun to be read is noted here, since net/http reads its first byte early when the client is quick:
// behind an answer, before it reports StateIdle.
type callerConn struct {
	net.Conn
	mu       sync.Mutex
	begun    bool // bytes were read since the last answer
	leaving  bool
	cut      bool      // leaving, whatever still comes
	deadline time.Time // as net/http wants it

	front    *Front
	callers  *Callers
	activity // guarded by Callers.mu
}

func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.begun = true
		if c.leaving && !c.cut {
			c.leaving = false
			c.Conn.SetReadDeadline(c.deadline)
		}
	}
	return n, err
}

// Write begins before the client can have sent its next request.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.begun = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.leaving {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets net/http linger after an answer to a request that it did not read whole: at once
// closed, the connection would be reset, and the answer could be lost.
func (c *callerConn) CloseWrite() error {
	c.callers.linger(c)
	if half, ok := c.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// letGo has the connection closed unless a request has begun on it.
func (c *callerConn) letGo() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		c.leaving = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.leaving
}

// cutOff ends the wait for the rest of a request.
func (c *callerConn) cutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving, c.cut = true, true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *callerConn) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

func (c *callerConn) hasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// callerListener makes callerConns.
type callerListener struct {
	net.Listener
	front   *Front
	callers *Callers
}

// Accept never lets the node run out of descriptors, for then net/http would accept nobody for a while:
// beyond the hard limit whoever came last is closed unheard.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, errReleased
		}
		if err != nil {
			return nil, err // as it is: net/http looks at its kind
		}
		if l.callers.full() {
			c.Close()
			continue
		}
		return &callerConn{Conn: c, front: l.front, callers: l.callers}, nil
	}
}

// errReleased ends a front's accepting from a listener that goes on without it. The deadline itself would look
// passing to net/http, which would wait and accept again.
var errReleased = errors.New("the listener is released")

// Close leaves the listener to whoever opened it: net/http closes what it has accepted from.
func (callerListener) Close() error { return nil }

type connKey struct{}

// withConn has a request's context tell its connection.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func connOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	return c
}

// track follows what net/http tells of a connection, and makes room when there are too many.
func (s *Callers) track(nc net.Conn, state http.ConnState) {
	c := nc.(*callerConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.counts.Accepted++
		s.conns[c] = struct{}{}
		s.move(c, silent)
	case http.StateActive:
		s.move(c, reading)
	case http.StateIdle:
		s.move(c, idle)
	default:
		s.move(c, lingering)
		delete(s.conns, c)
		return
	}
	s.makeRoom()
}

// move notes what a connection does from now on. The caller holds mu.
func (s *Callers) move(c *callerConn, p phase) {
	if c.going {
		s.leaving--
	}
	if c.phase == open {
		s.opened--
	}
	if p == open {
		s.opened++
	}
	c.activity = activity{phase: p, since: s.clock.Now()}
}

// linger notes that net/http has answered for good and waits for the answer to arrive.
func (s *Callers) linger(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.conns[c]; held {
		s.move(c, lingering)
	}
}

// open notes that a connection's request goes to the module, unless as many are there as servers'
// connections are kept for, or this one was to be cut off: its caller would seem to have gone. That there
// are too many connections is no reason: others' silence must not cost a good caller its answer.
func (s *Callers) open(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.move(c, open)
	if s.opened > s.room/2 || c.isCut() {
		s.counts.Crowded++
		return false
	}
	return true
}

// over is by how many there are too many. The caller holds mu.
func (s *Callers) over() int { return len(s.conns) - s.leaving - s.most() }

func (s *Callers) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over() > 0
}

// full says that one more would leave the node without a descriptor.
func (s *Callers) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.room+s.spare-s.servers() {
		return false
	}
	s.counts.TurnedAway++
	return true
}

// makeRoom lets connections without a request go while there are too many: those first that are of least
// use to a good caller, and of these who has been so for longest. One idle for a moment only is spared:
// a client sends again just once what crosses a close. While there are too many, each answer closes its
// connection, which nothing can cross. The caller holds mu.
func (s *Callers) makeRoom() {
	if s.over() <= 0 {
		return
	}
	now := s.clock.Now()
	var free []*callerConn
	for c := range s.conns {
		if !c.going && s.useless(c, now) > 0 {
			free = append(free, c)
		}
	}
	slices.SortFunc(free, func(a, b *callerConn) int {
		return cmp.Or(cmp.Compare(s.useless(a, now), s.useless(b, now)), cmp.Compare(a.since, b.since))
	})
	for _, c := range free {
		if s.letGo(c); s.over() <= 0 {
			return
		}
	}
}

// useless ranks the connections that may be let go, from 1; 0 is none of them.
func (s *Callers) useless(c *callerConn, now time.Duration) int {
	age := now - c.since
	if s.over() > s.spare/2 {
		age *= pressing
	}
	switch half := c.phase == reading || c.phase != open && c.hasBegun(); {
	case c.phase == lingering && age >= s.grace.lingering:
		return 1
	case half && age >= s.grace.half:
		return 2
	case c.phase == silent && !half && age >= s.grace.silent:
		return 3
	case c.phase == idle && !half && age >= s.grace.idle:
		return 4
	}
	return 0
}

// letGo lets a connection go if it may be, and counts it as leaving. The caller holds mu.
func (s *Callers) letGo(c *callerConn) {
	gone := !c.going
	switch {
	case c.going:
	case c.phase == lingering:
		c.Close()
	case c.phase == reading || c.phase == silent && c.hasBegun():
		c.cutOff()
	default:
		gone = c.letGo()
	}
	if gone && !c.going {
		c.going = true
		s.leaving++
		s.counts.LetGo++
	}
}

// letQuietGo closes the idle connections of a front, and those that have sent nothing yet. It returns how
// many of all that it has are left.
func (s *Callers) letQuietGo(f *Front) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.front != f {
			continue
		}
		left++
		if c.phase == idle || c.phase == silent && !c.hasBegun() {
			s.letGo(c)
		}
	}
	return left
}

// Held is how many connections there are.
func (s *Callers) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Resize changes how many descriptors there are for callers and servers together. Callers beyond are let go
// as others come.
func (s *Callers) Resize(room int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room, s.least = room, room/4
	s.makeRoom()
}

// Report tells, for the log, what became of connections since the last report, and how many there are.
func (s *Callers) Report() []any {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	s.counts = callerCounts{}
	return []any{"callers", len(s.conns), "accepted", c.Accepted, "let_go", c.LetGo, "crowded", c.Crowded,
		"turned_away", c.TurnedAway}
}
