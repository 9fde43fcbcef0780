package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Lengths of names and values take one byte up to 127, and else four whose first bit is set (section 3.4).
const (
	maxShortLength = 127
	longFlag       = 1 << 31
)

// What can be wrong with a stream of pairs.
var (
	ErrPairsTooLong  = errors.New("more than the bytes that all pairs may have")
	ErrTooManyPairs  = errors.New("more pairs than there may be")
	ErrTruncatedPair = errors.New("the stream ends within a pair")
)

// AppendPair appends a pair.
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

// Limits bound the pairs of one stream.
type PairLimits struct {
	Bytes int // of names and values together
	Count int
}

// Pairs reads a stream of pairs that comes in pieces cut anywhere. Memory: the pair under way, within the limits,
// which hold before anything is kept.
type Pairs struct {
	limits  PairLimits
	partial []byte // of the pair under way, with its lengths
	bytes   int    // of the pairs that are complete, without their lengths
	count   int
	offset  int64 // of the pair under way in the stream
	err     error
}

// NewPairs reads pairs within limits.
func NewPairs(l PairLimits) *Pairs { return &Pairs{limits: l} }

// Reset begins with another stream.
func (p *Pairs) Reset() { *p = Pairs{limits: p.limits, partial: p.partial[:0]} }

// Feed takes the next bytes and has each pair that they make whole seen. What is seen is valid only meanwhile. After an
// error, which names the place, each request returns the same.
func (p *Pairs) Feed(data []byte, fn func(name, value []byte)) error {
	for p.err == nil && len(data) > 0 {
		if len(p.partial) == 0 { // most pairs come completely
			used, err := p.parsePair(data, fn)
			if p.err = err; used > 0 {
				data = data[used:]
				continue
			}
		}
		if p.err != nil {
			break
		}
		// One that is not complete grows to what its lengths say, and not beyond.
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

// missing is how many bytes the pair under way is known to lack, at least one.
func (p *Pairs) missing() int {
	name, value, size, ok := parseLengths(p.partial)
	if !ok {
		return 1
	}
	return size + name + value - len(p.partial)
}

// pair sees the pair that text begins with, and tells how many bytes it has; 0: it is not complete.
func (p *Pairs) parsePair(data []byte, fn func(name, value []byte)) (used int, err error) {
	name, value, size, ok := parseLengths(data)
	if !ok {
		return 0, nil
	}
	switch {
	case name > p.limits.Bytes-p.bytes || value > p.limits.Bytes-p.bytes-name:
		return 0, p.wrapError(fmt.Errorf("a name of %d and a value of %d bytes: %w, which is %d", name, value, ErrPairsTooLong, p.limits.Bytes))
	case p.count >= p.limits.Count:
		return 0, p.wrapError(fmt.Errorf("%w, which is %d", ErrTooManyPairs, p.limits.Count))
	}
	if used = size + name + value; len(data) < used {
		return 0, nil
	}
	p.bytes += name + value
	p.count++
	p.offset += int64(used)
	fn(data[size:size+name], data[size+name:used])
	return used, nil
}

// End tells whether the stream may end here.
func (p *Pairs) End() error {
	if p.err == nil && len(p.partial) > 0 {
		p.err = p.wrapError(ErrTruncatedPair)
	}
	return p.err
}

func (p *Pairs) wrapError(err error) error {
	return fmt.Errorf("fastcgi: pair %d at byte %d of its stream: %w", p.count+1, p.offset, err)
}

// lengths reads a pair's two lengths and tells how many bytes they take; not ok: they are not complete.
func parseLengths(data []byte) (name, value, size int, ok bool) {
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
