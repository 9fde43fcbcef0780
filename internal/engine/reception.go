package engine

import (
	"sync"
	"time"
)

// Reception tells what is known of when a request's Rest was received from its client: the client's time begins with its last byte,
// whether or not a server has the request yet. Its methods are safe for concurrent use.
type Reception struct {
	done       chan struct{}
	sinceInput func() time.Duration // how long ago the last of the client's bytes came that wait to be received; 0: none wait, or not known

	mu        sync.Mutex
	at        time.Duration // clock time at which the last byte was received
	awaiting  time.Duration // clock time since which nothing that the client has sent waits to be received; 0: something does
	awaitedAt time.Duration // clock time until which the client was waited for last
	buffered  int64         // bytes received that no server has read
}

// NewReception returns a Reception that begins at a clock time. sinceInput returns how long ago the last bytes came that wait to be
// received from the client; 0: none wait, or it is not known.
func NewReception(at time.Duration, sinceInput func() time.Duration) *Reception {
	return &Reception{done: make(chan struct{}), awaitedAt: at, sinceInput: sinceInput}
}

// IsOverdue reports whether bytes wait to be received of which the last came longer ago than the time for which the client waits: it may
// have sent all of its request by then.
func (r *Reception) IsOverdue(clientTime time.Duration) bool {
	return r != nil && r.sinceInput() >= clientTime
}

// Complete records the clock time at which the last byte was received. It must be called once at most.
func (r *Reception) Complete(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at = at
	close(r.done)
}

// minAwait is how long nothing comes from a client before it counts as still sending: bytes that wait at the client, because the node did
// not receive for a while, take a round trip.
const minAwait = 100 * time.Millisecond

// BeginAwait records at a clock time that all that has come from the client is received, and the next bytes are waited for.
func (r *Reception) BeginAwait(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaiting = at
}

// EndAwait records at a clock time that bytes have come.
func (r *Reception) EndAwait(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.awaiting > 0 && at-r.awaiting >= minAwait {
		r.awaitedAt = at
	}
	r.awaiting = 0
}

// SetBuffered records how many bytes are received and not read yet.
func (r *Reception) SetBuffered(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buffered = bytes
}

// Done is closed once the last byte was received. It is nil for a nil Reception.
func (r *Reception) Done() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.done
}

// At returns the clock time at which the last byte was received, or now if it was not, or if that is not known.
func (r *Reception) At(now time.Duration) time.Duration {
	select {
	case <-r.Done():
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.at
	default:
		return now
	}
}

// Backlog returns the clock time since which the client has always had bytes waiting to be received, so that it may have sent its last
// one at any time since, and the bytes that are received and not read yet.
func (r *Reception) Backlog(now time.Duration) (since time.Duration, buffered int64) {
	if r == nil {
		return now, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.awaiting > 0 && now-r.awaiting >= minAwait {
		return now, r.buffered
	}
	return r.awaitedAt, r.buffered
}
