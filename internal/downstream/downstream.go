// Package downstream keeps the client connections of all front ends within their part of the node's descriptors. When there
// are too many, connections without an open request are closed first; requests are rejected only if there are none. The package
// knows the phase of each connection, but not the protocol spoken on it.
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

// Conn is a client connection as implemented by a front end. Its methods must not call the Set.
type Conn interface {
	// CloseIdle closes the connection unless a request has started on it, and reports whether it does.
	CloseIdle() bool
	// AbortRead ends the wait for the rest of a request; the client may get a response that reports it.
	AbortRead()
	// ReadAborted reports whether AbortRead was called.
	ReadAborted() bool
	// RequestStarted reports whether bytes of a request were read since the last response.
	RequestStarted() bool
	// ResponsePending reports whether a request was read for which no byte of a response is written.
	ResponsePending() bool
	// SinceLastRead returns the time since bytes were last read.
	SinceLastRead() time.Duration
	// Abort closes the connection at once.
	Abort() error
}

// GracePeriods are the minimum times that a connection without an open request spends in a phase before it may be closed to
// free a descriptor. Partial is for an incomplete request and counts from its last bytes.
type GracePeriods struct{ Lingering, New, Partial, Idle time.Duration }

// graceDivisor shortens the grace periods while descriptors are about to run out.
const graceDivisor = 5

// DefaultGracePeriods spare a client that sends its request in one piece as soon as it has connected. A connection that has
// only just become idle is kept because its next request may be on the way.
func DefaultGracePeriods() GracePeriods {
	return GracePeriods{Lingering: 50 * time.Millisecond, New: 100 * time.Millisecond, Partial: time.Second,
		Idle: 500 * time.Millisecond}
}

// Phase is what a connection is doing.
type Phase int

// Phases.
const (
	PhaseNew       Phase = iota // no request read yet
	PhaseReading                // the head of a request is read; its body may be incomplete
	PhaseActive                 // requests are open
	PhaseIdle                   // the last response is written
	PhaseLingering              // the final response is written; further input is discarded
)

// Set holds the client connections of all front ends. Its methods are safe for concurrent use.
type Set struct {
	clock       clock.Clock
	serverConns func() int // descriptors that server connections use
	input       *InputBudget
	pacer       Pacer

	mu           sync.Mutex
	limits       Limits
	conns        map[Conn]*connInfo
	closingConns int // connections that were evicted and are not closed yet
	openRequests int // open requests
	gracePeriods GracePeriods
	counts       counts
}

// counts are the connection counters for the log.
type counts struct{ accepted, evicted, refused, rejected int }

// connInfo is the phase of a connection and when it began.
type connInfo struct {
	frontEnd any
	phase    Phase
	since    time.Duration
	requests int  // open requests
	closing  bool // evicted, and counted in Set.closingConns
}

// ErrReleased is returned by Accept when the front end stops and its listener stays open. net/http would treat the deadline
// error that releases the listener as temporary and retry.
var ErrReleased = errors.New("accept: the listener was released by its front end")

// Accept waits for the next connection. Beyond the hard limit it closes a new connection unread: a node without descriptors
// could accept no connection for a while. It returns the listener's errors unchanged, except that a passed deadline becomes
// ErrReleased.
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

// Limits divide the node's descriptors between clients and servers, and bound what clients may make it buffer.
type Limits struct {
	Capacity      int // for client and server connections together
	ServerMinimum int // of these reserved for server connections
	Reserve       int // beyond Capacity, for clients whose requests are read only to be rejected

	InputBytes int64 // that heads and buffered bodies of requests may occupy; 0: any number
}

// New returns an empty Set. serverConns returns the number of descriptors that server connections use.
func New(c clock.Clock, limits Limits, serverConns func() int) *Set {
	s := &Set{clock: c, limits: limits, serverConns: serverConns, conns: map[Conn]*connInfo{}, gracePeriods: DefaultGracePeriods(), input: newInputBudget()}
	s.input.resize(limits.InputBytes)
	return s
}

// Pacer returns the rate of work that serves no request, of all front ends.
func (s *Set) Pacer() *Pacer { return &s.pacer }

// Input returns the budget of the heads and bodies of requests that are buffered.
func (s *Set) Input() *InputBudget { return s.input }

func (s *Set) SetGracePeriods(periods GracePeriods) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gracePeriods = periods
}

// maxConns returns how many client connections may be open now: what server connections leave. The caller holds mu.
func (s *Set) maxConns() int {
	return max(s.limits.Capacity/2, s.limits.Capacity-max(s.limits.ServerMinimum, s.serverConns()))
}

// Add adds a new connection of a front end, and closes others if there are too many.
func (s *Set) Add(c Conn, frontEnd any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.accepted++
	s.conns[c] = &connInfo{frontEnd: frontEnd, phase: PhaseNew, since: s.clock.Now()}
	s.evictExcess()
}

// SetPhase sets the phase of a connection, and closes connections if there are too many.
func (s *Set) SetPhase(c Conn, p Phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if info := s.conns[c]; info != nil {
		s.setPhase(info, p)
		if p != PhaseLingering {
			s.evictExcess()
		}
	}
}

func (s *Set) Remove(c Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if info := s.conns[c]; info != nil {
		s.setPhase(info, PhaseLingering)
		delete(s.conns, c)
	}
}

// setPhase sets the phase of a connection. The caller holds mu.
func (s *Set) setPhase(info *connInfo, p Phase) {
	if info.closing {
		s.closingConns--
	}
	if p != PhaseActive {
		s.openRequests -= info.requests
		info.requests = 0
	}
	info.phase, info.since, info.closing = p, s.clock.Now(), false
}

