package upstream

import (
	"sync/atomic"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/netio"
)

// maxBacklogCheck is the longest interval between two looks at the backlog of an upload, and backlogChecks how many of them the time of
// its client has at least.
const (
	maxBacklogCheck = 100 * time.Millisecond
	backlogChecks   = 8
)

// backlog tells whether an upload can still be answered in time while it is not known when its client has sent the last byte: memory
// for what the client sends is used up, and more is always waiting. If the server takes less in the client's time than is queued
// in front of the last byte, it does not.
type backlog struct {
	clock      clock.Clock
	reception  *engine.Reception
	conn       *conn
	written    *atomic.Int64 // bytes written to conn
	clientTime time.Duration
	since      time.Duration // clock time at which the window began
	takenThen  int64         // bytes that the server had taken then
	queued     int64         // bytes that it had not taken at the last look
}

// interval returns the time between two looks.
func (b *backlog) interval() time.Duration {
	return max(time.Millisecond, min(maxBacklogCheck, b.clientTime/backlogChecks))
}

// isHopeless reports whether the client's last bytes have waited for its time, or whether the client's time has passed since the client may have sent its last byte, and the server would need as
// much again for what is queued.
func (b *backlog) isHopeless() bool {
	now := b.clock.Now()
	since, buffered := b.reception.Backlog(now)
	b.queued = netio.Unacknowledged(b.conn.Conn)
	taken := b.written.Load() - b.queued
	if since > b.since {
		b.since = since
		b.takenThen = taken
	}
	if b.reception.IsOverdue(b.clientTime) {
		return true
	}
	if now < b.since+b.clientTime {
		return false
	}
	if taken-b.takenThen < buffered+b.queued {
		return true
	}
	b.since = now
	b.takenThen = taken
	return false
}
