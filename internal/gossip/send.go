package gossip

import (
	"net/netip"
	"time"

	"damsontrestle/internal/membership"
)

// maxSendRate is the rate of the send budget in bytes per second, and its burst in bytes. A healthy cluster uses a few hundred bytes
// per second for membership.
const maxSendRate = 64 << 10

// failureLogInterval is the minimum time between two log messages about send failures.
const failureLogInterval = time.Second

// sendFailures counts datagrams that could not be sent. The protocols treat them as lost.
type sendFailures struct {
	count    int           // since the last log message
	loggedAt time.Duration // clock time of the last log message; 0: there was none
}

// send sends messages of the membership protocol. It drops those that exceed the send budget.
func (t *Transport) send(packets []membership.Packet) {
	for _, p := range packets {
		t.write(membership.Encode(p.Message, t.options.Key), p.To)
	}
}

// write sends a datagram if the send budget allows it, and reports whether it did.
func (t *Transport) write(data []byte, to netip.AddrPort) bool {
	now := t.options.Clock.Now()
	t.sendBudget = min(maxSendRate, t.sendBudget+(now-t.budgetUpdatedAt).Seconds()*maxSendRate)
	t.budgetUpdatedAt = now
	if t.sendBudget < float64(len(data)) {
		t.counts.RateLimited++
		return false
	}
	t.sendBudget -= float64(len(data))
	if _, err := t.conn.WriteToUDPAddrPort(data, to); err != nil {
		t.recordSendFailure(now, to, err)
		return false
	}
	t.counts.Sent++
	t.counts.Bytes += int64(len(data))
	return true
}

// recordSendFailure counts a datagram that could not be sent, and logs the count at most once per failureLogInterval.
func (t *Transport) recordSendFailure(now time.Duration, to netip.AddrPort, err error) {
	t.failures.count++
	if t.failures.loggedAt != 0 && now-t.failures.loggedAt < failureLogInterval {
		return
	}
	t.options.Log.Warn("datagrams can't be sent", "count", t.failures.count, "last_to", to, "error", err)
	t.failures = sendFailures{loggedAt: now}
}
