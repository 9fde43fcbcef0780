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
	reusable  bool  // the connection may serve another request after the end
	ended     bool
	err       error // that ended it early

	clientDeadline time.Duration // clock time
}

// Read implements io.Reader. Every error other than io.EOF wraps errIncomplete.
func (s *replyStream) Read(p []byte) (int, error) {
	if s.ended {
		return 0, errIncomplete
	}
	s.conn.SetReadDeadline(time.Now().Add(s.maxStall()))
	n, err := s.body.Read(p)
	s.remaining -= int64(n)
	switch {
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
	if errors.Is(s.err, os.ErrDeadlineExceeded) {
		ending.Reason = engine.EndReplyStopped
	}
	return ending
}

// maxStall returns how long to wait for further input: a client whose deadline has passed must not wait for a server that has
// stopped.
func (s *replyStream) maxStall() time.Duration {
	return min(max(s.pool.clock.Until(s.clientDeadline), minReadStall), maxReadStall)
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
