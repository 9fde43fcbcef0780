// Package downstream keeps the clients' connections of all front ends within their share of the node's descriptors.
// Whoever holds a place without a request makes room first; only if nobody does, requests are refused. It knows
// what each connection does, and nothing of what is spoken on it.
package downstream

import (
	"cmp"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"damsontrestle/internal/clock"
)

// Conn is a client's connection, as its front end has it. Its methods must not call back.
type Conn interface {
	// CloseIdle has it closed unless a request has begun on it; it tells whether it goes.
	CloseIdle() bool
	// CutOff ends the wait for the rest of a request; the client may get an answer that says so.
	CutOff()
	// IsCut says that CutOff was called.
	IsCut() bool
	// HasBegun says that bytes of a request were read since the last answer.
	HasBegun() bool
	// Owes says that a request was read to which no byte of an answer is written.
	Owes() bool
	// Quiet is how long ago the last bytes were.
	Quiet() time.Duration
	// Abort closes it at once.
	Abort() error
}

// Graces tell how long a client's connection is spared, when there are too many, in each of the states in
// which it holds a place and no request is open on it. Half counts from the last bytes of a request that came.
type Graces struct{ Lingering, Silent, Half, Idle time.Duration }

// pressing shortens the graces while descriptors are about to run out.
const pressing = 5

// DefaultGraces spare a good client, which sends its request as soon as it has connected, and in one piece; one
// idle for a moment may meet its next request on the way.
func DefaultGraces() Graces {
	return Graces{Lingering: 50 * time.Millisecond, Silent: 100 * time.Millisecond, Half: time.Second,
		Idle: 500 * time.Millisecond}
}

// Phase is what a connection does.
type Phase int

// Phases.
const (
	Silent    Phase = iota // new, no request read
	Reading                // a request's head is read, its body may not be
	Open                   // requests are with the module
	Idle                   // answered
	Lingering              // answered for good; what still comes is thrown away
)

// Set are the clients' connections of all front ends.
type Set struct {
	clock   clock.Clock
	servers func() int // how many descriptors the servers' connections have

	mu      sync.Mutex
	share   Share
	conns   map[Conn]*activity
	leaving int // let go and not closed yet
	opened  int // requests that are open
	grace   Graces
	counts  counts
}

// counts tell, for the log, what became of connections.
type counts struct{ accepted, evicted, nearLimit, rejected int }

// activity is what a connection does, and since when.
type activity struct {
	group any // its front end
	phase Phase
	since time.Duration
	open  int  // requests with the module
	going bool // let go, and counted as leaving
}

// ErrReleased ends the accepting from a listener that goes on without its front end. net/http would take the deadline
// that releases it for a failure that passes, and try again.
var ErrReleased = errors.New("the listener is released")

// Accept never lets the node run out of descriptors, or nobody could be accepted for a while: beyond the hard limit
// whoever came last is closed unheard. Errors are the listener's as they are, but for its deadline.
func (s *Set) Accept(ln net.Listener) (net.Conn, error) {
	for {
		c, err := ln.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, ErrReleased
		case err != nil:
			return nil, err
		case !s.Full():
			return c, nil
		}
		c.Close()
	}
}

// Share is how descriptors are shared out.
type Share struct {
	Capacity int // for clients and servers together
	Minimum  int // of these the servers' connections may always have
	Spare    int // beyond these, for clients whose requests are read only to be refused
}

// New returns the clients' side of a share of descriptors, of which servers tells how many the servers'
// connections have.
func New(c clock.Clock, share Share, servers func() int) *Set {
	return &Set{clock: c, share: share, servers: servers, conns: map[Conn]*activity{}, grace: DefaultGraces()}
}

// SetGrace changes how long connections are spared.
func (s *Set) SetGrace(g Graces) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grace = g
}

// most is how many connections clients may hold now: what servers leave. The caller holds mu.
func (s *Set) most() int {
	return max(s.share.Capacity/2, s.share.Capacity-max(s.share.Minimum, s.servers()))
}

// Add notes a new connection of a front end, and makes room when there are too many.
func (s *Set) Add(c Conn, group any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.accepted++
	s.conns[c] = &activity{group: group, phase: Silent, since: s.clock.Now()}
	s.evictOne()
}

// Move notes what a connection does from now on, and makes room when there are too many.
func (s *Set) Move(c Conn, p Phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.conns[c]; a != nil {
		s.move(a, p)
		if p != Lingering {
			s.evictOne()
		}
	}
}

// Remove forgets a connection.
func (s *Set) Remove(c Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.conns[c]; a != nil {
		s.move(a, Lingering)
		delete(s.conns, c)
	}
}

// move notes what a connection does. The caller holds mu.
func (s *Set) move(a *activity, p Phase) {
	if a.going {
		s.leaving--
	}
	if p != Open {
		s.opened -= a.open
		a.open = 0
	}
	a.phase, a.since, a.going = p, s.clock.Now(), false
}

