package quota

import (
	"time"

	"damsontrestle/internal/peering"
)

// Topics of the messages between gateways; their names are part of the wire.
const (
	topicLease = "quota.ask"
	topicVote  = "quota.vote"
)

// leaseRequest asks the leader of a quota for tokens, and waives the sender's floor.
type leaseRequest struct {
	Quota     string        `cbor:"1,keyasint"`
	Wanted    int           `cbor:"2,keyasint"`           // tokens
	Returning int           `cbor:"3,keyasint,omitempty"` // of them, for clients that return at the time that they were advised
	Returned  int           `cbor:"4,keyasint,omitempty"` // tokens that are given back unused
	Term      uint64        `cbor:"5,keyasint"`           // of the grant that Stamp is of
	Stamp     time.Duration `cbor:"6,keyasint"`           // the leader's clock, as its last grant had it; 0: there was none
	Floor     float64       `cbor:"7,keyasint,omitempty"` // requests a second: the sender's own part, which this message waives
	Wait      time.Duration `cbor:"8,keyasint"`           // the longest time to the reply, whether there are tokens or not
}

// leaseGrant is the reply to a leaseRequest. Unless IsLeader is set only Leader counts.
type leaseGrant struct {
	Leader   string        `cbor:"1,keyasint"` // partner/gateway, as far as the sender knows
	IsLeader bool          `cbor:"2,keyasint"` // the sender is the leader
	Term     uint64        `cbor:"3,keyasint"`
	Stamp    time.Duration `cbor:"4,keyasint"` // the leader's clock when the request arrived
	Granted  int           `cbor:"5,keyasint"` // tokens
	Hint     time.Duration `cbor:"6,keyasint"` // until there may be a token, where fewer than wanted were granted
}

// voteRequest asks a candidate for its vote for a term.
type voteRequest struct {
	Quota string `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// voteReply is the reply to a voteRequest.
type voteReply struct {
	Yes  bool   `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint"` // the highest that the voter has heard of
}

// Topics returns the handlers by which other gateways reach the limiters of this one. limiterOf finds a limiter by the name of
// its quota; a request for a quota without one gets an empty reply.
func Topics(limiterOf func(name string) *Limiter) map[string]peering.Handler {
	return map[string]peering.Handler{
		topicLease: peering.RequestHandler(func(from *peering.Link, m leaseRequest, reply func(leaseGrant)) {
			limiter := limiterOf(m.Quota)
			if limiter == nil {
				reply(leaseGrant{})
				return
			}
			limiter.handleLeaseRequest(from.Peer.ID(), m, reply)
		}),
		topicVote: peering.RequestHandler(func(from *peering.Link, m voteRequest, reply func(voteReply)) {
			limiter := limiterOf(m.Quota)
			if limiter == nil {
				reply(voteReply{})
				return
			}
			reply(limiter.handleVote(from.Peer.ID(), m))
		}),
	}
}