// BeginRequest counts a request of a connection as open. It reports false, so that the request is rejected, if more requests
// are open than there are descriptors for server connections (half of the capacity), or if AbortRead was called on the
// connection: its client would look disconnected. Too many connections are no reason to reject: silent clients must not cost a
// good client its response.
func (s *Set) BeginRequest(c Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	info := s.conns[c]
	if info == nil {
		return false
	}
	s.setPhase(info, PhaseActive)
	info.requests++
	s.openRequests++
	if s.openRequests > s.limits.Capacity/2 || c.ReadAborted() {
		s.counts.refused++
		return false
	}
	return true
}

// EndRequest counts one request of a connection as answered, and returns how many of its requests are still open.
func (s *Set) EndRequest(c Conn) (remaining int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	info := s.conns[c]
	if info == nil || info.requests == 0 {
		return 0
	}
	info.requests--
	s.openRequests--
	return info.requests
}

// excess returns the number of connections beyond maxConns. The caller holds mu.
func (s *Set) excess() int { return len(s.conns) - s.closingConns - s.maxConns() }

// OverLimit reports whether there are too many connections: each response should close its connection.
func (s *Set) OverLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.excess() > 0
}

// Full reports whether one more connection would leave the node without a descriptor, and counts it as rejected.
func (s *Set) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.limits.Capacity+s.limits.Reserve-s.serverConns() {
		return false
	}
	s.counts.rejected++
	return true
}

// evictExcess closes connections without an open request while there are too many, in the order of evictionRank and, within a
// rank, the longest in its phase first. A connection that has just become idle is kept, because a client resends only once a
// request that crosses a close. While there are too many connections each response closes its connection, and no request can
// cross that. The caller holds mu.
func (s *Set) evictExcess() {
	if s.excess() <= 0 {
		return
	}
	now := s.clock.Now()
	type candidate struct {
		conn Conn
		info *connInfo
		rank int
	}
	var candidates []candidate
	for c, info := range s.conns {
		if rank := s.evictionRank(c, info, now); !info.closing && rank > 0 {
			candidates = append(candidates, candidate{c, info, rank})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.info.since, y.info.since))
	})
	for _, victim := range candidates {
		if s.evict(victim.conn, victim.info); s.excess() <= 0 {
			return
		}
	}
}

// evictionRank returns the order in which a connection may be closed, from 1, or 0 if it may not.
func (s *Set) evictionRank(c Conn, info *connInfo, now time.Duration) int {
	age := now - info.since
	sinceRead := c.SinceLastRead()
	if s.excess() > s.limits.Reserve/2 {
		age, sinceRead = age*graceDivisor, sinceRead*graceDivisor
	}
	switch partial := info.phase == PhaseReading || info.phase != PhaseActive && c.RequestStarted(); {
	case info.phase == PhaseLingering && age >= s.gracePeriods.Lingering:
		return 1
	case partial && min(age, sinceRead) >= s.gracePeriods.Partial: // a client that keeps sending is only slow
		return 2
	case info.phase == PhaseNew && !partial && age >= s.gracePeriods.New:
		return 3
	case info.phase == PhaseIdle && !partial && age >= s.gracePeriods.Idle:
		return 4
	}
	return 0
}

// evict closes a connection if that is allowed, and counts it as closing. The caller holds mu.
func (s *Set) evict(c Conn, info *connInfo) {
	closes := true
	switch {
	case info.closing:
	case info.phase == PhaseLingering:
		c.Abort()
	case info.phase == PhaseReading || info.phase == PhaseNew && c.RequestStarted():
		c.AbortRead()
	default:
		closes = c.CloseIdle()
	}
	s.markClosing(info, closes)
}

// markClosing counts a connection as closing if it closes and was not counted yet. The caller holds mu.
func (s *Set) markClosing(info *connInfo, closes bool) {
	if closes && !info.closing {
		info.closing = true
		s.closingConns++
		s.counts.evicted++
	}
}

// CloseIdle closes the connections of a front end that are idle or have sent nothing yet. If a request arrives on one at that
// moment, it is read and answered. It returns how many connections the front end had before.
func (s *Set) CloseIdle(frontEnd any) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, info := range s.conns {
		if info.frontEnd != frontEnd {
			continue
		}
		count++
		if info.phase == PhaseIdle || info.phase == PhaseNew {
			s.markClosing(info, c.CloseIdle())
		}
	}
	return count
}

// AbortPartialRequests ends the wait for the rest of every incomplete request. It is used when the node shuts down: a request
// that is completed at that moment is rejected, and its connection reads no other.
func (s *Set) AbortPartialRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, info := range s.conns {
		if info.phase == PhaseReading || (info.phase == PhaseNew || info.phase == PhaseIdle) && c.RequestStarted() {
			c.AbortRead()
		}
	}
}

// PendingResponses returns how many connections wait for a response of which no byte is written.
func (s *Set) PendingResponses() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.ResponsePending() {
			n++
		}
	}
	return n
}

// Len returns the number of connections.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CountPhase returns the number of connections in a phase.
func (s *Set) CountPhase(p Phase) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, info := range s.conns {
		if info.phase == p {
			n++
		}
	}
	return n
}

// Resize changes the limits. Excess connections are closed now and whenever a connection is added or changes its phase.
func (s *Set) Resize(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.input.resize(limits.InputBytes)
	s.evictExcess()
}

// Report returns log attributes: the number of connections, and the counters since the last report, which it resets.
func (s *Set) Report() []any {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	s.counts = counts{}
	inputBytes, evictedInputs := s.input.Used()
	return []any{"callers", len(s.conns), "accepted", c.accepted, "let_go", c.evicted, "crowded", c.refused,
		"turned_away", c.rejected, "input_bytes", inputBytes, "evicted_inputs", evictedInputs}
}
