package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// MaxDatagram is how long a datagram may be: the platform's channel between nodes carries no more (PROTOCOL, Between
// nodes).
const MaxDatagram = 256

// A datagram is version, kind, from, seq, about, sum (big endian), for a Pull the sums, the updates, and the tag.
const (
	version  = 2
	headSize = 1 + 1 + 8 + 4 + 8 + 8
	tagSize  = 12 // of HMAC-SHA-256, shortened
)

// updateSize is what an update takes: id, life, status and flags, who suspects, and the peer.
func updateSize(u Update) int {
	n := 8 + 4 + 1
	if u.Status == Suspect {
		n += 8
	}
	if u.Peer != nil {
		n += 1 + len(u.Peer.Name) + 1 + len(u.Peer.Region) + 1 + len(u.Peer.Zone) + 1 + addrSize(u.Peer.Addr) + 2 + 4
	}
	return n
}

func addrSize(a netip.AddrPort) int {
	if a.Addr().Unmap().Is4() {
		return 4
	}
	return 16
}

// Bits beside the status in an update's byte.
const (
	statusBits = 0x03
	peerBit    = 0x04
	listensBit = 0x08
)

// Encode writes a message with the tag of a key. It never is longer than MaxDatagram where the updates are within MaxBytes.
func Encode(m Message, key []byte) []byte {
	b := make([]byte, 0, MaxDatagram)
	b = append(b, version, byte(m.Kind))
	b = binary.BigEndian.AppendUint64(b, uint64(m.From))
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	b = binary.BigEndian.AppendUint64(b, uint64(m.About))
	b = binary.BigEndian.AppendUint64(b, m.Sum)
	text := func(s string) {
		b = append(b, byte(len(s)))
		b = append(b, s...)
	}
	for _, s := range m.Sums {
		b = binary.BigEndian.AppendUint32(b, s)
	}
	for _, u := range m.Updates {
		b = binary.BigEndian.AppendUint64(b, uint64(u.ID))
		b = binary.BigEndian.AppendUint32(b, u.Incarnation)
		flags := byte(u.Status)
		if u.Peer != nil {
			flags |= peerBit
			if u.Peer.Listens {
				flags |= listensBit
			}
		}
		b = append(b, flags)
		if u.Status == Suspect {
			b = binary.BigEndian.AppendUint64(b, uint64(u.By))
		}
		if p := u.Peer; p != nil {
			text(p.Name)
			text(p.Region)
			text(p.Zone)
			text(string(p.Addr.Addr().Unmap().AsSlice()))
			b = binary.BigEndian.AppendUint16(b, p.Addr.Port())
			b = binary.BigEndian.AppendUint32(b, u.PeerIncarnation)
		}
	}
	return Seal(b, key)
}

// Seal adds the tag of a key to what a datagram says.
func Seal(b, key []byte) []byte { return append(b, tag(b, key)...) }

// Unseal takes the tag off a datagram; false: it is of another key.
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

// MaxIncarnation is the last life of a member; a word of a later one is malformed, so that none can be put beyond an answer.
const MaxIncarnation = 1<<31 - 1

// Errors of a datagram. Nothing of one that has an error is used.
var (
	ErrStrange   = errors.New("membership: the tag is of another key") // of another cluster, or nobody's
	ErrVersion   = errors.New("membership: another version")
	ErrMalformed = errors.New("membership: malformed")
)

// Decode reads a datagram.
func Decode(b, key []byte) (Message, error) {
	var m Message
	if len(b) < headSize+tagSize || len(b) > MaxDatagram {
		return m, fmt.Errorf("%w: %d bytes", ErrMalformed, len(b))
	}
	body, ok := Unseal(b, key)
	if !ok {
		return m, ErrStrange
	}
	if body[0] != version {
		return m, fmt.Errorf("%w: %d", ErrVersion, body[0])
	}
	m.Kind = Kind(body[1])
	if m.Kind < Ping || m.Kind > Page {
		return Message{}, fmt.Errorf("%w: kind %d", ErrMalformed, m.Kind)
	}
	m.From = ID(binary.BigEndian.Uint64(body[2:]))
	m.Seq = binary.BigEndian.Uint32(body[10:])
	m.About = ID(binary.BigEndian.Uint64(body[14:]))
	m.Sum = binary.BigEndian.Uint64(body[22:])
	r := &reader{left: body[headSize:]}
	for m.Kind == Pull && len(m.Sums) < Buckets {
		m.Sums = append(m.Sums, binary.BigEndian.Uint32(r.take(4)))
	}
	for len(r.left) > 0 && !r.bad {
		m.Updates = append(m.Updates, r.update())
	}
	if r.bad || m.From == 0 {
		return Message{}, fmt.Errorf("%w: an update ends too soon, is too long or names nobody", ErrMalformed)
	}
	return m, nil
}

// reader takes updates off a datagram.
type reader struct {
	left []byte
	bad  bool
}

func (r *reader) take(n int) []byte {
	if r.bad || n > len(r.left) {
		r.bad = true
		return make([]byte, n)
	}
	out := r.left[:n]
	r.left = r.left[n:]
	return out
}

func (r *reader) text(most int) string {
	n := int(r.take(1)[0])
	if n > most {
		r.bad = true
		return ""
	}
	return string(r.take(n))
}

func (r *reader) update() Update {
	u := Update{ID: ID(binary.BigEndian.Uint64(r.take(8))), Incarnation: binary.BigEndian.Uint32(r.take(4))}
	r.bad = r.bad || u.Incarnation > MaxIncarnation
	flags := r.take(1)[0]
	u.Status = Status(flags & statusBits)
	if u.Status == Suspect {
		u.By = ID(binary.BigEndian.Uint64(r.take(8)))
	}
	if flags&peerBit == 0 {
		r.bad = r.bad || flags&^(statusBits) != 0 || u.ID == 0
		return u
	}
	p := Peer{Name: r.text(MaxName), Region: r.text(MaxPlace), Zone: r.text(MaxPlace), Listens: flags&listensBit != 0}
	addr, ok := netip.AddrFromSlice([]byte(r.text(16)))
	p.Addr = netip.AddrPortFrom(addr, binary.BigEndian.Uint16(r.take(2)))
	u.PeerIncarnation = binary.BigEndian.Uint32(r.take(4))
	// A word must be of the member that it names: one peer cannot make another of it.
	r.bad = r.bad || !ok || u.PeerIncarnation > u.Incarnation || p.Name == "" || IDOf(p.Name) != u.ID || flags&^(statusBits|peerBit|listensBit) != 0
	u.Peer = &p
	return u
}
