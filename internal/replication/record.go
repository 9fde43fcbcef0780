package replication

import (
	"cmp"
	"time"
)

// Gateway is an incarnation of a gateway.
type Gateway struct {
	Name        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint"` // 0: not known here, for there is no link to it
}

// sameName says that both are incarnations of one gateway.
func (g Gateway) sameName(other Gateway) bool { return g.Name == other.Name }

// Key is what a request is asked for by: its class, and its idempotency key or, without one, the id that its client gave it.
type Key struct {
	Class string `cbor:"1,keyasint"`
	ID    string `cbor:"2,keyasint"`
}

// Ballot orders those who may have a request in hand. The zero Ballot is below all.
type Ballot struct {
	Number      uint32 `cbor:"1,keyasint"`
	Owner       string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Sequence    uint64 `cbor:"4,keyasint"` // of those that it had in hand in that incarnation: two requests of one key are two ballots
}

// Compare orders ballots.
func (ballot Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(ballot.Number, o.Number), cmp.Compare(ballot.Owner, o.Owner), cmp.Compare(ballot.Incarnation, o.Incarnation), cmp.Compare(ballot.Sequence, o.Sequence))
}

// Record is what is kept of a request, so that another can go on with it.
type Record struct {
	Key            Key                 `cbor:"1,keyasint"`
	Generation     uint32              `cbor:"2,keyasint"` // of requests under one key, of which those before were refused
	ID             string              `cbor:"3,keyasint"`
	Method         string              `cbor:"4,keyasint"`
	Target         string              `cbor:"5,keyasint"`
	IdempotencyKey string              `cbor:"6,keyasint,omitempty"` // idempotency key
	ContentType    string              `cbor:"7,keyasint,omitempty"`
	Body           []byte              `cbor:"8,keyasint,omitempty"`
	TimeLeft       time.Duration       `cbor:"9,keyasint"` // until its client's deadline, when this was sent
	Owner          Gateway             `cbor:"10,keyasint"`
	Replicas       []Gateway           `cbor:"11,keyasint"`
	Tenant         string              `cbor:"12,keyasint,omitempty"`
	Draws          []string            `cbor:"13,keyasint,omitempty"` // quotas that were drawn from for it
	Path           []string            `cbor:"14,keyasint,omitempty"` // partners that it came through, the first one first
	Route          Route               `cbor:"16,keyasint"`
	Headers        map[string][]string `cbor:"18,keyasint,omitempty"` // that routes look at
	Offer          [2]string           `cbor:"19,keyasint"`           // origin and name of the offer that a partner sent it by
}

// Route is what routes look at beside headers.
type Route struct {
	Listener string `cbor:"1,keyasint"`
	Host     string `cbor:"2,keyasint,omitempty"`
	Path     string `cbor:"3,keyasint"`
	Draw     string `cbor:"4,keyasint"`
}

// Intent is an attempt that was allowed to begin.
type Intent struct {
	Ballot  Ballot        `cbor:"1,keyasint"`
	Attempt int           `cbor:"2,keyasint"` // of the request's attempts over all who had it in hand, from 0
	Pool    string        `cbor:"3,keyasint"`
	Server  string        `cbor:"4,keyasint"`
	Zone    string        `cbor:"5,keyasint,omitempty"`
	Cell    int           `cbor:"6,keyasint,omitempty"`
	Age     time.Duration `cbor:"7,keyasint"`           // since it was allowed, when this was sent
	NotRun  bool          `cbor:"8,keyasint,omitempty"` // it has ended, and is known not to have run
	ID      string        `cbor:"9,keyasint"`           // of the record that it was for
}

// sameAttempt says that both intents are for one attempt by one ballot.
func (i Intent) sameAttempt(other Intent) bool {
	return i.Ballot == other.Ballot && i.Attempt == other.Attempt
}

// Kind says what an outcome is.
type Kind uint8

// Kinds of outcomes.
const (
	Served   Kind = iota + 1
	Rejected      // trying again is harmless
	Failed        // promises nothing
)

// Outcome is the one final answer.
type Outcome struct {
	Kind        Kind          `cbor:"1,keyasint"`
	Body        []byte        `cbor:"2,keyasint,omitempty"`
	ContentType string        `cbor:"3,keyasint,omitempty"`
	TooLong     bool          `cbor:"4,keyasint,omitempty"` // it was too long to be kept: only who heard it first has it
	RetryAfter  time.Duration `cbor:"5,keyasint,omitempty"` // of Refused: when to come back
	Reason      string        `cbor:"6,keyasint,omitempty"` // of Refused by a rule: which one
	NotRun      bool          `cbor:"7,keyasint,omitempty"` // of Refused: no attempt of it may have run

	Live interface{ Discard() } `cbor:"-"` // the answer as it came, for whoever had it run
}

// Entry is what a replica has taken of a request.
type Entry struct {
	Record     Record   `cbor:"1,keyasint"`
	Promised   Ballot   `cbor:"2,keyasint"` // nothing of a lower one is taken
	Intents    []Intent `cbor:"3,keyasint,omitempty"`
	Outcome    *Outcome `cbor:"4,keyasint,omitempty"` // that was taken last, and
	AcceptedBy Ballot   `cbor:"5,keyasint"`           // by which ballot
	Decided    bool     `cbor:"6,keyasint,omitempty"` // a majority has taken it
	Recovered  bool     `cbor:"7,keyasint,omitempty"` // an earlier incarnation of the replica may have taken it: this one knows of it, and is no replica
}
