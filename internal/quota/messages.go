package quota

import (
	"time"

	"damsontrestle/internal/peering"
)

// Topics of the messages between gateways. Their names are part of the wire protocol.
const (
	topicLease = "quota.ask"
	topicVote  = "quota.vote"
)

// leaseRequest requests tokens from the leader of a quota and waives the sender's share of its partner's floor.
type leaseRequest struct {
	Quota       string        `cbor:"1,keyasint"`
	Wanted      int           `cbor:"2,keyasint"`           // tokens
	Retries     int           `cbor:"3,keyasint,omitempty"` // of Wanted, for clients that retry at the advised time
	Returned    int           `cbor:"4,keyasint,omitempty"` // unused tokens that are returned
	Term        uint64        `cbor:"5,keyasint"`           // of the grant that LeaderTime comes from
	LeaderTime  time.Duration `cbor:"6,keyasint"`           // the leader's clock at its last grant; 0 if there was none
	WaivedFloor float64       `cbor:"7,keyasint,omitempty"` // requests per second: the sender's share, waived by this message
	Wait        time.Duration `cbor:"8,keyasint"`           // longest time until the reply, whether there are tokens or not
}

// leaseGrant is the reply to a leaseRequest. Unless IsLeader is set, only Leader is valid.
type leaseGrant struct {
	Leader      string        `cbor:"1,keyasint"` // partner/gateway, if known to the sender
	IsLeader    bool          `cbor:"2,keyasint"` // whether the sender is the leader
	Term        uint64        `cbor:"3,keyasint"`
	LeaderTime  time.Duration `cbor:"4,keyasint"` // the leader's clock when the request arrived
	Granted     int           `cbor:"5,keyasint"` // tokens
	NextTokenIn time.Duration `cbor:"6,keyasint"` // until a token may be available, if fewer than wanted were granted
}

// voteRequest requests a candidate's vote for a term.
type voteRequest struct {
	Quota string `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// voteReply is the reply to a voteRequest.
type voteReply struct {
	Granted bool   `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"` // highest term seen by the sender
}

// Topics returns the handlers of requests from other gateways. limiterOf returns the limiter of a quota by the quota's name; if
// it returns nil, the reply is empty.
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
