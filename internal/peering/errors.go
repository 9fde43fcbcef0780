package peering

import "errors"

// Errors of links and of what is sent over them.
var (
	ErrFull     = errors.New("peering: the queue to this gateway is full")
	ErrOverflow = errors.New("peering: no room for an answer or a heartbeat")
	ErrSilent   = errors.New("peering: heartbeats are not answered")
	ErrStuck    = errors.New("peering: bytes could not be written in time")
	ErrKey      = errors.New("peering: the other side has another key")
	ErrStrange  = errors.New("peering: the other side is none of ours")
	ErrFrame    = errors.New("peering: a frame is malformed")
	ErrReplaced = errors.New("peering: a newer link took its place")
	ErrClosed   = errors.New("peering: closed")
)

// RemoteError is what the other side says of a question that it could not answer.
type RemoteError struct{ Words string }

func (e *RemoteError) Error() string { return e.Words }

// endReason is why a link ended, in a word or two.
func endReason(err error) string {
	for _, k := range []struct {
		err  error
		word string
	}{{ErrSilent, "silent"}, {ErrStuck, "stuck"}, {ErrOverflow, "overflow"}, {ErrFrame, "malformed"}, {ErrReplaced, "replaced"}, {ErrClosed, "closed here"}} {
		if errors.Is(err, k.err) {
			return k.word
		}
	}
	return "broken"
}
