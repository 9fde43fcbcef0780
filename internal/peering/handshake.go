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

// protocolVersion is the version of hellos and frames. Fields are numbered and decoders skip unknown ones, so that a new field needs no
// new version. A change of meaning does.
const protocolVersion = 1

const (
	nonceSize        = 16
	maxHello         = 4 << 10 // bytes
	maxName          = 64      // bytes of each string in a hello
	helloBuffer      = 8 << 10 // bytes; buffer of the reader, which the link continues to use
	handshakeTimeout = 2 * time.Second
)

// Labels for the derivation of a link's keys. They are part of the protocol.
const (
	linkLabel   = "damsontrestle link"
	proofLabel  = "proof of the "
	framesLabel = "frames of the "
)

// Names of the sides of a link in labels.
const (
	dialerSide   = "caller"
	listenerSide = "called"
)

// hello is the first message of each side.
type hello struct {
	Version int    `cbor:"1,keyasint"`
	Peer    Peer   `cbor:"2,keyasint"`
	To      string `cbor:"3,keyasint,omitempty"` // partner that is dialed; empty: any
	Nonce   []byte `cbor:"4,keyasint"`
}

// session is the result of a handshake.
type session struct {
	peer   Peer
	reader *frameReader
	writer *frameWriter
}

// handshake exchanges hellos and proofs of the key. Each side proves that it has the key with a tag over both hellos. The keys for
// frame tags, one for each direction, are derived from the key and both hellos.
func handshake(conn net.Conn, options Options, dialed bool, partner string) (*session, error) {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	ownHello, err := newHello(options.Self, partner)
	if err != nil {
		return nil, err
	}
	if err := writeBlock(conn, ownHello); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(conn, helloBuffer)
	receivedHello, err := readBlock(reader, maxHello)
	if err != nil {
		return nil, err
	}
	var peerHello hello
	if err := decoding.Unmarshal(receivedHello, &peerHello); err != nil {
		return nil, fmt.Errorf("%w: decoding hello: %w", ErrMalformedFrame, err)
	}
	if err := peerHello.check(options.Self, partner); err != nil {
		return nil, err
	}
	key := options.Key(peerHello.Peer.Partner)
	if key == nil {
		return nil, fmt.Errorf("%w: partner %q is not configured", ErrPeerRejected, peerHello.Peer.Partner)
	}
	var keys linkKeys
	var ownSide, peerSide string
	if dialed {
		keys = linkKeys{key: key, dialerHello: ownHello, listenerHello: receivedHello}
		ownSide, peerSide = dialerSide, listenerSide
	} else {
		keys = linkKeys{key: key, dialerHello: receivedHello, listenerHello: ownHello}
		ownSide, peerSide = listenerSide, dialerSide
	}
	if err := exchangeProofs(conn, reader, keys.derive(proofLabel+ownSide), keys.derive(proofLabel+peerSide)); err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return &session{
		peer:   peerHello.Peer,
		reader: &frameReader{br: reader, mac: newFrameMAC(keys.derive(framesLabel + peerSide))},
		writer: &frameWriter{w: conn, mac: newFrameMAC(keys.derive(framesLabel + ownSide))},
	}, nil
}

// newHello returns the encoded hello of this side.
func newHello(self Peer, partner string) ([]byte, error) {
	h := hello{Version: protocolVersion, Peer: self, To: partner, Nonce: make([]byte, nonceSize)}
	if _, err := rand.Read(h.Nonce); err != nil {
		return nil, fmt.Errorf("peering: generating nonce: %w", err)
	}
	b, err := encoding.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("peering: encoding hello: %w", err)
	}
	return b, nil
}

// check returns an error if the hello is malformed or from a gateway to which a link is not allowed. partner is the partner that was
// dialed; empty: any.
func (h hello) check(self Peer, partner string) error {
	peer := h.Peer
	switch {
	case h.Version != protocolVersion:
		return fmt.Errorf("%w: protocol version %d, want %d", ErrPeerRejected, h.Version, protocolVersion)
	case !h.wellFormed():
		return fmt.Errorf("%w: invalid hello of partner %q, gateway %q", ErrMalformedFrame, peer.Partner, peer.Name)
	case partner != "" && peer.Partner != partner:
		return fmt.Errorf("%w: gateway belongs to partner %q, want %q", ErrPeerRejected, peer.Partner, partner)
	case h.To != "" && h.To != self.Partner:
		return fmt.Errorf("%w: it dialed partner %q", ErrPeerRejected, h.To)
	case peer.ID() == self.ID():
		return fmt.Errorf("%w: it has the name of this gateway, %v", ErrPeerRejected, peer.ID())
	}
	return nil
}

// wellFormed reports whether the hello names a gateway and its fields are within their limits.
func (h hello) wellFormed() bool {
	peer := h.Peer
	if peer.Partner == "" || peer.Name == "" || len(h.Nonce) != nonceSize {
		return false
	}
	for _, text := range []string{peer.Partner, peer.Name, peer.Zone, peer.RequestAddr} {
		if len(text) > maxName {
			return false
		}
	}
	return true
}

// linkKeys derives the keys of a link.
type linkKeys struct {
	key           []byte
	dialerHello   []byte
	listenerHello []byte
}

// derive returns the key for a label.
func (k linkKeys) derive(use string) []byte {
	m := hmac.New(sha256.New, k.key)
	for _, part := range [][]byte{[]byte(linkLabel), []byte(use), k.dialerHello, k.listenerHello} {
		m.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		m.Write(part)
	}
	return m.Sum(nil)
}

// exchangeProofs sends this side's proof and verifies the peer's.
func exchangeProofs(w io.Writer, r io.Reader, own, want []byte) error {
	err := writeBlock(w, own)
	var proof []byte
	if err == nil {
		proof, err = readBlock(r, sha256.Size)
	}
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout(), errors.Is(err, ErrMalformedFrame):
		return err
	case err != nil: // the peer has closed the connection, possibly with a reset
		return fmt.Errorf("%w, or peer did not accept this gateway: connection closed during exchange of proofs", ErrKeyMismatch)
	case !hmac.Equal(proof, want):
		return ErrKeyMismatch
	}
	return nil
}

// writeBlock writes a length-prefixed block of a handshake.
func writeBlock(w io.Writer, b []byte) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
	if err != nil {
		return fmt.Errorf("peering: writing handshake: %w", err)
	}
	return nil
}

// readBlock reads a length-prefixed block of a handshake with at most maxBytes.
func readBlock(r io.Reader, maxBytes int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fmt.Errorf("peering: reading handshake: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > uint32(maxBytes) {
		return nil, fmt.Errorf("%w: handshake block has %d bytes, limit is %d", ErrMalformedFrame, n, maxBytes)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, fmt.Errorf("peering: reading handshake: %w", err)
	}
	return b, nil
}
