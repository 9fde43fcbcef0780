package http1

import (
	"bytes"
	"slices"
	"strconv"
)

// headScanner looks at the bytes of a request's head as they come in, for what net/http does not tell: whether a
// Content-Length stood beside a transfer coding. Servers may read such a request's end in two ways, and hide
// another request in its body (RFC 9112 section 6.1).
type headScanner struct {
	state             scanState
	line              []byte // of the line under way, its beginning
	lines             int    // whole ones, the request line among them
	hasContentLength  bool   // a Content-Length
	contentLength     int64  // its value; negative: it can't be read
	hasTransferCoding bool   // a Transfer-Encoding
}

type scanState int

const (
	scanStart scanState = iota // the head's first byte
	scanInHead
	scanComplete // whole, and nobody has asked yet
	scanConsumed // by the request that it belongs to
)

// maxScannedLine is longer than the names that are looked for.
const maxScannedLine = 32

// feed takes what was read next, and tells how much of it is the head's.
func (s *headScanner) feed(p []byte) (taken int) {
	all := len(p)
	if s.state == scanStart && len(p) > 0 {
		*s = headScanner{state: scanInHead, line: s.line[:0]}
	}
	for s.state == scanInHead && len(p) > 0 {
		line, after, ended := bytes.Cut(p, []byte{'\n'})
		s.line = append(s.line, line[:min(len(line), maxScannedLine-len(s.line))]...)
		if p = after; ended {
			s.endLine()
		}
	}
	return all - len(p)
}

// endLine ends a line.
func (s *headScanner) endLine() {
	line := bytes.TrimSuffix(s.line, []byte{'\r'})
	switch name, value, _ := bytes.Cut(line, []byte{':'}); {
	case len(line) == 0:
		s.state = scanComplete
	case s.lines > 0 && bytes.EqualFold(name, []byte("Content-Length")):
		s.hasContentLength = true
		s.contentLength = parseContentLength(value, len(s.line) == maxScannedLine)
	case s.lines > 0 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.hasTransferCoding = true
	}
	s.lines++
	s.line = s.line[:0]
}

// parseContentLength reads the value of a Content-Length, whose line may have been cut; negative: it can't be read.
func parseContentLength(value []byte, cut bool) int64 {
	n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if cut || err != nil {
		return -1
	}
	return n
}

// consume tells, once, of the head that was seen whole: whether the end of its body could be read in two ways. One
// that came right behind another was not seen.
func (s *headScanner) consume(coded bool) (unframed bool) {
	unframed = coded && (s.state != scanComplete || s.hasContentLength || !s.hasTransferCoding)
	s.state = scanConsumed
	return unframed
}

// requestScanner follows the requests that a connection brings, by their heads and lengths. net/http reads ahead of the
// request that it serves and does not tell.
type requestScanner struct {
	head            headScanner   // under way
	bodyRemaining   int64         // bytes that are still to come of the last whole head's body
	requestsStarted int           // requests of which a byte was read
	completeHeads   []headScanner // whole, and not taken yet
	unknownEnd      bool          // where the last body ends is not known: the connection ends behind it
}

// feed takes what was read next.
func (s *requestScanner) feed(p []byte) {
	for len(p) > 0 && !s.unknownEnd {
		if s.bodyRemaining > 0 {
			n := min(s.bodyRemaining, int64(len(p)))
			s.bodyRemaining -= n
			p = p[n:]
			continue
		}
		if s.head.state == scanStart {
			s.requestsStarted++
		}
		n := s.head.feed(p)
		p = p[n:]
		if s.head.state == scanComplete {
			s.endHead()
		}
	}
}

// end notes a head that is complete.
func (s *requestScanner) endHead() {
	s.bodyRemaining = max(s.head.contentLength, 0)
	s.unknownEnd = s.head.hasTransferCoding || s.head.contentLength < 0
	s.completeHeads = append(s.completeHeads, headScanner{state: scanComplete, hasContentLength: s.head.hasContentLength, hasTransferCoding: s.head.hasTransferCoding})
	s.head = headScanner{line: s.head.line[:0]}
}

// take tells of the oldest head that was not taken; see headScanner.consume.
func (s *requestScanner) consumeHead(coded bool) (unframed bool) {
	if len(s.completeHeads) == 0 {
		return coded
	}
	unframed = s.completeHeads[0].consume(coded)
	s.completeHeads = slices.Delete(s.completeHeads, 0, 1) // its place is used again
	return unframed
}
