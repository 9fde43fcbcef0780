package peering

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
)

// frameTag makes the tags of one direction: over the count of frames before, the length and the body.
type frameTag struct {
	mac   hash.Hash
	count uint64
	sum   []byte // room for the count, and for the sum
}

func newSeal(key []byte) *frameTag { return &frameTag{mac: hmac.New(sha256.New, key)} }

func (s *frameTag) tag(head, body []byte) []byte {
	s.mac.Reset()
	s.mac.Write(binary.BigEndian.AppendUint64(s.sum[:0], s.count))
	s.mac.Write(head)
	s.mac.Write(body)
	s.count++
	s.sum = s.mac.Sum(s.sum[:0])
	return s.sum[:tagSize]
}

// maxKeptBuffer is how long a buffer is kept for the next frame.
const maxKeptBuffer = 16 << 10

// frameWriter writes each body as a frame: its length, its tag, itself.
type frameWriter struct {
	w    io.Writer
	seal *frameTag
	buf  []byte
}

func (s *frameWriter) write(body []byte) error {
	s.buf = binary.BigEndian.AppendUint32(s.buf[:0], uint32(len(body)))
	s.buf = append(s.buf, s.seal.tag(s.buf, body)...)
	s.buf = append(s.buf, body...)
	_, err := s.w.Write(s.buf)
	if cap(s.buf) > maxKeptBuffer {
		s.buf = nil
	}
	return err
}

// frameReader reads one frame's body at a time.
type frameReader struct {
	br   *bufio.Reader
	seal *frameTag
	head [4 + tagSize]byte
	buf  []byte
}

// next is the next frame's body, until the one after it.
func (o *frameReader) next() ([]byte, error) {
	if _, err := io.ReadFull(o.br, o.head[:]); err != nil {
		return nil, fmt.Errorf("peering: %w", err)
	}
	n := int(binary.BigEndian.Uint32(o.head[:4]))
	if n > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes; allowed: %d", ErrFrame, n, MaxFrame)
	}
	if cap(o.buf) < n || cap(o.buf) > maxKeptBuffer && n <= maxKeptBuffer {
		o.buf = make([]byte, max(n, 1<<10))
	}
	body := o.buf[:n]
	if _, err := io.ReadFull(o.br, body); err != nil {
		return nil, fmt.Errorf("peering: %w", err)
	}
	if !hmac.Equal(o.head[4:], o.seal.tag(o.head[:4], body)) {
		return nil, fmt.Errorf("%w: its tag does not fit", ErrFrame)
	}
	return body, nil
}
