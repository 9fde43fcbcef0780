package fastcgi

import (
	"errors"
	"fmt"
)

// Bounds are what an Application holds for one connection at most.
type ConnLimits struct {
	Requests int // open at once; more are OVERLOADED
	Params   PairLimits
}

// Application is the application's side of one connection: it takes what a web server sends and tells what that
// comes to. It does no I/O: what the protocol itself has to answer it gives to its Writer, which its owner flushes.
//
// Ids are the web server's, and free again once their request has ended. Records for an id that is not open are
// passed over, as section 3.3 asks: the web server may have sent them before it heard of the end. Whatever else does
// not fit ends the connection, with an *Error that names the record; requests that are open are not ended by it.
type Application struct {
	limits   ConnLimits
	out      *Writer
	requests map[uint16]*incomingRequest
}

// incoming is a request that was begun.
type incomingRequest struct {
	pairs       *Pairs
	params      []Param
	keepConn    bool
	paramsEnded bool // its PARAMS have ended
	stdinEnded  bool // and its STDIN
}

// Param is a name and its value.
type Param struct{ Name, Value string }

// What does not fit.
var (
	ErrIDInUse        = errors.New("its id is that of a request that is open")
	ErrStreamEnded    = errors.New("its stream has ended")
	ErrParamsNotEnded = errors.New("it comes before the end of PARAMS")
	ErrWrongDirection = errors.New("only the other side may send it")
)

// Kind is what a record comes to.
type EventKind int

// Kinds of events.
const (
	NoEvent   EventKind = iota
	ParamsEnd           // PARAMS are complete
	Body                // a part of STDIN
	BodyEnd
	Aborted // the web server wants the request's end; End is still owed
)

// Event is what a record comes to.
type Event struct {
	Kind   EventKind
	ID     uint16
	Params []Param // for Called
	Data   []byte  // for Body; the reader's, until the next record is read
}

// NewApplication answers with out what the protocol answers by itself.
func NewApplication(b ConnLimits, out *Writer) *Application {
	return &Application{limits: b, out: out, requests: map[uint16]*incomingRequest{}}
}

// Open is how many requests are open.
func (a *Application) Open() int { return len(a.requests) }

// Take takes the next record.
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
	return Event{}, nil // DATA is for filters, and a responder has no use for it
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

// Names that GET_VALUES may ask for (section 4.1).
const (
	maxReqs  = "FCGI_MAX_REQS"
	mpxConns = "FCGI_MPXS_CONNS"
)

// values answers what a connection can do; what an application holds in all is not known here.
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

// Finish ends a request that is open and tells whether its connection stays: it does not where the web server has
// left its close to the application (section 5.1, FCGI_KEEP_CONN).
func (a *Application) Finish(id uint16, end End) (keep bool, err error) {
	req := a.requests[id]
	if req == nil {
		return false, fmt.Errorf("fastcgi: request %d is not open", id)
	}
	delete(a.requests, id)
	if end.Status == Complete {
		if err := a.out.CloseStream(Stdout, id); err != nil {
			return false, err
		}
	}
	return req.keepConn, a.out.End(id, end)
}
