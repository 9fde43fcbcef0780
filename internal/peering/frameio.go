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

const (
	lengthSize    = 4
	tagSize       = 16       // bytes of a truncated HMAC-SHA-256
	minReadBuffer = 1 << 10  // bytes
	maxKeptBuffer = 16 << 10 // bytes; a larger buffer is released after its frame
)

// frameMAC computes the frame tags of one direction, each over the number of earlier frames, the length and the body.
type frameMAC struct {
	mac   hash.Hash
	count uint64
	buf   []byte
}

func newFrameMAC(key []byte) *frameMAC { return &frameMAC{mac: hmac.New(sha256.New, key)} }

// tag returns the tag of the next frame. It is valid until the next call.
func (m *frameMAC) tag(length, body []byte) []byte {
	m.mac.Reset()
	m.buf = binary.BigEndian.AppendUint64(m.buf[:0], m.count)
	m.mac.Write(m.buf)
	m.mac.Write(length)
	m.mac.Write(body)
	m.count++
	m.buf = m.mac.Sum(m.buf[:0])
	return m.buf[:tagSize]
}

// frameWriter writes frames: length, tag and body.
type frameWriter struct {
	w   io.Writer
	mac *frameMAC
	buf []byte
}

func (w *frameWriter) write(body []byte) error {
	w.buf = binary.BigEndian.AppendUint32(w.buf[:0], uint32(len(body)))
	w.buf = append(w.buf, w.mac.tag(w.buf, body)...)
	w.buf = append(w.buf, body...)
	_, err := w.w.Write(w.buf)
	if cap(w.buf) > maxKeptBuffer {
		w.buf = nil
	}
	return err
}

// frameReader reads frames and verifies their tags.
type frameReader struct {
	br   *bufio.Reader
	mac  *frameMAC
	head [lengthSize + tagSize]byte
	buf  []byte
}

// next returns the body of the next frame, which is valid until the next call.
func (r *frameReader) next() ([]byte, error) {
	if _, err := io.ReadFull(r.br, r.head[:]); err != nil {
		return nil, fmt.Errorf("peering: reading frame: %w", err)
	}
	length := r.head[:lengthSize]
	n := int(binary.BigEndian.Uint32(length))
	if n > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes, limit is %d", ErrMalformedFrame, n, MaxFrame)
	}
	tooSmall := cap(r.buf) < n
	tooLarge := cap(r.buf) > maxKeptBuffer && n <= maxKeptBuffer
	if tooSmall || tooLarge {
		r.buf = make([]byte, max(n, minReadBuffer))
	}
	body := r.buf[:n]
	if _, err := io.ReadFull(r.br, body); err != nil {
		return nil, fmt.Errorf("peering: reading frame: %w", err)
	}
	if !hmac.Equal(r.head[lengthSize:], r.mac.tag(length, body)) {
		return nil, fmt.Errorf("%w: tag mismatch", ErrMalformedFrame)
	}
	return body, nil
}
