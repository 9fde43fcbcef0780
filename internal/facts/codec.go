package facts

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// A fact is written in FactBytes: kind, hops, subject, author, life, seq, value, age in milliseconds, rounded up.
const (
	FactBytes = 1 + 1 + 8 + 8 + 4 + 4 + 4 + 4
	// MostFacts go into the room that a datagram of 256 bytes has beside its head and tag.
	MostFacts = 200 / FactBytes
)

// ErrMalformed says that bytes are no facts.
var ErrMalformed = errors.New("facts: malformed")

// maxAge is the longest that can be written: 49 days.
const maxAge = time.Duration(1<<32-1) * time.Millisecond

// Append writes facts. Ages are rounded up: they are never under-reported.
func Append(b []byte, facts ...Fact) []byte {
	for _, f := range facts {
		b = append(b, byte(f.Kind), f.Hops)
		b = binary.BigEndian.AppendUint64(b, uint64(f.Subject))
		b = binary.BigEndian.AppendUint64(b, f.Author.ID)
		b = binary.BigEndian.AppendUint32(b, f.Author.Life)
		b = binary.BigEndian.AppendUint32(b, f.Seq)
		b = binary.BigEndian.AppendUint32(b, f.Value)
		age := min(max(0, f.Age), maxAge)
		b = binary.BigEndian.AppendUint32(b, uint32((age+time.Millisecond-1)/time.Millisecond))
	}
	return b
}

// Parse reads facts; of bytes that hold one that can't be, none is read.
func Parse(b []byte) (out []Fact, err error) {
	if len(b)%FactBytes != 0 || len(b) > MostFacts*FactBytes {
		return nil, fmt.Errorf("%w: %d bytes; allowed: up to %d times %d", ErrMalformed, len(b), MostFacts, FactBytes)
	}
	for ; len(b) > 0; b = b[FactBytes:] {
		f := Fact{Kind: Kind(b[0]), Hops: b[1], Subject: Subject(binary.BigEndian.Uint64(b[2:])),
			Author: Author{binary.BigEndian.Uint64(b[10:]), binary.BigEndian.Uint32(b[18:])},
			Seq:    binary.BigEndian.Uint32(b[22:]), Value: binary.BigEndian.Uint32(b[26:]),
			Age: time.Duration(binary.BigEndian.Uint32(b[30:])) * time.Millisecond}
		if f.Kind < 1 || f.Kind > lastKind || f.Author.ID == 0 {
			return nil, fmt.Errorf("%w: kind %d of author %d", ErrMalformed, f.Kind, f.Author.ID)
		}
		out = append(out, f)
	}
	return out, nil
}
