package replication

import "time"

// Topics of what custodians ask one another.
const (
	topicRecord       = "custody.record"
	topicIntend       = "custody.intend"
	topicEnded        = "custody.ended"
	topicSettle       = "custody.settle"
	topicDecide       = "custody.decide"
	topicClaim        = "custody.claim"
	topicRelinquish   = "custody.hand"
	topicWithdraw     = "custody.drop"
	topicFind         = "custody.find"
	topicIncarnations = "custody.lives"
)

type (
	recordRequest struct {
		Record             Record `cbor:"1,keyasint"`
		Ballot             Ballot `cbor:"2,keyasint"`
		ReplicaIncarnation uint64 `cbor:"3,keyasint"` // of the replica that is meant
	}
	intentRequest struct {
		Key                Key    `cbor:"1,keyasint"`
		Intent             Intent `cbor:"2,keyasint"`
		ReplicaIncarnation uint64 `cbor:"3,keyasint"`
	}
	ownerNotice struct {
		Key     Key    `cbor:"1,keyasint"`
		Ballot  Ballot `cbor:"2,keyasint"`
		Attempt int    `cbor:"3,keyasint"`
	}
	settleRequest struct {
		Key                Key     `cbor:"1,keyasint"`
		Outcome            Outcome `cbor:"2,keyasint"`
		Ballot             Ballot  `cbor:"3,keyasint"`
		ReplicaIncarnation uint64  `cbor:"4,keyasint"`
		Generation         uint32  `cbor:"5,keyasint,omitempty"` // of the record that it is the outcome of
	}
	findRequest struct {
		Key     Key           `cbor:"1,keyasint"`
		Timeout time.Duration `cbor:"2,keyasint"`
	}
	incarnationNotice struct {
		Ago time.Duration `cbor:"1,keyasint"` // since the link to an earlier incarnation of the one who is told ended
	}
	replicaReply struct {
		Verdict Verdict `cbor:"1,keyasint"`
		Entry   *Entry  `cbor:"2,keyasint,omitempty"`
	}
)

const topicRecover = "custody.recall"

type (
	recoverRequest struct {
		Name  string `cbor:"1,keyasint"` // whose votes are asked for
		After Key    `cbor:"2,keyasint"` // of the keys behind this one
	}
	recoverReply struct {
		Entries        []Entry  `cbor:"1,keyasint,omitempty"` // of keys, without what was asked for, and with answers that are decided
		More           bool     `cbor:"2,keyasint,omitempty"`
		RecentGateways []string `cbor:"3,keyasint,omitempty"` // gateways of the group that lived lately, as this one knows
		Recovering     bool     `cbor:"4,keyasint,omitempty"` // this one has forgotten, too
	}
)
