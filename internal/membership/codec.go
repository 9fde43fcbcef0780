package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// MaxDatagram is the maximum size of a datagram in bytes, which is the limit of the platform's channel between nodes
// (PROTOCOL, Between nodes).
const MaxDatagram = 256

// A datagram consists of version, kind, from, seq, member ID and digest (big endian), the bucket digests if it is a Pull, the
// updates, and the authentication tag.
const (
	version    = 2
	headSize   = 1 + 1 + 8 + 4 + 8 + 8
	digestSize = 4
	tagSize    = 12 // HMAC-SHA-256, truncated
	ip4Size    = 4
	ip16Size   = 16
)

// updateSize returns the encoded size of an update in bytes: ID, incarnation, status and flags, suspector, and peer.
func updateSize(update Update) int {
	n := 8 + 4 + 1
	if update.Status == Suspect {
		n += 8
	}
	if p := update.Peer; p != nil {
		n += 1 + len(p.Name)
		n += 1 + len(p.Region)
		n += 1 + len(p.Zone)
		n += 1 + addrSize(p.Addr) + 2
		n += 4 // PeerIncarnation
	}
	return n
}

func addrSize(a netip.AddrPort) int {
	if a.Addr().Unmap().Is4() {
		return ip4Size
	}
	return ip16Size
}

// Bits of the status byte of an update.
const (
	statusBits    = 0x03
	peerBit       = 0x04
	listenOnlyBit = 0x08
)

// Encode encodes a message as a datagram authenticated with key. The datagram does not exceed MaxDatagram if the updates do
// not exceed MaxUpdateBytes.
func Encode(m Message, key []byte) []byte {
	b := make([]byte, 0, MaxDatagram)
	b = append(b, version, byte(m.Kind))
	b = binary.BigEndian.AppendUint64(b, uint64(m.From))
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	b = binary.BigEndian.AppendUint64(b, uint64(m.MemberID))
	b = binary.BigEndian.AppendUint64(b, m.Digest)
	for _, digest := range m.BucketDigests {
		b = binary.BigEndian.AppendUint32(b, digest)
	}
	for _, u := range m.Updates {
		b = appendUpdate(b, u)
	}
	return Seal(b, key)
}

func appendUpdate(b []byte, update Update) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(update.ID))
	b = binary.BigEndian.AppendUint32(b, update.Incarnation)
	flags := byte(update.Status)
	if update.Peer != nil {
		flags |= peerBit
		if update.Peer.ListenOnly {
			flags |= listenOnlyBit
		}
	}
	b = append(b, flags)
	if update.Status == Suspect {
		b = binary.BigEndian.AppendUint64(b, uint64(update.Suspector))
	}
	if update.Peer != nil {
		b = appendPeer(b, update.Peer)
		b = binary.BigEndian.AppendUint32(b, update.PeerIncarnation)
	}
	return b
}

func appendPeer(b []byte, p *Peer) []byte {
	b = appendText(b, p.Name)
	b = appendText(b, p.Region)
	b = appendText(b, p.Zone)
	b = appendText(b, string(p.Addr.Addr().Unmap().AsSlice()))
	return binary.BigEndian.AppendUint16(b, p.Addr.Port())
}

func appendText(b []byte, s string) []byte {
	b = append(b, byte(len(s)))
	return append(b, s...)
}

// Seal appends the authentication tag for key to the body of a datagram.
func Seal(b, key []byte) []byte { return append(b, tag(b, key)...) }

// Unseal returns the body of a datagram without its tag and reports whether the tag is valid for key.
func Unseal(b, key []byte) (body []byte, ok bool) {
	if len(b) < tagSize {
		return nil, false
	}
	body = b[:len(b)-tagSize]
	return body, hmac.Equal(tag(body, key), b[len(b)-tagSize:])
}

func tag(b, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(b)
	return h.Sum(nil)[:tagSize]
}

// MaxIncarnation is the highest incarnation of a member. Updates with a higher one are malformed: a member has to be able to
// refute an update by a later incarnation, which must not overflow.
const MaxIncarnation = 1<<31 - 1

