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
	out  *Writer
	most int // requests at once
	open map[uint16]*outgoing
}

// outgoing is a request that was begun.
type outgoing struct {
	sent    bool // its STDIN has ended
	ended   bool // its STDOUT has
	aborted bool
}

// ErrSpill says that a record belongs to no request that is open.
var ErrSpill = errors.New("no request of this id is open")

// ErrFull says that a connection carries as many requests as it can.
var ErrFull = errors.New("fastcgi: the connection has no room for another request")

// NewWebServer begins with a connection that carries one request at a time.
func NewWebServer(out *Writer) *WebServer {
	return &WebServer{out: out, most: 1, open: map[uint16]*outgoing{}}
}

// Ask asks the application what its connections can carry. An application that does not know the question answers
// nothing, or that its type is not known; requests need not wait for the answer.
func (s *WebServer) Ask() error {
	return s.out.Values(GetValues, AppendPair(AppendPair(nil, mpxConns, ""), maxReqs, ""))
}

// Room is how many more requests may be begun now.
func (s *WebServer) Room() int { return max(0, s.most-len(s.open)) }

// Begin begins a request for a responder, with its PARAMS whole, and returns its id.
func (s *WebServer) Begin(params []Param, keep bool) (id uint16, err error) {
	if s.Room() == 0 {
		return 0, ErrFull
	}
	for id = 1; s.open[id] != nil; id++ { // small ids keep applications' tables small (section 3.3)
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
	s.open[id] = &outgoing{}
	return id, s.out.CloseStream(Params, id)
}

// Send sends a part of a request's body.
func (s *WebServer) Send(id uint16, p []byte) error {
	if o := s.open[id]; o == nil || o.sent {
		return fmt.Errorf("fastcgi: nothing may be sent for request %d", id)
	}
	return s.out.Stream(Stdin, id, p)
}

// CloseSend ends a request's body.
func (s *WebServer) CloseSend(id uint16) error {
	o := s.open[id]
	if o == nil || o.sent {
		return fmt.Errorf("fastcgi: the body of request %d has ended", id)
	}
	o.sent = true
	return s.out.CloseStream(Stdin, id)
}

// Abort asks the application to end a request, once. Its Ended still comes.
func (s *WebServer) Abort(id uint16) error {
	o := s.open[id]
	if o == nil || o.aborted {
		return nil
	}
	o.aborted = true
	return s.out.Abort(id)
}

// ReplyKind is what a record of the application comes to.
type ReplyKind int

// Kinds of replies.
const (
	None      ReplyKind = iota
	Output              // a part of STDOUT; none comes of a request that was aborted
	OutputEnd           // STDOUT has ended; Ended still comes
	Complaint           // a part of STDERR
	Ended               // the request has, and its id is free
	Learned             // Room may have changed
)

// Reply is what a record of the application comes to.
type Reply struct {
	Kind  ReplyKind
	ID    uint16
	Data  []byte // the reader's, until the next record is read
	End   End    // for Ended
	Whole bool   // for Ended: STDOUT had ended before
}

// Unrun says, of a Reply that is Ended, that the application has told that it did not take the request (section
// 5.5). Any other end may have run it, also one that comes before its body was sent complete.
func (r Reply) Unrun() bool { return r.End.Status == Overloaded || r.End.Status == CantMultiplex }

// Take takes the next record.
func (s *WebServer) Take(r Record) (Reply, error) {
	switch r.Type {
	case GetValuesResult:
		return s.learn(r)
	case UnknownType:
		return Reply{}, nil // an application that knows no GET_VALUES
	case BeginRequest, AbortRequest, Params, Stdin, Data, GetValues:
		return Reply{}, r.fail(ErrDirection)
	}
	if !r.Type.Known() {
		return Reply{}, r.fail(ErrType)
	}
	o := s.open[r.ID]
	if o == nil {
		return Reply{}, r.fail(ErrSpill)
	}
	switch r.Type {
	case Stderr:
		if len(r.Content) == 0 {
			return Reply{}, nil
		}
		return Reply{Kind: Complaint, ID: r.ID, Data: r.Content}, nil
	case Stdout:
		switch {
		case o.ended:
			return Reply{}, r.fail(ErrEnded)
		case len(r.Content) == 0:
			o.ended = true
			return Reply{Kind: OutputEnd, ID: r.ID}, nil
		case o.aborted:
			return Reply{}, nil
		}
		return Reply{Kind: Output, ID: r.ID, Data: r.Content}, nil
	}
	e, err := r.End()
	if err != nil {
		return Reply{}, err
	}
	if e.Status > UnknownRole {
		return Reply{}, r.fail(fmt.Errorf("%w: its protocol status is %d", ErrBody, e.Status))
	}
	delete(s.open, r.ID)
	return Reply{Kind: Ended, ID: r.ID, End: e, Whole: o.ended}, nil
}

// learn takes what a connection can carry. What makes no sense changes nothing.
func (s *WebServer) learn(r Record) (Reply, error) {
	most, multiplexes := 1, false
	p := NewPairs(Limits{Bytes: maxContent, Count: maxContent})
	err := p.Feed(r.Content, func(name, value []byte) {
		n, bad := strconv.ParseUint(string(value), 10, 16)
		switch {
		case bad != nil:
		case string(name) == mpxConns:
			multiplexes = n == 1
		case string(name) == maxReqs && n > 0:
			most = int(n)
		}
	})
	if err == nil {
		err = p.End()
	}
	if err != nil {
		return Reply{}, r.fail(err)
	}
	if s.most = 1; multiplexes {
		s.most = most
	}
	return Reply{Kind: Learned}, nil
}
