package http1

import (
	"bytes"
	"slices"
	"strconv"
)

// headScanner scans the bytes of a request's head as they arrive, to find out what net/http does not report: whether there
// was a Content-Length beside a transfer coding. Servers may determine the end of such a request in two ways, so that its
// body can smuggle another request (RFC 9112 section 6.1).
type headScanner struct {
	state             scanState
	line              []byte // the beginning of the current line
	lines             int    // number of complete lines, including the request line
	length            int    // bytes received so far
	hasContentLength  bool   // there is a Content-Length field
	contentLength     int64  // value of Content-Length; negative: invalid
	hasTransferCoding bool   // there is a Transfer-Encoding field
}

type scanState int

const (
	scanStart scanState = iota // before the first byte of the head
	scanInHead
	scanComplete
	scanRefused // there are too many fields
)

// maxHeadFields is the largest number of header fields of a request. What net/http keeps of a field is many times the length of a short
// one, so a limit on the bytes of a head does not bound its memory.
const maxHeadFields = 100

// maxScannedLine is the number of bytes kept of a line: more than the length of the field names that are searched for.
const maxScannedLine = 32

// feed scans the next bytes read and returns how many of them belong to the head.
func (s *headScanner) feed(p []byte) (consumed int) {
	total := len(p)
	if s.state == scanStart && len(p) > 0 {
		*s = headScanner{state: scanInHead, line: s.line[:0]}
	}
	for s.state == scanInHead && len(p) > 0 {
		line, rest, complete := bytes.Cut(p, []byte{'\n'})
		s.line = append(s.line, line[:min(len(line), maxScannedLine-len(s.line))]...)
		if p = rest; complete {
			s.endLine()
		}
	}
	s.length += total - len(p)
	return total - len(p)
}

// endLine processes a complete line.
func (s *headScanner) endLine() {
	line := bytes.TrimSuffix(s.line, []byte{'\r'})
	s.line = s.line[:0]
	if len(line) == 0 && s.lines == 0 {
		return // empty lines in front of the request line belong to no head (RFC 9112 section 2.2)
	}
	switch name, value, _ := bytes.Cut(line, []byte{':'}); {
	case len(line) == 0:
		s.state = scanComplete
	case s.lines > maxHeadFields:
		s.state = scanRefused
	case s.lines > 0 && bytes.EqualFold(name, []byte("Content-Length")):
		s.hasContentLength = true
		s.contentLength = parseContentLength(value, len(line) == maxScannedLine)
	case s.lines > 0 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.hasTransferCoding = true
	}
	s.lines++
}

// parseContentLength parses the value of a Content-Length. It returns a negative value if that is invalid or truncated.
func parseContentLength(value []byte, truncated bool) int64 {
	n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if truncated || err != nil {
		return -1
	}
	return n
}

// bodyLengthFields tells which fields that determine the length of a body a complete head has. One is kept for each request that
// was read ahead, which may have only a few bytes.
type bodyLengthFields uint8

const (
	fieldContentLength bodyLengthFields = 1 << iota
	fieldTransferEncoding
)

// lengthFields returns the fields of a complete head.
func (s *headScanner) lengthFields() (fields bodyLengthFields) {
	if s.hasContentLength {
		fields |= fieldContentLength
	}
	if s.hasTransferCoding {
		fields |= fieldTransferEncoding
	}
	return fields
}

// requestScanner tracks the requests received on a connection, by their heads and lengths: net/http reads beyond the request
// that it serves and does not report it.
type requestScanner struct {
	head            headScanner        // of the request being received
	bodyRemaining   int64              // bytes still to be received of the body of the last complete head
	requestsStarted int                // number of requests of which at least one byte was read
	completeHeads   []bodyLengthFields // of heads that are complete and not consumed yet, oldest first
	unknownEnd      bool               // the end of the last body is unknown: the connection is closed after it
}

// feed scans the next bytes read and returns how many of them may be passed on: those behind the line at which a head was refused
// may not. From then on it returns 0.
func (s *requestScanner) feed(p []byte) (accepted int) {
	total := len(p)
	for len(p) > 0 && !s.unknownEnd && s.head.state != scanRefused {
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
	if s.head.state == scanRefused {
		return total - len(p)
	}
	return total
}

// endHead records a complete head.
func (s *requestScanner) endHead() {
	s.bodyRemaining = max(s.head.contentLength, 0)
	s.unknownEnd = s.head.hasTransferCoding || s.head.contentLength < 0
	s.completeHeads = append(s.completeHeads, s.head.lengthFields())
	s.head = headScanner{line: s.head.line[:0]}
}

// incompleteHeadLength returns the length of the head that is being received, in bytes.
func (s *requestScanner) incompleteHeadLength() int {
	if s.head.state != scanInHead {
		return 0
	}
	return s.head.length
}

// consumeHead consumes the oldest complete head, and reports whether the end of its request's body can be determined in two ways: by
// both fields, or by a Transfer-Encoding that net/http ignores, as it does in HTTP/1.0 (RFC 9112 section 6.1). A request with a transfer
// coding whose head was not scanned, such as one that directly follows another, counts as ambiguous.
func (s *requestScanner) consumeHead(hasTransferCoding bool) (ambiguousLength bool) {
	if len(s.completeHeads) == 0 {
		return hasTransferCoding
	}
	fields := s.completeHeads[0]
	s.completeHeads = slices.Delete(s.completeHeads, 0, 1) // keeps the capacity
	hasField := fields&fieldTransferEncoding != 0
	return hasField != hasTransferCoding || fields == fieldContentLength|fieldTransferEncoding
}