// Errors returned by Decode. A datagram with an error is discarded completely.
var (
	// ErrKey means that the tag is not valid for the key: the sender belongs to another cluster or to none.
	ErrKey = errors.New("membership: datagram tag does not match the key")
	// ErrVersion means that the sender uses another version of the protocol.
	ErrVersion = errors.New("membership: unsupported protocol version")
	// ErrMalformed means that the size or the format of the datagram is invalid.
	ErrMalformed = errors.New("membership: malformed datagram")
)

// Decode decodes a datagram and verifies its tag with key. Its errors wrap ErrKey, ErrVersion or ErrMalformed.
func Decode(b, key []byte) (Message, error) {
	if len(b) < headSize+tagSize || len(b) > MaxDatagram {
		return Message{}, fmt.Errorf("%w: %d bytes", ErrMalformed, len(b))
	}
	body, ok := Unseal(b, key)
	if !ok {
		return Message{}, ErrKey
	}
	r := &reader{rest: body}
	if v := r.byte(); v != version {
		return Message{}, fmt.Errorf("%w: %d", ErrVersion, v)
	}
	m := Message{
		Kind:     Kind(r.byte()),
		From:     ID(r.uint64()),
		Seq:      r.uint32(),
		MemberID: ID(r.uint64()),
		Digest:   r.uint64(),
	}
	if m.Kind < Ping || m.Kind > Page {
		return Message{}, fmt.Errorf("%w: kind %d", ErrMalformed, m.Kind)
	}
	if m.Kind == Pull {
		for range Buckets {
			m.BucketDigests = append(m.BucketDigests, r.uint32())
		}
	}
	for len(r.rest) > 0 && !r.malformed {
		m.Updates = append(m.Updates, r.update())
	}
	if r.malformed || m.From == 0 {
		return Message{}, fmt.Errorf("%w: an update is truncated or has a field out of range, or the sender ID is zero", ErrMalformed)
	}
	return m, nil
}

// reader reads the fields of a datagram body in order.
type reader struct {
	rest      []byte
	malformed bool // set on the first error; values read afterwards are meaningless
}

// take returns the next n bytes, or n zero bytes if fewer remain.
func (r *reader) take(n int) []byte {
	if r.malformed || n > len(r.rest) {
		r.malformed = true
		return make([]byte, n)
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *reader) byte() byte { return r.take(1)[0] }

func (r *reader) uint16() uint16 { return binary.BigEndian.Uint16(r.take(2)) }

func (r *reader) uint32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }

func (r *reader) uint64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

// text reads a length-prefixed string of at most maxBytes bytes.
func (r *reader) text(maxBytes int) string {
	n := int(r.byte())
	if n > maxBytes {
		r.malformed = true
		return ""
	}
	return string(r.take(n))
}

func (r *reader) update() Update {
	update := Update{ID: ID(r.uint64()), Incarnation: r.uint32()}
	flags := r.byte()
	update.Status = Status(flags & statusBits)
	if update.Status == Suspect {
		update.Suspector = ID(r.uint64())
	}
	if update.Incarnation > MaxIncarnation {
		r.malformed = true
	}
	if flags&peerBit == 0 {
		if update.ID == 0 || flags&^statusBits != 0 {
			r.malformed = true
		}
		return update
	}
	update.Peer = r.peer()
	update.Peer.ListenOnly = flags&listenOnlyBit != 0
	update.PeerIncarnation = r.uint32()
	if update.PeerIncarnation > update.Incarnation || flags&^(statusBits|peerBit|listenOnlyBit) != 0 {
		r.malformed = true
	}
	// The ID must match the name, so that a peer cannot announce one member under the ID of another.
	if update.Peer.Name == "" || IDOf(update.Peer.Name) != update.ID {
		r.malformed = true
	}
	return update
}

func (r *reader) peer() *Peer {
	p := &Peer{Name: r.text(MaxName), Region: r.text(MaxZoneName), Zone: r.text(MaxZoneName)}
	addr, ok := netip.AddrFromSlice([]byte(r.text(ip16Size)))
	if !ok {
		r.malformed = true
	}
	p.Addr = netip.AddrPortFrom(addr, r.uint16())
	return p
}
