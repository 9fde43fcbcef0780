package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Lengths of names and values up to 127 are encoded in one byte, others in four with the high bit set (section 3.4).
const (
	maxShortLength = 127
	longFlag       = 1 << 31
)

// Errors of a stream of name-value pairs.
var (
	ErrPairsTooLong  = errors.New("names and values exceed the byte limit")
	ErrTooManyPairs  = errors.New("too many pairs")
	ErrTruncatedPair = errors.New("unexpected end of stream within a pair")
)

// AppendPair appends an encoded name-value pair to dst.
func AppendPair(dst []byte, name, value string) []byte {
	dst = appendLength(dst, len(name))
	dst = appendLength(dst, len(value))
	dst = append(dst, name...)
	return append(dst, value...)
}

func appendLength(dst []byte, n int) []byte {
	if n <= maxShortLength {
		return append(dst, byte(n))
	}
	return binary.BigEndian.AppendUint32(dst, longFlag|uint32(n))
}

// PairLimits bound the pairs of one stream.
type PairLimits struct {
	Bytes int // of all names and values together
	Count int
}

// Pairs decodes a stream of name-value pairs that arrives in chunks of any size. It buffers at most one incomplete
// pair, and checks its lengths against the limits before it buffers the name and value.
type Pairs struct {
	limits  PairLimits
	partial []byte // the incomplete pair, with its lengths
	bytes   int    // of the names and values of complete pairs
	count   int
	offset  int64 // of the next pair in the stream
	err     error
}

// NewPairs returns a decoder of one stream.
func NewPairs(limits PairLimits) *Pairs { return &Pairs{limits: limits} }

// Reset prepares for another stream, with the same limits and buffer.
func (p *Pairs) Reset() { *p = Pairs{limits: p.limits, partial: p.partial[:0]} }

// Feed decodes the next bytes and calls fn for each pair that they complete. Name and value are valid only during
// the call. An error holds the position of the pair; after it every call returns the same error.
func (p *Pairs) Feed(data []byte, fn func(name, value []byte)) error {
	for p.err == nil && len(data) > 0 {
		if len(p.partial) == 0 { // most pairs arrive complete and need no copy
			used, err := p.parsePair(data, fn)
			if p.err = err; used > 0 {
				data = data[used:]
				continue
			}
		}
		if p.err != nil {
			break
		}
		// An incomplete pair grows up to the size that its lengths state, and no further.
		n := min(p.missing(), len(data))
		p.partial = append(p.partial, data[:n]...)
		data = data[n:]
		var used int
		if used, p.err = p.parsePair(p.partial, fn); used > 0 {
			p.partial = p.partial[:0]
		}
	}
	return p.err
}

// missing returns how many bytes the incomplete pair is known to lack, at least one.
func (p *Pairs) missing() int {
	nameLen, valueLen, size, ok := parseLengths(p.partial)
	if !ok {
		return 1
	}
	return size + nameLen + valueLen - len(p.partial)
}

// parsePair decodes the pair at the start of data and returns its size, or 0 if it is incomplete.
func (p *Pairs) parsePair(data []byte, fn func(name, value []byte)) (used int, err error) {
	nameLen, valueLen, size, ok := parseLengths(data)
	if !ok {
		return 0, nil
	}
	switch {
	case nameLen > p.limits.Bytes-p.bytes || valueLen > p.limits.Bytes-p.bytes-nameLen:
		return 0, p.wrapError(fmt.Errorf("name of %d bytes and value of %d bytes: %w of %d", nameLen, valueLen, ErrPairsTooLong, p.limits.Bytes))
	case p.count >= p.limits.Count:
		return 0, p.wrapError(fmt.Errorf("%w: limit is %d", ErrTooManyPairs, p.limits.Count))
	}
	if used = size + nameLen + valueLen; len(data) < used {
		return 0, nil
	}
	p.bytes += nameLen + valueLen
	p.count++
	p.offset += int64(used)
	fn(data[size:size+nameLen], data[size+nameLen:used])
	return used, nil
}

// End returns an error if the stream may not end here.
func (p *Pairs) End() error {
	if p.err == nil && len(p.partial) > 0 {
		p.err = p.wrapError(ErrTruncatedPair)
	}
	return p.err
}

func (p *Pairs) wrapError(err error) error {
	return fmt.Errorf("fastcgi: decode pair %d at byte %d of the stream: %w", p.count+1, p.offset, err)
}

// parseLengths decodes the two lengths of a pair and returns how many bytes they take. It is not ok if they are
// incomplete.
func parseLengths(data []byte) (nameLen, valueLen, size int, ok bool) {
	var n, v uint32
	if n, size, ok = parseLength(data, 0); ok {
		v, size, ok = parseLength(data, size)
	}
	return int(n), int(v), size, ok
}

func parseLength(data []byte, at int) (n uint32, next int, ok bool) {
	switch {
	case at >= len(data):
		return 0, at, false
	case data[at] <= maxShortLength:
		return uint32(data[at]), at + 1, true
	case at+4 > len(data):
		return 0, at, false
	}
	return binary.BigEndian.Uint32(data[at:]) &^ longFlag, at + 4, true
}
