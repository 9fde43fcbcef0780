package replication

import "time"

// Topics of messages between replicas. They keep the words of the wire.
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

// recordRequest asks a replica to accept a record by its owner's ballot (topicRecord), or to promise a successor's ballot
// (topicClaim). Like all that count as votes it names the incarnation of the replica that the record knows: a later one has forgotten
// what that had accepted, and rejects it.
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

// settleRequest asks a replica to accept an outcome (topicSettle), or notifies it that a majority has (topicDecide; without an
// incarnation, for it is no vote).
type settleRequest struct {
	Key                Key     `cbor:"1,keyasint"`
	Outcome            Outcome `cbor:"2,keyasint"`
	Ballot             Ballot  `cbor:"3,keyasint"`
	ReplicaIncarnation uint64  `cbor:"4,keyasint"`
	Generation         uint32  `cbor:"5,keyasint,omitempty"` // of the record that it is the outcome of
}

// replicaReply is a replica's reply to these, and to a findRequest. Entry is what stands against the request, or was found.
type replicaReply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Entry   *Entry  `cbor:"2,keyasint,omitempty"`
}

// ownerNotice notifies a replica that an attempt has not run (topicEnded), or that the owner gives the request up
// (topicRelinquish) or withdraws it (topicWithdraw).
type ownerNotice struct {
	Key     Key    `cbor:"1,keyasint"`
	Ballot  Ballot `cbor:"2,keyasint"`
	Attempt int    `cbor:"3,keyasint"` // of topicEnded
}

// findRequest asks any gateway for the entry of a key (topicFind).
type findRequest struct {
	Key     Key           `cbor:"1,keyasint"`
	Timeout time.Duration `cbor:"2,keyasint"` // that the reply may wait for a decision
}

// incarnationNotice notifies a gateway that an earlier incarnation of it was known (topicIncarnations).
type incarnationNotice struct {
	Ago time.Duration `cbor:"1,keyasint"` // since the last link to that incarnation ended
}

// recoverRequest asks for a page of the entries on whose keys a gateway may have voted (topicRecover).
type recoverRequest struct {
	Name  string `cbor:"1,keyasint"`
	After Key    `cbor:"2,keyasint"` // the last key of the page before
}

// recoverReply is a page of such entries, without bodies and intents, and with outcomes that are decided.
type recoverReply struct {
	Entries        []Entry  `cbor:"1,keyasint,omitempty"`
	More           bool     `cbor:"2,keyasint,omitempty"`
	RecentGateways []string `cbor:"3,keyasint,omitempty"` // of the group, that were alive within the recovery window
	Recovering     bool     `cbor:"4,keyasint,omitempty"` // the gateway that replies has forgotten votes itself
}
