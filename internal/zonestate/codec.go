package zonestate

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"
)

// A message consists of version, kind, from, token, echo and hold time (big endian), followed by rows, or by the zone queries
// of a Query. The transport adds the authentication tag.
const (
	// Version is the first byte of a message. Messages of other versions are counted and discarded.
	Version   = 0x40
	headSize  = 1 + 1 + 8 + 4 + 4 + 2
	rowSize   = 4 + 1 + 8 + 4 + 4 + 3 + 2 + 1
	entrySize = 1 + 4 + 4
	// The plane and page of a row share a byte.
	planeShift    = 4
	pageBits      = 0x0f
	zoneQuerySize = 4 + 3
	// MaxMessage is the maximum size of a message: a datagram of 256 bytes less a tag of 12.
	MaxMessage     = 256 - 12
	maxZoneQueries = (MaxMessage - headSize) / zoneQuerySize
)

// maxAge is the highest age that can be encoded, in 24 bits of milliseconds. Higher ages are encoded as maxAge.
const maxAge = time.Duration(1<<24-1) * time.Millisecond

// Errors returned by Parse. A message with an error is discarded completely.
var (
	// ErrVersion means that the sender uses another version of the protocol.
	ErrVersion = errors.New("zonestate: unsupported protocol version")
	// ErrMalformed means that the size or the format of the message is invalid.
	ErrMalformed = errors.New("zonestate: malformed message")
)

// rowBytes returns the encoded size of a row in bytes.
func rowBytes(r Row) int { return rowSize + len(r.Entries)*entrySize }

func appendUint24(b []byte, v uint32) []byte { return append(b, byte(v>>16), byte(v>>8), byte(v)) }

func uint24(b []byte) uint32 { return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]) }

// appendAge appends an age, rounded up so that it remains an upper bound.
func appendAge(b []byte, age time.Duration) []byte {
	age = min(max(0, age), maxAge)
	return appendUint24(b, uint32((age+time.Millisecond-1)/time.Millisecond))
}

func parseAge(b []byte) time.Duration { return time.Duration(uint24(b)) * time.Millisecond }

// Append appends the encoding of a message to b.
func Append(b []byte, m Message) []byte {
	b = append(b, Version, byte(m.Kind))
	b = binary.BigEndian.AppendUint64(b, m.From)
	b = binary.BigEndian.AppendUint32(b, m.Token)
	b = binary.BigEndian.AppendUint32(b, m.Echo)
	b = binary.BigEndian.AppendUint16(b, m.HeldMillis)
	for _, query := range m.ZoneQueries {
		b = binary.BigEndian.AppendUint32(b, uint32(query.ZoneID))
		b = appendAge(b, query.Age)
	}
	for _, r := range m.Rows {
		b = appendRow(b, r)
	}
	return b
}

func appendRow(b []byte, row Row) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(row.ZoneID))
	b = append(b, row.Plane<<planeShift|row.Page)
	b = binary.BigEndian.AppendUint64(b, row.Author.ID)
	b = binary.BigEndian.AppendUint32(b, row.Author.Incarnation)
	b = binary.BigEndian.AppendUint32(b, row.Seq)
	b = appendAge(b, row.Age)
	b = binary.BigEndian.AppendUint16(b, uint16(min(max(0, row.PartCount), maxPartCount)))
	b = append(b, byte(len(row.Entries)))
	for _, e := range row.Entries {
		b = append(b, byte(e.Kind))
		b = binary.BigEndian.AppendUint32(b, uint32(e.Subject))
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(e.Value)))
	}
	return b
}

// Parse decodes a message. Its errors wrap ErrVersion or ErrMalformed.
func Parse(b []byte) (Message, error) {
	if len(b) < headSize || len(b) > MaxMessage {
		return Message{}, fmt.Errorf("%w: %d bytes", ErrMalformed, len(b))
	}
	if b[0] != Version {
		return Message{}, fmt.Errorf("%w: %d", ErrVersion, b[0])
	}
	m := Message{
		Kind:       MessageKind(b[1]),
		From:       binary.BigEndian.Uint64(b[2:]),
		Token:      binary.BigEndian.Uint32(b[10:]),
		Echo:       binary.BigEndian.Uint32(b[14:]),
		HeldMillis: binary.BigEndian.Uint16(b[18:]),
	}
	if m.Kind < PartUpdate || m.Kind > Query || m.From == 0 {
		return Message{}, fmt.Errorf("%w: kind %d, sender ID %d", ErrMalformed, m.Kind, m.From)
	}
	left := b[headSize:]
	for m.Kind == Query && len(left) >= zoneQuerySize {
		m.ZoneQueries = append(m.ZoneQueries, ZoneQuery{ZoneID(binary.BigEndian.Uint32(left)), parseAge(left[4:])})
		left = left[zoneQuerySize:]
	}
	for m.Kind != Query && len(left) >= rowSize {
		var r Row
		var err error
		r, left, err = parseRow(left)
		if err != nil {
			return Message{}, err
		}
		m.Rows = append(m.Rows, r)
	}
	if len(left) > 0 {
		return Message{}, fmt.Errorf("%w: %d trailing bytes", ErrMalformed, len(left))
	}
	return m, nil
}

// parseRow decodes a row at the start of b, which must have at least rowSize bytes, and returns the remaining bytes.
func parseRow(b []byte) (row Row, left []byte, err error) {
	row = Row{
		ZoneID:    ZoneID(binary.BigEndian.Uint32(b)),
		Plane:     b[4] >> planeShift,
		Page:      b[4] & pageBits,
		Author:    Author{ID: binary.BigEndian.Uint64(b[5:]), Incarnation: binary.BigEndian.Uint32(b[13:])},
		Seq:       binary.BigEndian.Uint32(b[17:]),
		Age:       parseAge(b[21:]),
		PartCount: int(binary.BigEndian.Uint16(b[24:])),
	}
	n := int(b[26])
	left = b[rowSize:]
	if row.Plane >= planes || row.Page >= pages || row.Author.ID == 0 || n > MaxEntries || len(left) < n*entrySize {
		return Row{}, nil, fmt.Errorf("%w: row with plane %d, page %d, author %d, %d entries", ErrMalformed, row.Plane, row.Page, row.Author.ID, n)
	}
	for range n {
		e := parseEntry(left)
		if math.IsNaN(e.Value) || math.IsInf(e.Value, 0) || e.Kind.page() != row.Page {
			return Row{}, nil, fmt.Errorf("%w: entry with kind %d and value %v on page %d", ErrMalformed, e.Kind, e.Value, row.Page)
		}
		row.Entries = append(row.Entries, e)
		left = left[entrySize:]
	}
	return row, left, nil
}

func parseEntry(b []byte) Entry {
	return Entry{
		Kind:    Kind(b[0]),
		Subject: Subject(binary.BigEndian.Uint32(b[1:])),
		Value:   float64(math.Float32frombits(binary.BigEndian.Uint32(b[5:]))),
	}
}
