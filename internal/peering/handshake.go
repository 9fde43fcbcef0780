package peering

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// version of hellos and frames. Fields are numbered, and those that a reader does not know are passed over, so that a
// version changes only with what they mean.
const version = 1

// hello is what each side says first.
type hello struct {
	Version int    `cbor:"1,keyasint"`
	Peer    Peer   `cbor:"2,keyasint"`
	To      string `cbor:"3,keyasint,omitempty"` // the partner that is meant; empty: whoever listens
	Nonce   []byte `cbor:"4,keyasint"`
}

const (
	nonceSize = 16
	tagSize   = 16 // of HMAC-SHA-256, shortened
	maxHello  = 4 << 10
	maxName   = 64
)

// session is what a hello came to.
type session struct {
	peer Peer
	in   *frameReader
	out  *frameWriter
}

// handshake says hello and hears the other side's. Each proves by a tag over both hellos that it has the key; frames carry tags
// of keys that are made of the key and both nonces, one for each direction.
func handshake(c net.Conn, o Options, dialed bool, partner string) (*session, error) {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	own := hello{Version: version, Peer: o.Self, To: partner, Nonce: make([]byte, nonceSize)}
	if _, err := rand.Read(own.Nonce); err != nil {
		return nil, fmt.Errorf("peering: %w", err)
	}
	said, err := encoding.Marshal(own)
	if err != nil {
		return nil, fmt.Errorf("peering: %w", err)
	}
	if err := writeBlock(c, said); err != nil {
		return nil, err
	}
	br := bufio.NewReaderSize(c, 8<<10)
	heard, err := readBlock(br, maxHello)
	if err != nil {
		return nil, err
	}
	var other hello
	if err := decoding.Unmarshal(heard, &other); err != nil {
		return nil, fmt.Errorf("%w: the hello: %w", ErrFrame, err)
	}
	p := other.Peer
	switch {
	case other.Version != version:
		return nil, fmt.Errorf("%w: it speaks version %d, this one speaks %d", ErrStrange, other.Version, version)
	case p.Partner == "" || p.Name == "" || len(p.Partner) > maxName || len(p.Name) > maxName || len(p.Zone) > maxName || len(p.Calls) > maxName || len(other.Nonce) != nonceSize:
		return nil, fmt.Errorf("%w: the hello of %q, %q", ErrFrame, p.Partner, p.Name)
	case partner != "" && p.Partner != partner:
		return nil, fmt.Errorf("%w: it is a gateway of %q, not of %q", ErrStrange, p.Partner, partner)
	case other.To != "" && other.To != o.Self.Partner:
		return nil, fmt.Errorf("%w: it means a gateway of %q", ErrStrange, other.To)
	case p.ID() == o.Self.ID():
		return nil, fmt.Errorf("%w: it has this gateway's own name, %v", ErrStrange, p.ID())
	}
	key := o.Key(p.Partner)
	if key == nil {
		return nil, fmt.Errorf("%w: partner %q is not in the file", ErrStrange, p.Partner)
	}
	first, second := said, heard // the one who called comes first
	if !dialed {
		first, second = heard, said
	}
	derive := func(use string) []byte {
		m := hmac.New(sha256.New, key)
		for _, part := range [][]byte{[]byte("damsontrestle link"), []byte(use), first, second} {
			m.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
			m.Write(part)
		}
		return m.Sum(nil)
	}
	ours, theirs := "caller", "called"
	if !dialed {
		ours, theirs = theirs, ours
	}
	err = writeBlock(c, derive("proof of the "+ours))
	var proof []byte
	if err == nil {
		proof, err = readBlock(br, sha256.Size)
	}
	var late net.Error
	switch {
	case errors.As(err, &late) && late.Timeout(), errors.Is(err, ErrFrame):
		return nil, err
	case err != nil: // its end may come as a reset
		return nil, fmt.Errorf("%w, or does not want this one: it hung up at the proof", ErrKey)
	}
	if !hmac.Equal(proof, derive("proof of the "+theirs)) {
		return nil, ErrKey
	}
	c.SetDeadline(time.Time{})
	return &session{p, &frameReader{br: br, seal: newSeal(derive("frames of the " + theirs))}, &frameWriter{w: c, seal: newSeal(derive("frames of the " + ours))}}, nil
}

func writeBlock(w io.Writer, b []byte) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
	if err != nil {
		return fmt.Errorf("peering: hello: %w", err)
	}
	return nil
}

func readBlock(r io.Reader, most int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fmt.Errorf("peering: hello: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > uint32(most) {
		return nil, fmt.Errorf("%w: %d bytes; allowed: %d", ErrFrame, n, most)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, fmt.Errorf("peering: hello: %w", err)
	}
	return b, nil
}
