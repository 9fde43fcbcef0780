package upstream

import (
	"fmt"
	"io"
	"time"
)

// maxReadStall is how long a server may send nothing in the midst of a reply that passes through.
const maxReadStall = 10 * time.Second

// replyStream is the rest of a reply that passes through, read from its server's connection as its client takes it.
// The connection is of use to others once all has been read.
type replyStream struct {
	pool      *Pool
	conn      *conn
	body      io.Reader
	remaining int64 // bytes that it may still have
	reusable  bool  // its end leaves the connection fit for another request
	ended     bool
}

// Read implements io.Reader. Every error but io.EOF is errIncomplete.
func (s *replyStream) Read(p []byte) (int, error) {
	if s.ended {
		return 0, errIncomplete
	}
	s.conn.SetReadDeadline(time.Now().Add(maxReadStall))
	n, err := s.body.Read(p)
	s.remaining -= int64(n)
	switch {
	case s.remaining < 0:
		err = fmt.Errorf("%w: %w", errIncomplete, errReplyTooLong)
	case err != nil && err != io.EOF:
		err = fmt.Errorf("%w: %w", errIncomplete, err)
	}
	if err != nil {
		s.end(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer: it closes the connection unless all was read.
func (s *replyStream) Close() error {
	s.end(false)
	return nil
}

// end gives the connection back, or closes it if the reply was not read completely.
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
