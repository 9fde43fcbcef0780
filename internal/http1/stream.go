package http1

import (
	"errors"
	"io"
	"net/http"
	"time"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/validation"
)

// stall is how long a server may say nothing in the midst of an answer that passes through, and a client may take
// nothing of it.
const stall = 10 * time.Second

// stream is the rest of an answer that passes through, read from its server's connection as its client takes it.
// The connection is of use to others once all has been read.
type stream struct {
	back *Back
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

// pass gives the client an answer as it comes from the server. With an error it is not complete, and the client can
// tell if its connection is cut.
func pass(w http.ResponseWriter, rc *http.ResponseController, r engine.Reply) error {
	defer r.Rest.Close()
	put := func(p []byte) error {
		rc.SetWriteDeadline(time.Now().Add(stall))
		if _, err := w.Write(p); err != nil {
			return err
		}
		return rc.Flush()
	}
	if len(r.Body) > 0 {
		if err := put(r.Body); err != nil {
			return err
		}
	}
	buf := make([]byte, passSize)
	for {
		n, err := r.Rest.Read(buf)
		if n > 0 {
			if err := put(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// passSize is how much of an answer that passes through is held at once.
const passSize = 16 << 10

// maxPassed bounds the answers that pass through, and what they may take on the wire in chunks of any size.
const (
	maxPassed     = validation.MaxLength
	chunkOverhead = 8
)
