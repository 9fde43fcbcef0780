package upstream

import (
	"errors"
	"io"
	"time"

	"damsontrestle/internal/validation"
)

// stall is how long a server may say nothing in the midst of a reply that passes through.
const stall = 10 * time.Second

// stream is the rest of an answer that passes through, read from its server's connection as its client takes it.
// The connection is of use to others once all has been read.
type stream struct {
	back *Pool
	conn *conn
	body io.Reader
	left int64 // bytes that it may still have
	keep bool  // its end leaves the connection fit for another request
	over bool
}

func (s *stream) Read(p []byte) (int, error) {
	if s.over {
		return 0, errCut
	}
	s.conn.SetReadDeadline(time.Now().Add(stall))
	n, err := s.body.Read(p)
	s.left -= int64(n)
	switch {
	case s.left < 0:
		err = errors.Join(errCut, errTooLong)
	case err != nil && err != io.EOF:
		err = errors.Join(errCut, err)
	}
	if err != nil {
		s.end(err == io.EOF)
	}
	return n, err
}

// Close closes the connection unless all was read.
func (s *stream) Close() error {
	s.end(false)
	return nil
}

func (s *stream) end(complete bool) {
	if s.over {
		return
	}
	s.over = true
	b := s.back
	b.mu.Lock()
	defer b.mu.Unlock()
	s.conn.passed = false
	if !complete || !s.keep || s.conn.br.Buffered() > 0 || s.conn.dead {
		b.drop(s.conn)
		return
	}
	s.conn.SetReadDeadline(time.Time{})
	s.conn.since = b.clock.Now()
	b.rest(s.conn)
	go b.read(s.conn)
}

// maxPassed bounds the answers that pass through, and what they may take on the wire in chunks of any size.
const (
	maxPassed     = validation.MaxLength
	chunkOverhead = 8
)
