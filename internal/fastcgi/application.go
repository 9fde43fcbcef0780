package fastcgi

import (
	"errors"
	"fmt"
)

// Bounds are what an Application holds for one connection at most.
type Bounds struct {
	Requests int // open at once; more are OVERLOADED
	Params   Limits
}

// Application is the application's side of one connection: it takes what a web server sends and tells what that
// comes to. It does no I/O: what the protocol itself has to answer it gives to its Writer, which its owner flushes.
//
// Ids are the web server's, and free again once their request has ended. Records for an id that is not open are
// passed over, as section 3.3 asks: the web server may have sent them before it heard of the end. Whatever else does
// not fit ends the connection, with an *Error that names the record; requests that are open are not ended by it.
type Application struct {
	bounds Bounds
	out    *Writer
	open   map[uint16]*incoming
}

// incoming is a request that was begun.
type incoming struct {
	pairs  *Pairs
	params []Param
	keep   bool
	named  bool // its PARAMS have ended
	read   bool // and its STDIN
}

// Param is a name and its value.
type Param struct{ Name, Value string }

// What does not fit.
var (
	ErrInUse     = errors.New("its id is that of a request that is open")
	ErrEnded     = errors.New("its stream has ended")
	ErrOrder     = errors.New("it comes before the end of PARAMS")
	ErrDirection = errors.New("only the other side may send it")
)

// Kind is what a record comes to.
type Kind int

// Kinds of events.
const (
	Nothing Kind = iota
	Called       // PARAMS are complete
	Body         // a part of STDIN
	BodyEnd
	Aborted // the web server wants the request's end; End is still owed
)

// Event is what a record comes to.
type Event struct {
	Kind   Kind
	ID     uint16
	Params []Param // for Called
	Data   []byte  // for Body; the reader's, until the next record is read
}

// NewApplication answers with out what the protocol answers by itself.
func NewApplication(b Bounds, out *Writer) *Application {
	return &Application{bounds: b, out: out, open: map[uint16]*incoming{}}
}

// Open is how many requests are open.
func (a *Application) Open() int { return len(a.open) }

// Take takes the next record.
func (a *Application) Take(r Record) (Event, error) {
	switch r.Type {
	case BeginRequest:
		return Event{}, a.begin(r)
	case GetValues:
		return Event{}, a.values(r)
	case EndRequest, Stdout, Stderr, GetValuesResult, UnknownType:
		return Event{}, r.fail(ErrDirection)
	}
	if !r.Type.Known() {
		return Event{}, a.out.Unknown(r.Type)
	}
	in := a.open[r.ID]
	if in == nil {
		return Event{}, nil
	}
	switch r.Type {
	case AbortRequest:
		return Event{Kind: Aborted, ID: r.ID}, nil
	case Params:
		return in.take(r)
	case Stdin:
		return in.body(r)
	}
	return Event{}, nil // DATA is for filters, and a responder has no use for it
}

func (a *Application) begin(r Record) error {
	b, err := r.Begin()
	switch {
	case err != nil:
		return err
	case a.open[r.ID] != nil:
		return r.fail(ErrInUse)
	case b.Role != Responder:
		return a.out.End(r.ID, End{Status: UnknownRole})
	case len(a.open) >= a.bounds.Requests:
		return a.out.End(r.ID, End{Status: Overloaded})
	}
	a.open[r.ID] = &incoming{pairs: NewPairs(a.bounds.Params), keep: b.Keep}
	return nil
}

func (in *incoming) take(r Record) (Event, error) {
	if in.named {
		return Event{}, r.fail(ErrEnded)
	}
	if len(r.Content) == 0 {
		if err := in.pairs.End(); err != nil {
			return Event{}, r.fail(err)
		}
		in.named = true
		e := Event{Kind: Called, ID: r.ID, Params: in.params}
		in.pairs, in.params = nil, nil
		return e, nil
	}
	if err := in.pairs.Feed(r.Content, func(name, value []byte) {
		in.params = append(in.params, Param{string(name), string(value)})
	}); err != nil {
		return Event{}, r.fail(err)
	}
	return Event{}, nil
}

func (in *incoming) body(r Record) (Event, error) {
	switch {
	case !in.named:
		return Event{}, r.fail(ErrOrder)
	case in.read:
		return Event{}, r.fail(ErrEnded)
	case len(r.Content) == 0:
		in.read = true
		return Event{Kind: BodyEnd, ID: r.ID}, nil
	}
	return Event{Kind: Body, ID: r.ID, Data: r.Content}, nil
}

// Names that GET_VALUES may ask for (section 4.1).
const (
	maxReqs  = "FCGI_MAX_REQS"
	mpxConns = "FCGI_MPXS_CONNS"
)

// values answers what a connection can do; what an application holds in all is not known here.
func (a *Application) values(r Record) error {
	var answer []byte
	p := NewPairs(Limits{Bytes: maxContent, Count: maxContent})
	asked := map[string]bool{}
	err := p.Feed(r.Content, func(name, _ []byte) { asked[string(name)] = true })
	if err == nil {
		err = p.End()
	}
	if err != nil {
		return r.fail(err)
	}
	if asked[maxReqs] {
		answer = AppendPair(answer, maxReqs, fmt.Sprint(a.bounds.Requests))
	}
	if asked[mpxConns] {
		multiplexes := "0"
		if a.bounds.Requests > 1 {
			multiplexes = "1"
		}
		answer = AppendPair(answer, mpxConns, multiplexes)
	}
	return a.out.Values(GetValuesResult, answer)
}

// Finish ends a request that is open and tells whether its connection stays: it does not where the web server has
// left its close to the application (section 5.1, FCGI_KEEP_CONN).
func (a *Application) Finish(id uint16, e End) (keep bool, err error) {
	in := a.open[id]
	if in == nil {
		return false, fmt.Errorf("fastcgi: request %d is not open", id)
	}
	delete(a.open, id)
	if e.Status == Complete {
		if err := a.out.CloseStream(Stdout, id); err != nil {
			return false, err
		}
	}
	return in.keep, a.out.End(id, e)
}
