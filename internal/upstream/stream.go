package upstream

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"damsontrestle/internal/engine"
)

// Bounds of the time without input while a reply is streamed. Between them, input is awaited until the client's deadline.
const (
	minReadStall = time.Second
	maxReadStall = 10 * time.Second
)

// replyStream is the rest of a streamed reply, read from the server's connection as the client takes it. The connection is
// available to other attempts once all of it was read.
type replyStream struct {
	pool      *Pool
	conn      *conn
	body      io.Reader
	remaining int64 // bytes until the maximum length
	hasLength bool  // the end is told by a Content-Length
	reusable  bool  // the connection may serve another request after the end
	ended     bool
	err       error // that ended it early

	clientDeadline time.Duration // clock time
	underWay       chan bodyPart // receives the result of a read that was under way at the hand-over; nil: none
	unread         bodyPart      // that result, as far as it was not returned
	received       int64         // bytes returned
	waited         time.Duration // spent waiting for the server
}

// errReplyTooSlow ends a reply whose server sends less than minReplyRate.
var errReplyTooSlow = errors.New("the reply comes too slowly")

// Read implements io.Reader. Every error other than io.EOF wraps errIncomplete. The last part of a reply whose length turns out to be
// wrong is not returned, so that the client can tell by the missing bytes.
func (s *replyStream) Read(p []byte) (int, error) {
	if s.ended {
		return 0, errIncomplete
	}
	n, err := s.read(p)
	s.remaining -= int64(n)
	if err == io.EOF && s.hasLength {
		if lengthErr := s.pool.checkLength(s.conn); lengthErr != nil {
			n, err = 0, lengthErr
		}
	}
	switch {
	case err == nil && s.isTooSlow():
		err = fmt.Errorf("%w: %w", errIncomplete, errReplyTooSlow)
	case s.remaining < 0:
		err = fmt.Errorf("%w: %w", errIncomplete, errReplyTooLong)
	case err != nil && err != io.EOF:
		err = fmt.Errorf("%w: %w", errIncomplete, err)
	}
	if err != nil {
		s.err = err
		s.end(err == io.EOF)
	}
	return n, err
}

// EndState implements engine.EndReporter.
func (s *replyStream) EndState() engine.EndState {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	ending := engine.EndState{
		Reason:        engine.EndConnectionLost,
		Server:        s.conn.host.Server,
		Stage:         engine.StagePassingOn,
		Received:      s.conn.progress.received,
		SinceProgress: s.pool.clock.Now() - s.conn.progress.at,
	}
	if errors.Is(s.err, errBeyondLength) {
		ending.Reason = engine.EndBeyondLength
	}
	if errors.Is(s.err, os.ErrDeadlineExceeded) || errors.Is(s.err, errReplyTooSlow) {
		ending.Reason = engine.EndReplyStopped
	}
	return ending
}

// read reads from the server, or returns what a read has brought that was under way at the hand-over.
func (s *replyStream) read(p []byte) (n int, err error) {
	begin := s.pool.clock.Now()
	switch {
	case s.underWay != nil:
		s.setReadDeadline(s.lastProgress())
		s.unread = <-s.underWay
		s.underWay = nil
	case len(s.unread.data) == 0 && s.unread.err == nil:
		s.setReadDeadline(begin)
		n, err = s.body.Read(p)
		s.waited += s.pool.clock.Now() - begin
		s.received += int64(n)
		return n, err
	}
	n = copy(p, s.unread.data)
	s.unread.data = s.unread.data[n:]
	s.received += int64(n)
	if len(s.unread.data) == 0 {
		err = s.unread.err
		s.unread.data = nil
	}
	return n, err
}

// setReadDeadline limits the wait for further input that began at a clock time: a client whose deadline has passed must not wait for
// a server that has stopped.
func (s *replyStream) setReadDeadline(begin time.Duration) {
	stall := min(max(s.clientDeadline-begin, minReadStall), maxReadStall)
	s.conn.SetReadDeadline(time.Now().Add(s.pool.clock.Until(begin + stall)))
}

// isTooSlow reports whether the server sends the reply at less than minReplyRate, by more than maxReadStall in all.
func (s *replyStream) isTooSlow() bool {
	return s.waited > maxReadStall+time.Duration(s.received)*time.Second/minReplyRate
}

// lastProgress returns the clock time of the last progress of the server.
func (s *replyStream) lastProgress() time.Duration {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.conn.progress.at
}

// Close implements io.Closer. It closes the connection unless the reply was read completely.
func (s *replyStream) Close() error {
	s.end(false)
	return nil
}

// end makes the connection idle, or closes it if the reply was not read completely.
func (s *replyStream) end(complete bool) {
	if s.ended {
		return
	}
	s.ended = true
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	s.conn.streaming = false
	switch {
	case !complete:
		p.discard(s.conn, closeExchangeFailed)
		return
	case !s.reusable || s.conn.reader.Buffered() > 0 || s.conn.discarded:
		p.discardAfterReply(s.conn, reply{})
		return
	}
	s.conn.SetReadDeadline(time.Time{})
	s.conn.idleSince = p.clock.Now()
	p.putIdle(s.conn)
	go p.watchReplies(s.conn)
}
