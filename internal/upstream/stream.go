package upstream

import (
	"errors"
	"io"
	"time"

	"damsontrestle/internal/validation"
)

// maxReadStall is how long a server may say nothing in the midst of a reply that passes through.
const maxReadStall = 10 * time.Second

// replyStream is the rest of an answer that passes through, read from its server's connection as its client takes it.
// The connection is of use to others once all has been read.
type replyStream struct {
	pool      *Pool
	conn      *conn
	body      io.Reader
	remaining int64 // bytes that it may still have
	reusable  bool  // its end leaves the connection fit for another request
	ended     bool
}

func (s *replyStream) Read(p []byte) (int, error) {
	if s.ended {
		return 0, errIncomplete
	}
	s.conn.SetReadDeadline(time.Now().Add(maxReadStall))
	n, err := s.body.Read(p)
	s.remaining -= int64(n)
	switch {
	case s.remaining < 0:
		err = errors.Join(errIncomplete, errReplyTooLong)
	case err != nil && err != io.EOF:
		err = errors.Join(errIncomplete, err)
	}
	if err != nil {
		s.end(err == io.EOF)
	}
	return n, err
}

// Close closes the connection unless all was read.
func (s *replyStream) Close() error {
	s.end(false)
	return nil
}

func (s *replyStream) end(complete bool) {
	if s.ended {
		return
	}
	s.ended = true
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	s.conn.streaming = false
	if !complete || !s.reusable || s.conn.reader.Buffered() > 0 || s.conn.discarded {
		p.discard(s.conn)
		return
	}
	s.conn.SetReadDeadline(time.Time{})
	s.conn.idleSince = p.clock.Now()
	p.putIdle(s.conn)
	go p.watchReplies(s.conn)
}

// maxStreamed bounds the answers that pass through, and what they may take on the wire in chunks of any size.
const (
	maxStreamed   = validation.MaxLength
	chunkOverhead = 8
)
