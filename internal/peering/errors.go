package peering

import "errors"

// Errors of links and of messages.
var (
	ErrQueueFull        = errors.New("peering: send queue is full")
	ErrOverflow         = errors.New("peering: send queue has no room for a reply or heartbeat")
	ErrHeartbeatTimeout = errors.New("peering: no heartbeat reply")
	ErrWriteTimeout     = errors.New("peering: write timed out")
	ErrKeyMismatch      = errors.New("peering: handshake: key mismatch")
	ErrPeerRejected     = errors.New("peering: handshake: peer not accepted")
	ErrMalformedFrame   = errors.New("peering: malformed frame")
	ErrReplaced         = errors.New("peering: link replaced by a newer incarnation of the peer")
	ErrClosed           = errors.New("peering: hub is closed")
)

// endReasons maps the errors with which links end to their names in Stats.Ended.
var endReasons = []struct {
	err  error
	name string
}{
	{ErrHeartbeatTimeout, "silent"},
	{ErrWriteTimeout, "stuck"},
	{ErrOverflow, "overflow"},
	{ErrMalformedFrame, "malformed"},
	{ErrReplaced, "replaced"},
	{ErrClosed, "closed here"},
}

// otherEndReason is the name of all other errors.
const otherEndReason = "broken"

// endReason returns the name of the error with which a link ended.
func endReason(err error) string {
	for _, r := range endReasons {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return otherEndReason
}

// RemoteError is an error of the peer's handler, sent instead of a reply.
type RemoteError struct{ Message string }

// Error returns the text that the peer sent.
func (e *RemoteError) Error() string { return e.Message }