// Begin notes that a request of a connection goes to the module, unless as many are there as servers'
// connections are kept for, or the connection was to be cut off: its client would seem to have gone. That there
// are too many connections is no reason: others' silence must not cost a good client its answer.
func (s *Set) Begin(c Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.conns[c]
	if a == nil {
		return false
	}
	s.move(a, Open)
	a.open++
	s.opened++
	if s.opened > s.share.Capacity/2 || c.IsCut() {
		s.counts.nearLimit++
		return false
	}
	return true
}

// End notes that one of a connection's requests is answered, and tells how many are left with the module.
func (s *Set) End(c Conn) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.conns[c]
	if a == nil || a.open == 0 {
		return 0
	}
	a.open--
	s.opened--
	return a.open
}

// over is by how many there are too many. The caller holds mu.
func (s *Set) over() int { return len(s.conns) - s.leaving - s.most() }

// NearLimit says that there are too many: each answer had better close its connection.
func (s *Set) NearLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over() > 0
}

// Full says that one more would leave the node without a descriptor.
func (s *Set) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.share.Capacity+s.share.Spare-s.servers() {
		return false
	}
	s.counts.rejected++
	return true
}

// evictOne lets connections without a request go while there are too many: those first that are of least
// use to a good client, and of these who has been so for longest. One idle for a moment only is spared:
// a client sends again just once what crosses a close. While there are too many, each answer closes its
// connection, which nothing can cross. The caller holds mu.
func (s *Set) evictOne() {
	if s.over() <= 0 {
		return
	}
	now := s.clock.Now()
	type place struct {
		conn Conn
		a    *activity
		rank int
	}
	var free []place
	for c, a := range s.conns {
		if rank := s.useless(c, a, now); !a.going && rank > 0 {
			free = append(free, place{c, a, rank})
		}
	}
	slices.SortFunc(free, func(x, y place) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.a.since, y.a.since))
	})
	for _, f := range free {
		if s.evict(f.conn, f.a); s.over() <= 0 {
			return
		}
	}
}

// useless ranks the connections that may be closed, from 1; 0 is none of them.
func (s *Set) useless(c Conn, a *activity, now time.Duration) int {
	age := now - a.since
	quiet := c.Quiet()
	if s.over() > s.share.Spare/2 {
		age, quiet = age*pressing, quiet*pressing
	}
	switch half := a.phase == Reading || a.phase != Open && c.HasBegun(); {
	case a.phase == Lingering && age >= s.grace.Lingering:
		return 1
	case half && min(age, quiet) >= s.grace.Half: // one that goes on sending is slow, and no worse
		return 2
	case a.phase == Silent && !half && age >= s.grace.Silent:
		return 3
	case a.phase == Idle && !half && age >= s.grace.Idle:
		return 4
	}
	return 0
}

// evict lets a connection go if it may be, and counts it as leaving. The caller holds mu.
func (s *Set) evict(c Conn, a *activity) {
	gone := true
	switch {
	case a.going:
	case a.phase == Lingering:
		c.Abort()
	case a.phase == Reading || a.phase == Silent && c.HasBegun():
		c.CutOff()
	default:
		gone = c.CloseIdle()
	}
	s.note(a, gone)
}

// note counts a connection as leaving once it goes. The caller holds mu.
func (s *Set) note(a *activity, goes bool) {
	if goes && !a.going {
		a.going = true
		s.leaving++
		s.counts.evicted++
	}
}

// CloseQuiet closes the idle connections of a front end, and those that have sent nothing yet. One that sends in that very
// moment is read and answered. It returns how many of all that it has are left.
func (s *Set) CloseQuiet(group any) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, a := range s.conns {
		if a.group != group {
			continue
		}
		left++
		if a.phase == Idle || a.phase == Silent {
			s.note(a, c.CloseIdle())
		}
	}
	return left
}

// CutHalf ends the wait for the rest of every request that has not come completely. It is for the node's end: a request that
// came whole in that very moment is refused, and its connection reads no other.
func (s *Set) CutHalf() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, a := range s.conns {
		if a.phase == Reading || (a.phase == Silent || a.phase == Idle) && c.HasBegun() {
			c.CutOff()
		}
	}
}

// Owed is how many connections wait for an answer of which no byte is written.
func (s *Set) Owed() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.Owes() {
			n++
		}
	}
	return n
}

// Open is how many connections there are.
func (s *Set) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// In is how many connections are in a phase.
func (s *Set) In(p Phase) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.conns {
		if a.phase == p {
			n++
		}
	}
	return n
}

// Resize changes how descriptors are shared out. Clients beyond are closed now and as others come.
func (s *Set) Resize(share Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
	s.evictOne()
}

// Report tells, for the log, what became of connections since the last report, and how many there are.
func (s *Set) Report() []any {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	s.counts = counts{}
	return []any{"callers", len(s.conns), "accepted", c.accepted, "let_go", c.evicted, "crowded", c.nearLimit,
		"turned_away", c.rejected}
}
