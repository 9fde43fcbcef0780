package http1

import (
	"bytes"
	"slices"
	"strconv"
)

// headScan looks at the bytes of a request's head as they come in, for what net/http does not tell: whether a
// Content-Length stood beside a transfer coding. Servers may read such a request's end in two ways, and hide
// another request in its body (RFC 9112 section 6.1).
type headScan struct {
	state  scanState
	line   []byte // of the line under way, its beginning
	lines  int    // whole ones, the request line among them
	length bool   // a Content-Length
	body   int64  // its value; negative: it can't be read
	coding bool   // a Transfer-Encoding
}

type scanState int

const (
	scanAwaiting scanState = iota // the head's first byte
	scanWithin
	scanComplete // whole, and nobody has asked yet
	scanTaken    // by the request that it belongs to
)

// maxScannedLine is longer than the names that are looked for.
const maxScannedLine = 32

// feed takes what was read next, and tells how much of it is the head's.
func (s *headScan) feed(p []byte) (taken int) {
	all := len(p)
	if s.state == scanAwaiting && len(p) > 0 {
		*s = headScan{state: scanWithin, line: s.line[:0]}
	}
	for s.state == scanWithin && len(p) > 0 {
		line, after, ended := bytes.Cut(p, []byte{'\n'})
		s.line = append(s.line, line[:min(len(line), maxScannedLine-len(s.line))]...)
		if p = after; ended {
			s.end()
		}
	}
	return all - len(p)
}

// end ends a line.
func (s *headScan) end() {
	line := bytes.TrimSuffix(s.line, []byte{'\r'})
	switch name, value, _ := bytes.Cut(line, []byte{':'}); {
	case len(line) == 0:
		s.state = scanComplete
	case s.lines > 0 && bytes.EqualFold(name, []byte("Content-Length")):
		s.length = true
		s.body = bodyLength(value, len(s.line) == maxScannedLine)
	case s.lines > 0 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.coding = true
	}
	s.lines++
	s.line = s.line[:0]
}

// bodyLength reads the value of a Content-Length, whose line may have been cut; negative: it can't be read.
func bodyLength(value []byte, cut bool) int64 {
	n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if cut || err != nil {
		return -1
	}
	return n
}

// take tells, once, of the head that was seen whole: whether the end of its body could be read in two ways. One
// that came right behind another was not seen.
func (s *headScan) take(coded bool) (unframed bool) {
	unframed = coded && (s.state != scanComplete || s.length || !s.coding)
	s.state = scanTaken
	return unframed
}

// requestScan follows the requests that a connection brings, by their heads and lengths. net/http reads ahead of the
// request that it serves and does not tell.
type requestScan struct {
	head       headScan   // under way
	body       int64      // bytes that are still to come of the last whole head's body
	begun      int        // requests of which a byte was read
	heads      []headScan // whole, and not taken yet
	endUnknown bool       // where the last body ends is not known: the connection ends behind it
}

// feed takes what was read next.
func (s *requestScan) feed(p []byte) {
	for len(p) > 0 && !s.endUnknown {
		if s.body > 0 {
			n := min(s.body, int64(len(p)))
			s.body -= n
			p = p[n:]
			continue
		}
		if s.head.state == scanAwaiting {
			s.begun++
		}
		n := s.head.feed(p)
		p = p[n:]
		if s.head.state == scanComplete {
			s.end()
		}
	}
}

// end notes a head that is complete.
func (s *requestScan) end() {
	s.body = max(s.head.body, 0)
	s.endUnknown = s.head.coding || s.head.body < 0
	s.heads = append(s.heads, headScan{state: scanComplete, length: s.head.length, coding: s.head.coding})
	s.head = headScan{line: s.head.line[:0]}
}

// take tells of the oldest head that was not taken; see headScan.take.
func (s *requestScan) take(coded bool) (unframed bool) {
	if len(s.heads) == 0 {
		return coded
	}
	unframed = s.heads[0].take(coded)
	s.heads = slices.Delete(s.heads, 0, 1) // its place is used again
	return unframed
}
