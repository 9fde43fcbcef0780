package peering

import "errors"

// Errors of links and of messages.
var (
	ErrQueueFull        = errors.New("peering: the queue to this gateway is full")
	ErrOverflow         = errors.New("peering: no room for an answer or a heartbeat")
	ErrHeartbeatTimeout = errors.New("peering: heartbeats are not answered")
	ErrWriteTimeout     = errors.New("peering: bytes could not be written in time")
	ErrKeyMismatch      = errors.New("peering: the other side has another key")
	ErrPeerRejected     = errors.New("peering: the other side is none of ours")
	ErrMalformedFrame   = errors.New("peering: a frame is malformed")
	ErrReplaced         = errors.New("peering: a newer link took its place")
	ErrClosed           = errors.New("peering: closed")
)

// endReasons are the names in Stats.Ended of the errors with which links end.
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

// otherEndReason stands for all other errors.
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

// RemoteError is an error of the other side's handler, sent in place of a reply.
type RemoteError struct{ Message string }

// Error returns the text as the other side sent it.
func (e *RemoteError) Error() string { return e.Message }
