package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Lengths of names and values take one byte up to 127, and else four whose first bit is set (section 3.4).
const (
	shortMost = 127
	longFlag  = 1 << 31
)

// What can be wrong with a stream of pairs.
var (
	ErrPairLong  = errors.New("more than the bytes that all pairs may have")
	ErrPairCount = errors.New("more pairs than there may be")
	ErrPairCut   = errors.New("the stream ends within a pair")
)

// AppendPair appends a pair.
func AppendPair(to []byte, name, value string) []byte {
	to = appendLength(to, len(name))
	to = appendLength(to, len(value))
	to = append(to, name...)
	return append(to, value...)
}

func appendLength(to []byte, n int) []byte {
	if n <= shortMost {
		return append(to, byte(n))
	}
	return binary.BigEndian.AppendUint32(to, longFlag|uint32(n))
}

// Limits bound the pairs of one stream.
type Limits struct {
	Bytes int // of names and values together
	Count int
}

// Pairs reads a stream of pairs that comes in pieces cut anywhere. Memory: the pair under way, within the limits,
// which hold before anything is kept.
type Pairs struct {
	limits Limits
	part   []byte // of the pair under way, with its lengths
	bytes  int    // of the pairs that are complete, without their lengths
	count  int
	offset int64 // of the pair under way in the stream
	failed error
}

// NewPairs reads pairs within limits.
func NewPairs(l Limits) *Pairs { return &Pairs{limits: l} }

// Reset begins with another stream.
func (p *Pairs) Reset() { *p = Pairs{limits: p.limits, part: p.part[:0]} }

// Feed takes the next bytes and has each pair that they make whole seen. What is seen is valid only meanwhile. After an
// error, which names the place, each request returns the same.
func (p *Pairs) Feed(text []byte, see func(name, value []byte)) error {
	for p.failed == nil && len(text) > 0 {
		if len(p.part) == 0 { // most pairs come completely
			used, err := p.pair(text, see)
			if p.failed = err; used > 0 {
				text = text[used:]
				continue
			}
		}
		if p.failed != nil {
			break
		}
		// One that is not complete grows to what its lengths say, and not beyond.
		n := min(p.missing(), len(text))
		p.part = append(p.part, text[:n]...)
		text = text[n:]
		var used int
		if used, p.failed = p.pair(p.part, see); used > 0 {
			p.part = p.part[:0]
		}
	}
	return p.failed
}

// missing is how many bytes the pair under way is known to lack, at least one.
func (p *Pairs) missing() int {
	name, value, size, ok := lengths(p.part)
	if !ok {
		return 1
	}
	return size + name + value - len(p.part)
}

// pair sees the pair that text begins with, and tells how many bytes it has; 0: it is not complete.
func (p *Pairs) pair(text []byte, see func(name, value []byte)) (used int, err error) {
	name, value, size, ok := lengths(text)
	if !ok {
		return 0, nil
	}
	switch {
	case name > p.limits.Bytes-p.bytes || value > p.limits.Bytes-p.bytes-name:
		return 0, p.fail(fmt.Errorf("a name of %d and a value of %d bytes: %w, which is %d", name, value, ErrPairLong, p.limits.Bytes))
	case p.count >= p.limits.Count:
		return 0, p.fail(fmt.Errorf("%w, which is %d", ErrPairCount, p.limits.Count))
	}
	if used = size + name + value; len(text) < used {
		return 0, nil
	}
	p.bytes += name + value
	p.count++
	p.offset += int64(used)
	see(text[size:size+name], text[size+name:used])
	return used, nil
}

// End tells whether the stream may end here.
func (p *Pairs) End() error {
	if p.failed == nil && len(p.part) > 0 {
		p.failed = p.fail(ErrPairCut)
	}
	return p.failed
}

func (p *Pairs) fail(err error) error {
	return fmt.Errorf("fastcgi: pair %d at byte %d of its stream: %w", p.count+1, p.offset, err)
}

// lengths reads a pair's two lengths and tells how many bytes they take; not ok: they are not complete.
func lengths(text []byte) (name, value, size int, ok bool) {
	var n, v uint32
	if n, size, ok = length(text, 0); ok {
		v, size, ok = length(text, size)
	}
	return int(n), int(v), size, ok
}

func length(text []byte, at int) (n uint32, next int, ok bool) {
	switch {
	case at >= len(text):
		return 0, at, false
	case text[at] <= shortMost:
		return uint32(text[at]), at + 1, true
	case at+4 > len(text):
		return 0, at, false
	}
	return binary.BigEndian.Uint32(text[at:]) &^ longFlag, at + 4, true
}
