package http1

import "bytes"

// headScan looks at the bytes of a request's head as they come in, for what net/http does not tell: whether a
// Content-Length stood beside a transfer coding. Servers may read such a request's end in two ways, and hide
// another request in its body (RFC 9112 section 6.1).
type headScan struct {
	state  scanState
	line   []byte // of the line under way, its beginning
	lines  int    // whole ones, the request line among them
	length bool   // a Content-Length
	coding bool   // a Transfer-Encoding
}

type scanState int

const (
	awaiting scanState = iota // the head's first byte
	within
	seen  // whole, and nobody has asked yet
	taken // by the request that it belongs to
)

// nameMost is longer than the names that are looked for.
const nameMost = 32

// feed takes what was read next.
func (s *headScan) feed(p []byte) {
	if s.state == awaiting && len(p) > 0 {
		*s = headScan{state: within, line: s.line[:0]}
	}
	for s.state == within && len(p) > 0 {
		line, after, ended := bytes.Cut(p, []byte{'\n'})
		s.line = append(s.line, line[:min(len(line), nameMost-len(s.line))]...)
		if p = after; ended {
			s.end()
		}
	}
}

// end ends a line.
func (s *headScan) end() {
	line := bytes.TrimSuffix(s.line, []byte{'\r'})
	switch name, _, _ := bytes.Cut(line, []byte{':'}); {
	case len(line) == 0:
		s.state = seen
	case s.lines > 0 && bytes.EqualFold(name, []byte("Content-Length")):
		s.length = true
	case s.lines > 0 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.coding = true
	}
	s.lines++
	s.line = s.line[:0]
}

// take tells, once, of the head that was seen whole: whether the end of its body could be read in two ways. One
// that came right behind another was not seen.
func (s *headScan) take(coded bool) (unframed bool) {
	unframed = coded && (s.state != seen || s.length || !s.coding)
	s.state = taken
	return unframed
}

// again awaits the next head, behind an answer.
func (s *headScan) again() {
	if s.state != within {
		s.state = awaiting
	}
}
