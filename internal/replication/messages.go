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
	topicHand         = "custody.hand"
	topicDrop         = "custody.drop"
	topicFind         = "custody.find"
	topicIncarnations = "custody.lives"
)

type (
	recordMsg struct {
		Record      Record `cbor:"1,keyasint"`
		By          Ballot `cbor:"2,keyasint"`
		Incarnation uint64 `cbor:"3,keyasint"` // of the replica that is meant
	}
	intendMsg struct {
		Key         Key    `cbor:"1,keyasint"`
		Intent      Intent `cbor:"2,keyasint"`
		Incarnation uint64 `cbor:"3,keyasint"`
	}
	endedMsg struct {
		Key Key    `cbor:"1,keyasint"`
		By  Ballot `cbor:"2,keyasint"`
		N   int    `cbor:"3,keyasint"`
	}
	settleMsg struct {
		Key         Key     `cbor:"1,keyasint"`
		Outcome     Outcome `cbor:"2,keyasint"`
		By          Ballot  `cbor:"3,keyasint"`
		Incarnation uint64  `cbor:"4,keyasint"`
		Gen         uint32  `cbor:"5,keyasint,omitempty"` // of the record that it is the outcome of
	}
	findMsg struct {
		Key  Key           `cbor:"1,keyasint"`
		Wait time.Duration `cbor:"2,keyasint"`
	}
	incarnationsMsg struct {
		Ago time.Duration `cbor:"1,keyasint"` // since the link to an earlier incarnation of the one who is told ended
	}
	replicaReply struct {
		Verdict Verdict `cbor:"1,keyasint"`
		Entry   *Entry  `cbor:"2,keyasint,omitempty"`
	}
)
