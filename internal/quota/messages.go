package quota

import (
	"time"

	"damsontrestle/internal/peering"
)

// Topics of what gateways ask one another.
const (
	topicLease = "quota.ask"
	topicVote  = "quota.vote"
)

type (
	leaseRequest struct {
		Quota     string        `cbor:"1,keyasint"`
		Wanted    int           `cbor:"2,keyasint"`
		Returning int           `cbor:"3,keyasint,omitempty"` // of them, for clients who come back when they were told to
		Returned  int           `cbor:"4,keyasint,omitempty"` // tokens that are not needed after all
		Term      uint64        `cbor:"5,keyasint"`           // of the answer that Stamp is of
		Stamp     time.Duration `cbor:"6,keyasint"`           // the quota leader's clock, as its last answer told it
		Floor     float64       `cbor:"7,keyasint,omitempty"` // the own part of a floor, that is waived with this
		Wait      time.Duration `cbor:"8,keyasint"`           // for tokens, at most
	}
	leaseGrant struct {
		Leader   string        `cbor:"1,keyasint"` // who it is; only of the quota leader's own answers the rest counts
		IsLeader bool          `cbor:"2,keyasint"`
		Term     uint64        `cbor:"3,keyasint"`
		Stamp    time.Duration `cbor:"4,keyasint"`
		Granted  int           `cbor:"5,keyasint"`
		Hint     time.Duration `cbor:"6,keyasint"` // when there may be one, where there were too few
	}
	voteRequest struct {
		Quota string `cbor:"1,keyasint"`
		Term  uint64 `cbor:"2,keyasint"`
	}
	voteReply struct {
		Yes  bool   `cbor:"1,keyasint"`
		Term uint64 `cbor:"2,keyasint"` // the highest that the replica has heard of
	}
)

// Topics are how others reach the limiter of a gateway, by their budgets' names. One that is not there answers nothing of use.
func Topics(of func(name string) *Limiter) map[string]peering.Handler {
	return map[string]peering.Handler{
		topicLease: peering.Answer(func(from *peering.Link, m leaseRequest, answer func(leaseGrant)) {
			if l := of(m.Quota); l != nil {
				l.handleRequest(from.Peer.ID(), m, answer)
			} else {
				answer(leaseGrant{})
			}
		}),
		topicVote: peering.Answer(func(from *peering.Link, m voteRequest, answer func(voteReply)) {
			if l := of(m.Quota); l != nil {
				answer(l.handleVote(from.Peer.ID(), m))
			} else {
				answer(voteReply{})
			}
		}),
	}
}
