package fastcgi

import (
	"errors"
	"fmt"
)

// ConnLimits bound what an Application holds for one connection.
type ConnLimits struct {
	Requests int // open at once; others are answered with OVERLOADED
	Params   PairLimits
}

// Application is the application side of one connection: it turns the records of a web server into events. It does
// no I/O: answers that the protocol itself requires go to its Writer, which the owner flushes.
//
// The web server chooses the ids, and an id is free again once its request has ended. Records for an id that is not
// open are ignored, as section 3.3 requires: the web server may have sent them before it received END_REQUEST. Any
// other invalid record ends the connection with an *Error that names the record, but does not end open requests.
type Application struct {
	limits   ConnLimits
	out      *Writer
	requests map[uint16]*incomingRequest
}

// incomingRequest is the protocol state of an open request.
type incomingRequest struct {
	pairs       *Pairs
	params      []Param
	keepConn    bool
	paramsEnded bool
	stdinEnded  bool
}

// Param is a name-value pair of PARAMS.
type Param struct{ Name, Value string }

// Errors of records that the protocol does not allow where they were received.
var (
	ErrIDInUse        = errors.New("a request with this id is already open")
	ErrStreamEnded    = errors.New("record after the end of its stream")
	ErrParamsNotEnded = errors.New("record before the end of PARAMS")
	ErrWrongDirection = errors.New("record type is valid only in the other direction")
)

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	NoEvent   EventKind = iota
	ParamsEnd           // PARAMS are complete
	Body                // a part of STDIN
	BodyEnd
	Aborted // the web server has asked to end the request; Finish must still be called
)

// Event is the result of a record.
type Event struct {
	Kind   EventKind
	ID     uint16
	Params []Param // for ParamsEnd
	Data   []byte  // for Body; valid until the next record is read
}

// NewApplication returns an Application without open requests, which writes its answers to out.
func NewApplication(limits ConnLimits, out *Writer) *Application {
	return &Application{limits: limits, out: out, requests: map[uint16]*incomingRequest{}}
}

// Open returns the number of open requests.
func (a *Application) Open() int { return len(a.requests) }

// HandleRecord processes the next record. An error is an *Error, or one of the Writer.
func (a *Application) HandleRecord(rec Record) (Event, error) {
	switch rec.Type {
	case BeginRequest:
		return Event{}, a.beginRequest(rec)
	case GetValues:
		return Event{}, a.answerValues(rec)
	case EndRequest, Stdout, Stderr, GetValuesResult, UnknownType:
		return Event{}, rec.wrapError(ErrWrongDirection)
	}
	if !rec.Type.Known() {
		return Event{}, a.out.Unknown(rec.Type)
	}
	req := a.requests[rec.ID]
	if req == nil {
		return Event{}, nil
	}
	switch rec.Type {
	case AbortRequest:
		return Event{Kind: Aborted, ID: rec.ID}, nil
	case Params:
		return req.handleParams(rec)
	case Stdin:
		return req.handleStdin(rec)
	}
	return Event{}, nil // DATA is sent to filters only, and a responder ignores it
}

func (a *Application) beginRequest(rec Record) error {
	body, err := rec.Begin()
	switch {
	case err != nil:
		return err
	case a.requests[rec.ID] != nil:
		return rec.wrapError(ErrIDInUse)
	case body.Role != Responder:
		return a.out.End(rec.ID, End{Status: UnknownRole})
	case len(a.requests) >= a.limits.Requests:
		return a.out.End(rec.ID, End{Status: Overloaded})
	}
	a.requests[rec.ID] = &incomingRequest{pairs: NewPairs(a.limits.Params), keepConn: body.Keep}
	return nil
}

func (req *incomingRequest) handleParams(rec Record) (Event, error) {
	if req.paramsEnded {
		return Event{}, rec.wrapError(ErrStreamEnded)
	}
	if len(rec.Content) == 0 {
		if err := req.pairs.End(); err != nil {
			return Event{}, rec.wrapError(err)
		}
		req.paramsEnded = true
		e := Event{Kind: ParamsEnd, ID: rec.ID, Params: req.params}
		req.pairs, req.params = nil, nil
		return e, nil
	}
	if err := req.pairs.Feed(rec.Content, func(name, value []byte) {
		req.params = append(req.params, Param{string(name), string(value)})
	}); err != nil {
		return Event{}, rec.wrapError(err)
	}
	return Event{}, nil
}

func (req *incomingRequest) handleStdin(rec Record) (Event, error) {
	switch {
	case !req.paramsEnded:
		return Event{}, rec.wrapError(ErrParamsNotEnded)
	case req.stdinEnded:
		return Event{}, rec.wrapError(ErrStreamEnded)
	case len(rec.Content) == 0:
		req.stdinEnded = true
		return Event{Kind: BodyEnd, ID: rec.ID}, nil
	}
	return Event{Kind: Body, ID: rec.ID, Data: rec.Content}, nil
}

// Names of GET_VALUES variables (section 4.1).
const (
	maxReqs  = "FCGI_MAX_REQS"
	mpxConns = "FCGI_MPXS_CONNS"
)

// answerValues answers GET_VALUES with the limits of one connection, as the limits of the whole application are not
// known here.
func (a *Application) answerValues(rec Record) error {
	var answer []byte
	pairs := NewPairs(PairLimits{Bytes: maxContent, Count: maxContent})
	requested := map[string]bool{}
	err := pairs.Feed(rec.Content, func(name, _ []byte) { requested[string(name)] = true })
	if err == nil {
		err = pairs.End()
	}
	if err != nil {
		return rec.wrapError(err)
	}
	if requested[maxReqs] {
		answer = AppendPair(answer, maxReqs, fmt.Sprint(a.limits.Requests))
	}
	if requested[mpxConns] {
		multiplexes := "0"
		if a.limits.Requests > 1 {
			multiplexes = "1"
		}
		answer = AppendPair(answer, mpxConns, multiplexes)
	}
	return a.out.Values(GetValuesResult, answer)
}

// Finish ends an open request and reports whether to keep the connection. Without FCGI_KEEP_CONN (section 5.1) the
// application closes it.
func (a *Application) Finish(id uint16, end End) (keep bool, err error) {
	req := a.requests[id]
	if req == nil {
		return false, fmt.Errorf("fastcgi: finish request %d: the request is not open", id)
	}
	delete(a.requests, id)
	if end.Status == Complete {
		if err := a.out.CloseStream(Stdout, id); err != nil {
			return false, err
		}
	}
	return req.keepConn, a.out.End(id, end)
}
