package fastcgi

import (
	"errors"
	"fmt"
	"strconv"
)

// WebServer is the web server's side of one connection: it begins requests, and tells what the application sends
// of them. It does no I/O: what goes out it gives to its Writer, which its owner flushes.
//
// A connection carries one request at a time until the application has said that it takes several (GET_VALUES,
// section 4.1). A record for an id that is not open is a spill: it may belong to any request, so that nothing on the
// connection can be trusted any more, and the *Error ends it. A request that was aborted stays open, and its id in
// use, until the application has ended it.
type WebServer struct {
	out         *Writer
	maxRequests int // requests at once
	requests    map[uint16]*outgoingRequest
}

// outgoing is a request that was begun.
type outgoingRequest struct {
	stdinEnded  bool // its STDIN has ended
	stdoutEnded bool // its STDOUT has
	aborted     bool
}

// ErrSpill says that a record belongs to no request that is open.
var ErrUnknownRequest = errors.New("no request of this id is open")

// ErrFull says that a connection carries as many requests as it can.
var ErrTooManyRequests = errors.New("fastcgi: the connection has no room for another request")

// NewWebServer begins with a connection that carries one request at a time.
func NewWebServer(out *Writer) *WebServer {
	return &WebServer{out: out, maxRequests: 1, requests: map[uint16]*outgoingRequest{}}
}

// Ask asks the application what its connections can carry. An application that does not know the question answers
// nothing, or that its type is not known; requests need not wait for the answer.
func (s *WebServer) RequestValues() error {
	return s.out.Values(GetValues, AppendPair(AppendPair(nil, mpxConns, ""), maxReqs, ""))
}

// Room is how many more requests may be begun now.
func (s *WebServer) Available() int { return max(0, s.maxRequests-len(s.requests)) }

// Begin begins a request for a responder, with its PARAMS whole, and returns its id.
func (s *WebServer) Begin(params []Param, keep bool) (id uint16, err error) {
	if s.Available() == 0 {
		return 0, ErrTooManyRequests
	}
	for id = 1; s.requests[id] != nil; id++ { // small ids keep applications' tables small (section 3.3)
	}
	if err := s.out.Begin(id, Begin{Responder, keep}); err != nil {
		return 0, err
	}
	var pairs []byte
	for _, p := range params {
		pairs = AppendPair(pairs, p.Name, p.Value)
	}
	if err := s.out.Stream(Params, id, pairs); err != nil {
		return 0, err
	}
	s.requests[id] = &outgoingRequest{}
	return id, s.out.CloseStream(Params, id)
}

// Send sends a part of a request's body.
func (s *WebServer) Send(id uint16, p []byte) error {
	if req := s.requests[id]; req == nil || req.stdinEnded {
		return fmt.Errorf("fastcgi: nothing may be sent for request %d", id)
	}
	return s.out.Stream(Stdin, id, p)
}

// CloseSend ends a request's body.
func (s *WebServer) CloseSend(id uint16) error {
	req := s.requests[id]
	if req == nil || req.stdinEnded {
		return fmt.Errorf("fastcgi: the body of request %d has ended", id)
	}
	req.stdinEnded = true
	return s.out.CloseStream(Stdin, id)
}

// Abort asks the application to end a request, once. Its Ended still comes.
func (s *WebServer) Abort(id uint16) error {
	req := s.requests[id]
	if req == nil || req.aborted {
		return nil
	}
	req.aborted = true
	return s.out.Abort(id)
}

// ReplyKind is what a record of the application comes to.
type ReplyKind int

// Kinds of replies.
const (
	NoReply        ReplyKind = iota
	Output                   // a part of STDOUT; none comes of a request that was aborted
	OutputEnd                // STDOUT has ended; Ended still comes
	ErrorOutput              // a part of STDERR
	Ended                    // the request has, and its id is free
	ValuesReceived           // Room may have changed
)

// Reply is what a record of the application comes to.
type Reply struct {
	Kind           ReplyKind
	ID             uint16
	Data           []byte // the reader's, until the next record is read
	End            End    // for Ended
	OutputComplete bool   // for Ended: STDOUT had ended before
}

// Unrun says, of a Reply that is Ended, that the application has told that it did not take the request (section
// 5.5). Any other end may have run it, also one that comes before its body was sent complete.
func (r Reply) NotStarted() bool { return r.End.Status == Overloaded || r.End.Status == CantMultiplex }

// Take takes the next record.
func (s *WebServer) HandleRecord(rec Record) (Reply, error) {
	switch rec.Type {
	case GetValuesResult:
		return s.handleValues(rec)
	case UnknownType:
		return Reply{}, nil // an application that knows no GET_VALUES
	case BeginRequest, AbortRequest, Params, Stdin, Data, GetValues:
		return Reply{}, rec.wrapError(ErrWrongDirection)
	}
	if !rec.Type.Known() {
		return Reply{}, rec.wrapError(ErrUnknownType)
	}
	req := s.requests[rec.ID]
	if req == nil {
		return Reply{}, rec.wrapError(ErrUnknownRequest)
	}
	switch rec.Type {
	case Stderr:
		if len(rec.Content) == 0 {
			return Reply{}, nil
		}
		return Reply{Kind: ErrorOutput, ID: rec.ID, Data: rec.Content}, nil
	case Stdout:
		switch {
		case req.stdoutEnded:
			return Reply{}, rec.wrapError(ErrStreamEnded)
		case len(rec.Content) == 0:
			req.stdoutEnded = true
			return Reply{Kind: OutputEnd, ID: rec.ID}, nil
		case req.aborted:
			return Reply{}, nil
		}
		return Reply{Kind: Output, ID: rec.ID, Data: rec.Content}, nil
	}
	end, err := rec.End()
	if err != nil {
		return Reply{}, err
	}
	if end.Status > UnknownRole {
		return Reply{}, rec.wrapError(fmt.Errorf("%w: its protocol status is %d", ErrInvalidBody, end.Status))
	}
	delete(s.requests, rec.ID)
	return Reply{Kind: Ended, ID: rec.ID, End: end, OutputComplete: req.stdoutEnded}, nil
}

// learn takes what a connection can carry. What makes no sense changes nothing.
func (s *WebServer) handleValues(rec Record) (Reply, error) {
	maxRequests, multiplexes := 1, false
	p := NewPairs(PairLimits{Bytes: maxContent, Count: maxContent})
	err := p.Feed(rec.Content, func(name, value []byte) {
		n, err := strconv.ParseUint(string(value), 10, 16)
		switch {
		case err != nil:
		case string(name) == mpxConns:
			multiplexes = n == 1
		case string(name) == maxReqs && n > 0:
			maxRequests = int(n)
		}
	})
	if err == nil {
		err = p.End()
	}
	if err != nil {
		return Reply{}, rec.wrapError(err)
	}
	if s.maxRequests = 1; multiplexes {
		s.maxRequests = maxRequests
	}
	return Reply{Kind: ValuesReceived}, nil
}
