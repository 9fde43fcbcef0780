package peering

import "github.com/fxamacker/cbor/v2"

// kinds of frames
const (
	frameBeat    = iota + 1 // of who opened the link, with a pulse
	frameEcho               // what the other answers each with
	frameNotify             // a message that asks nothing
	frameRequest            // answered by reply of its number
	frameReply              //
	frameReject             // in place of a reply
)

type frame struct {
	_      struct{} `cbor:",toarray"`
	Kind   uint8
	Number uint64
	Topic  string
	Body   cbor.RawMessage
}

// pulse is what heartbeats carry. One that goes there and one that comes back prove both directions to both sides: the beat
// brings the other side's own stamp back to it.
type pulse struct {
	_    struct{} `cbor:",toarray"`
	At   int64    // ns of the sender's hub
	Echo int64    // the At that came last from the other side; 0: none has
	RTT  int64    // ns, as the one who opened the link measures it
}
