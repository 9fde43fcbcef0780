package replication

import "time"

// Topics of the messages between gateways. Their values are part of the wire protocol.
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
	topicRecover      = "custody.recall"
)

// recordRequest asks a replica to accept a record with its owner's ballot (topicRecord), or to promise a successor's ballot
// (topicClaim). Like every message whose reply counts as a vote it names the incarnation of the replica according to the record:
// a later incarnation has forgotten what the earlier one accepted, and rejects the message.
type recordRequest struct {
	Record             Record `cbor:"1,keyasint"`
	Ballot             Ballot `cbor:"2,keyasint"`
	ReplicaIncarnation uint64 `cbor:"3,keyasint"`
}

// intentRequest asks a replica to accept an attempt's intent (topicIntend).
type intentRequest struct {
	Key                Key    `cbor:"1,keyasint"`
	Intent             Intent `cbor:"2,keyasint"`
	ReplicaIncarnation uint64 `cbor:"3,keyasint"`
}

// settleRequest asks a replica to accept an outcome (topicSettle), or notifies it that a majority has accepted one (topicDecide;
// without an incarnation, because it is not a vote).
type settleRequest struct {
	Key                Key     `cbor:"1,keyasint"`
	Outcome            Outcome `cbor:"2,keyasint"`
	Ballot             Ballot  `cbor:"3,keyasint"`
	ReplicaIncarnation uint64  `cbor:"4,keyasint"`
	Generation         uint32  `cbor:"5,keyasint,omitempty"` // of the record that the outcome belongs to
}

// replicaReply is the reply of a replica to these requests and to a findRequest. Entry is the entry that caused the rejection, or
// that was promised or found.
type replicaReply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Entry   *Entry  `cbor:"2,keyasint,omitempty"`
}

// ownerNotice notifies a replica that an attempt has not run (topicEnded), or that the owner relinquishes (topicRelinquish) or
// withdraws (topicWithdraw) the request.
type ownerNotice struct {
	Key     Key    `cbor:"1,keyasint"`
	Ballot  Ballot `cbor:"2,keyasint"`
	Attempt int    `cbor:"3,keyasint"` // only for topicEnded
}

// findRequest queries any gateway for the entry of a key (topicFind).
type findRequest struct {
	Key     Key           `cbor:"1,keyasint"`
	Timeout time.Duration `cbor:"2,keyasint"` // how long the reply may wait for a decision
}

// incarnationNotice notifies a gateway that the sender had a link to an earlier incarnation of it (topicIncarnations).
type incarnationNotice struct {
	Ago time.Duration `cbor:"1,keyasint"` // time since the last link to that incarnation ended
}

// recoverRequest requests a page of the entries for whose keys a gateway may have voted (topicRecover).
type recoverRequest struct {
	Name  string `cbor:"1,keyasint"`
	After Key    `cbor:"2,keyasint"` // the last key of the previous page
}

// recoverReply is a page of such entries, without bodies and intents; only decided entries have an outcome.
type recoverReply struct {
	Entries        []Entry  `cbor:"1,keyasint,omitempty"`
	More           bool     `cbor:"2,keyasint,omitempty"`
	RecentGateways []string `cbor:"3,keyasint,omitempty"` // gateways of the group that were alive within the recovery window
	Recovering     bool     `cbor:"4,keyasint,omitempty"` // the replying gateway has itself forgotten votes
}
