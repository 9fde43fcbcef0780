package peering

import "github.com/fxamacker/cbor/v2"

// MaxFrame is the maximum size of a frame's body, in bytes.
const MaxFrame = 1 << 20

// frameKind is the kind of a frame, as encoded on the wire.
type frameKind uint8

// Kinds of frames.
const (
	frameHeartbeat      frameKind = iota + 1 // heartbeat from the dialing side; the body is a heartbeat
	frameHeartbeatReply                      // reply to a heartbeat; the body is a heartbeat
	frameNotify                              // message without a reply
	frameRequest                             // message with a reply of the same number
	frameReply                               // reply to a request
	frameReject                              // error instead of a reply
)

// frame is the body of a frame. Its fields are encoded as an array, in this order.
type frame struct {
	_      struct{} `cbor:",toarray"`
	Kind   frameKind
	Number uint64 // of a request and its reply
	Topic  string // of a notification or request
	Body   cbor.RawMessage
}

// heartbeat is the body of a heartbeat and of its reply. Each echoes the last timestamp of the peer, so that a heartbeat, its reply
// and the next heartbeat prove to both sides that both directions work.
type heartbeat struct {
	_      struct{} `cbor:",toarray"`
	SentAt int64    // the sender's hub time, in ns
	Echo   int64    // last SentAt of the peer; 0: none was received
	RTT    int64    // ns, as measured by the dialing side
}
