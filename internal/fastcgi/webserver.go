package fastcgi

import (
	"errors"
	"fmt"
	"strconv"
)

// WebServer is the web server side of one connection: it begins requests and turns the records of the application
// into replies. It does no I/O: its records go to its Writer, which the owner flushes.
//
// A connection carries one request at a time until the application has reported that it accepts several (GET_VALUES,
// section 4.1). A record for an id that is not open may belong to any request: nothing on the connection can be
// trusted after it, and an *Error ends the connection. An aborted request stays open, and its id in use, until the
// application has ended it.
type WebServer struct {
	out         *Writer
	maxRequests int // open at once
	requests    map[uint16]*outgoingRequest
}

// outgoingRequest is the protocol state of an open request.
type outgoingRequest struct {
	stdinEnded  bool
	stdoutEnded bool
	aborted     bool
}

// ErrUnknownRequest reports a record of a request that is not open.
var ErrUnknownRequest = errors.New("no open request with this id")

// ErrTooManyRequests reports that a connection carries as many requests as the application accepts.
var ErrTooManyRequests = errors.New("fastcgi: begin request: connection is at its request limit")

// NewWebServer returns a WebServer whose connection carries one request at a time.
func NewWebServer(out *Writer) *WebServer {
	return &WebServer{out: out, maxRequests: 1, requests: map[uint16]*outgoingRequest{}}
}

// RequestValues asks the application for the limits of a connection. An application without support for GET_VALUES
// sends no answer or UNKNOWN_TYPE; requests need not wait for the answer.
func (s *WebServer) RequestValues() error {
	return s.out.Values(GetValues, AppendPair(AppendPair(nil, mpxConns, ""), maxReqs, ""))
}

// Available returns how many more requests may be begun now.
func (s *WebServer) Available() int { return max(0, s.maxRequests-len(s.requests)) }

// Begin begins a request for a responder, sends all of its PARAMS, and returns its id.
func (s *WebServer) Begin(params []Param, keep bool) (id uint16, err error) {
	if s.Available() == 0 {
		return 0, ErrTooManyRequests
	}
	for id = 1; s.requests[id] != nil; id++ { // small ids keep the tables of applications small (section 3.3)
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
		return fmt.Errorf("fastcgi: send body of request %d: the request is not open or its body has ended", id)
	}
	return s.out.Stream(Stdin, id, p)
}

// CloseSend ends a request's body.
func (s *WebServer) CloseSend(id uint16) error {
	req := s.requests[id]
	if req == nil || req.stdinEnded {
		return fmt.Errorf("fastcgi: end body of request %d: the request is not open or its body has ended", id)
	}
	req.stdinEnded = true
	return s.out.CloseStream(Stdin, id)
}

// Abort asks the application to end a request. It sends the record once; the Ended reply still follows.
func (s *WebServer) Abort(id uint16) error {
	req := s.requests[id]
	if req == nil || req.aborted {
		return nil
	}
	req.aborted = true
	return s.out.Abort(id)
}

// ReplyKind is the kind of a Reply.
type ReplyKind int

// Kinds of replies.
const (
	NoReply        ReplyKind = iota
	Output                   // a part of STDOUT; aborted requests have none
	OutputEnd                // STDOUT has ended; Ended still follows
	ErrorOutput              // a part of STDERR
	Ended                    // the request has ended and its id is free
	ValuesReceived           // Available may have changed
)

// Reply is the result of a record of the application.
type Reply struct {
	Kind           ReplyKind
	ID             uint16
	Data           []byte // valid until the next record is read
	End            End    // for Ended
	OutputComplete bool   // for Ended: STDOUT had ended before the request
}

// NotStarted reports, for an Ended reply, whether the application has refused the request (section 5.5). With any
// other status the request may have run, even if it ended before its body was sent completely.
func (r Reply) NotStarted() bool { return r.End.Status == Overloaded || r.End.Status == CantMultiplex }

// HandleRecord processes the next record. An error is an *Error.
func (s *WebServer) HandleRecord(rec Record) (Reply, error) {
	switch rec.Type {
	case GetValuesResult:
		return s.handleValues(rec)
	case UnknownType:
		return Reply{}, nil // the application does not support GET_VALUES
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
		return Reply{}, rec.wrapError(fmt.Errorf("%w: got status %d", ErrInvalidBody, end.Status))
	}
	delete(s.requests, rec.ID)
	return Reply{Kind: Ended, ID: rec.ID, End: end, OutputComplete: req.stdoutEnded}, nil
}

// handleValues sets the request limit of the connection. It ignores values that are not numbers. The limit is one
// request unless the application multiplexes.
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
