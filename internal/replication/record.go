package replication

import (
	"cmp"
	"time"
)

// Gateway is one incarnation of a gateway.
type Gateway struct {
	Name        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint"` // 0: unknown here, because there is no link to it
}

// sameName reports whether both are incarnations of the same gateway.
func (g Gateway) sameName(other Gateway) bool { return g.Name == other.Name }

// Key identifies a request by its class and its idempotency key or, without one, the ID that its client gave it.
type Key struct {
	Class string `cbor:"1,keyasint"`
	ID    string `cbor:"2,keyasint"`
}

// Ballot is a Paxos ballot number. It orders the gateways that successively execute a request. The zero Ballot is below all
// others. A ballot is never used by two gateways, because it includes the owner, its incarnation and a sequence number within
// that incarnation.
type Ballot struct {
	Number      uint32 `cbor:"1,keyasint"`
	Owner       string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Sequence    uint64 `cbor:"4,keyasint"` // numbers the ballots of the owner's incarnation, so that two requests of one key have different ballots
}

// Compare compares two ballots, first by number.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(
		cmp.Compare(b.Number, other.Number),
		cmp.Compare(b.Owner, other.Owner),
		cmp.Compare(b.Incarnation, other.Incarnation),
		cmp.Compare(b.Sequence, other.Sequence),
	)
}

// Record is the replicated part of a request: what a successor needs to continue it.
type Record struct {
	Key            Key                 `cbor:"1,keyasint"`
	Generation     uint32              `cbor:"2,keyasint"` // counts the requests of one key; all earlier ones were rejected
	ID             string              `cbor:"3,keyasint"`
	Method         string              `cbor:"4,keyasint"`
	Target         string              `cbor:"5,keyasint"`
	IdempotencyKey string              `cbor:"6,keyasint,omitempty"`
	ContentType    string              `cbor:"7,keyasint,omitempty"`
	Body           []byte              `cbor:"8,keyasint,omitempty"`
	TimeLeft       time.Duration       `cbor:"9,keyasint"` // until the client's deadline, at the time of sending
	Owner          Gateway             `cbor:"10,keyasint"`
	Replicas       []Gateway           `cbor:"11,keyasint"`
	Tenant         string              `cbor:"12,keyasint,omitempty"`
	QuotaDraws     []string            `cbor:"13,keyasint,omitempty"` // quotas from which it has drawn a token
	PartnerPath    []string            `cbor:"14,keyasint,omitempty"` // partners that forwarded it, in order
	Route          Route               `cbor:"16,keyasint"`
	Headers        map[string][]string `cbor:"18,keyasint,omitempty"` // headers that routes match
	Offer          [2]string           `cbor:"19,keyasint"`           // origin and name of the advertisement that a partner used to forward it
}

// Route holds what routes match besides headers.
type Route struct {
	Listener string `cbor:"1,keyasint"`
	Host     string `cbor:"2,keyasint,omitempty"`
	Path     string `cbor:"3,keyasint"`
	Draw     string `cbor:"4,keyasint"`
}

// Intent describes an attempt that a replica has accepted, or is asked to accept; the attempt may begin once a majority has.
type Intent struct {
	Ballot  Ballot        `cbor:"1,keyasint"`
	Attempt int           `cbor:"2,keyasint"` // counts the attempts of the request over all its owners, from 0
	Pool    string        `cbor:"3,keyasint"`
	Server  string        `cbor:"4,keyasint"`
	Zone    string        `cbor:"5,keyasint,omitempty"`
	Cell    int           `cbor:"6,keyasint,omitempty"`
	Age     time.Duration `cbor:"7,keyasint"`           // since it was accepted, at the time of sending
	NotRun  bool          `cbor:"8,keyasint,omitempty"` // the attempt has ended and is known not to have run
	ID      string        `cbor:"9,keyasint"`           // Record.ID of the request
}

// sameAttempt reports whether both intents are for the same attempt with the same ballot.
func (i Intent) sameAttempt(other Intent) bool {
	return i.Ballot == other.Ballot && i.Attempt == other.Attempt
}

// Kind classifies the outcome of a request. 0: the request has no outcome.
type Kind uint8

// Kinds of outcomes.
const (
	Served   Kind = iota + 1
	Rejected      // a retry is harmless
	Failed        // an attempt may have run
)

var kinds = [...]string{"none", "served", "rejected", "failed"}

// String returns the name of the kind.
func (k Kind) String() string { return kinds[min(int(k), len(kinds)-1)] }

// Outcome is the single final response to a request, as replicas accept it.
type Outcome struct {
	Kind        Kind          `cbor:"1,keyasint"`
	Body        []byte        `cbor:"2,keyasint,omitempty"`
	ContentType string        `cbor:"3,keyasint,omitempty"`
	BodyOmitted bool          `cbor:"4,keyasint,omitempty"` // the body was too long to store: only the first client receives it
	RetryAfter  time.Duration `cbor:"5,keyasint,omitempty"` // for Rejected: the Retry-After
	Reason      string        `cbor:"6,keyasint,omitempty"` // for Rejected by a rule: the name of the rule
	NotRun      bool          `cbor:"7,keyasint,omitempty"` // for Rejected: every attempt is known not to have run

	Response interface{ Discard() } `cbor:"-"` // the original response, only at the gateway that executed the request
}

// Entry is the state of a replica for one request.
type Entry struct {
	Record     Record   `cbor:"1,keyasint"`
	Promised   Ballot   `cbor:"2,keyasint"` // nothing is accepted with a lower ballot
	Intents    []Intent `cbor:"3,keyasint,omitempty"`
	Outcome    *Outcome `cbor:"4,keyasint,omitempty"` // accepted last; nil: none
	AcceptedBy Ballot   `cbor:"5,keyasint"`           // the ballot with which the outcome was accepted
	Decided    bool     `cbor:"6,keyasint,omitempty"` // a majority has accepted the outcome
	Recovered  bool     `cbor:"7,keyasint,omitempty"` // an earlier incarnation may have voted for it; this one knows only its key and is no replica
}
