package replication

import (
	"cmp"
	"time"
)

// Gateway is one incarnation of a gateway.
type Gateway struct {
	Name        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint"` // 0: not known here, for there is no link to it
}

// sameName says that both are incarnations of one gateway.
func (g Gateway) sameName(other Gateway) bool { return g.Name == other.Name }

// Key identifies a request: its class, and its idempotency key or, without one, the id that its client gave it.
type Key struct {
	Class string `cbor:"1,keyasint"`
	ID    string `cbor:"2,keyasint"`
}

// Ballot is a ballot number (Paxos): it orders those who carry a request one after the other. The zero Ballot is below all
// others. No two owners ever use the same one, for it names the owner, its incarnation and a count within that.
type Ballot struct {
	Number      uint32 `cbor:"1,keyasint"`
	Owner       string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Sequence    uint64 `cbor:"4,keyasint"` // of the owner's ballots in that incarnation: two requests of one key have two ballots
}

// Compare orders ballots, by number first.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(
		cmp.Compare(b.Number, other.Number),
		cmp.Compare(b.Owner, other.Owner),
		cmp.Compare(b.Incarnation, other.Incarnation),
		cmp.Compare(b.Sequence, other.Sequence),
	)
}

// Record is what is replicated of a request, so that a successor can go on with it.
type Record struct {
	Key            Key                 `cbor:"1,keyasint"`
	Generation     uint32              `cbor:"2,keyasint"` // counts the requests of one key, of which the earlier ones were rejected
	ID             string              `cbor:"3,keyasint"`
	Method         string              `cbor:"4,keyasint"`
	Target         string              `cbor:"5,keyasint"`
	IdempotencyKey string              `cbor:"6,keyasint,omitempty"`
	ContentType    string              `cbor:"7,keyasint,omitempty"`
	Body           []byte              `cbor:"8,keyasint,omitempty"`
	TimeLeft       time.Duration       `cbor:"9,keyasint"` // until its client's deadline, at the time of sending
	Owner          Gateway             `cbor:"10,keyasint"`
	Replicas       []Gateway           `cbor:"11,keyasint"`
	Tenant         string              `cbor:"12,keyasint,omitempty"`
	QuotaDraws     []string            `cbor:"13,keyasint,omitempty"` // quotas that it has drawn a token from
	PartnerPath    []string            `cbor:"14,keyasint,omitempty"` // partners that forwarded it, the first one first
	Route          Route               `cbor:"16,keyasint"`
	Headers        map[string][]string `cbor:"18,keyasint,omitempty"` // that routes match
	Offer          [2]string           `cbor:"19,keyasint"`           // origin and name of the advertisement by which a partner forwarded it
}

// Route is what routes match beside headers.
type Route struct {
	Listener string `cbor:"1,keyasint"`
	Host     string `cbor:"2,keyasint,omitempty"`
	Path     string `cbor:"3,keyasint"`
	Draw     string `cbor:"4,keyasint"`
}

// Intent is an attempt that a majority of replicas allowed to begin.
type Intent struct {
	Ballot  Ballot        `cbor:"1,keyasint"`
	Attempt int           `cbor:"2,keyasint"` // counts the request's attempts over all its owners, from 0
	Pool    string        `cbor:"3,keyasint"`
	Server  string        `cbor:"4,keyasint"`
	Zone    string        `cbor:"5,keyasint,omitempty"`
	Cell    int           `cbor:"6,keyasint,omitempty"`
	Age     time.Duration `cbor:"7,keyasint"`           // since it was allowed, at the time of sending
	NotRun  bool          `cbor:"8,keyasint,omitempty"` // it has ended, and is known not to have run
	ID      string        `cbor:"9,keyasint"`           // of the record that it is for
}

// sameAttempt says that both intents are for one attempt by one ballot.
func (i Intent) sameAttempt(other Intent) bool {
	return i.Ballot == other.Ballot && i.Attempt == other.Attempt
}

// Kind says how a request ended. 0: it has no outcome.
type Kind uint8

// Kinds of outcomes.
const (
	Served   Kind = iota + 1
	Rejected      // a retry is harmless
	Failed        // an attempt may have run
)

var kinds = [...]string{"none", "served", "rejected", "failed"}

// String is the kind's name.
func (k Kind) String() string { return kinds[min(int(k), len(kinds)-1)] }

// Outcome is the one final response to a request, as replicas accept it.
type Outcome struct {
	Kind        Kind          `cbor:"1,keyasint"`
	Body        []byte        `cbor:"2,keyasint,omitempty"`
	ContentType string        `cbor:"3,keyasint,omitempty"`
	BodyOmitted bool          `cbor:"4,keyasint,omitempty"` // the body was too long to be kept: only the first client has it
	RetryAfter  time.Duration `cbor:"5,keyasint,omitempty"` // of Rejected: the Retry-After
	Reason      string        `cbor:"6,keyasint,omitempty"` // of Rejected by a rule: which one
	NotRun      bool          `cbor:"7,keyasint,omitempty"` // of Rejected: no attempt of it may have run

	Response interface{ Discard() } `cbor:"-"` // the response as it came, for the gateway that ran the request
}

// Entry is the state of a replica for one request.
type Entry struct {
	Record     Record   `cbor:"1,keyasint"`
	Promised   Ballot   `cbor:"2,keyasint"` // nothing is accepted by a lower one
	Intents    []Intent `cbor:"3,keyasint,omitempty"`
	Outcome    *Outcome `cbor:"4,keyasint,omitempty"` // that was accepted last; nil: none was
	AcceptedBy Ballot   `cbor:"5,keyasint"`           // the ballot by which the outcome was accepted
	Decided    bool     `cbor:"6,keyasint,omitempty"` // a majority has accepted the outcome
	Recovered  bool     `cbor:"7,keyasint,omitempty"` // an earlier incarnation may have voted for it; this one knows its key, and is no replica of it
}
