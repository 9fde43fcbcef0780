package peering

import "github.com/fxamacker/cbor/v2"

// MaxFrame is how many bytes the body of a frame has at most.
const MaxFrame = 1 << 20

// frameKind is the purpose of a frame. Its value is its code on the wire.
type frameKind uint8

// Kinds of frames.
const (
	frameHeartbeat      frameKind = iota + 1 // a heartbeat of the side that dialed, with a pulse
	frameHeartbeatReply                      // the other side's answer to a heartbeat, with a pulse
	frameNotify                              // a message without a reply
	frameRequest                             // a message with a reply of the same number
	frameReply                               // the reply
	frameReject                              // an error in place of the reply
)

// frame is the body of a frame. Its fields are encoded as an array, in this order.
type frame struct {
	_      struct{} `cbor:",toarray"`
	Kind   frameKind
	Number uint64 // of a request and its reply
	Topic  string // of a notification or request
	Body   cbor.RawMessage
}

// heartbeat is the body of a heartbeat and of its echo. Each returns the last stamp of the other side, so that a heartbeat, its echo
// and the next heartbeat prove to both sides that both directions work.
type heartbeat struct {
	_      struct{} `cbor:",toarray"`
	SentAt int64    // the sender's hub time, in ns
	Echo   int64    // the last At of the other side; 0: none has come
	RTT    int64    // ns, as the side that dialed measures it
}
