package gossip

import (
	"net/netip"
	"time"

	"damsontrestle/internal/membership"
)

// maxSendRate is the rate of the send budget in bytes a second, and its burst in bytes. A healthy cluster takes a few hundred bytes
// a second for membership.
const maxSendRate = 64 << 10

// failureLogInterval is the least time between two log lines about failures to send.
const failureLogInterval = time.Second

// sendFailures counts datagrams that could not be sent. The protocols treat them as lost.
type sendFailures struct {
	count  int           // since the last log line
	logged time.Duration // clock time of the last log line; 0: there was none
}

// send sends messages of the membership protocol, as far as the send budget allows.
func (t *Transport) send(packets []membership.Packet) {
	for _, p := range packets {
		t.write(membership.Encode(p.Message, t.options.Key), p.To)
	}
}

// write sends a datagram if the send budget allows it, and reports whether it did.
func (t *Transport) write(data []byte, to netip.AddrPort) bool {
	now := t.options.Clock.Now()
	t.sendBudget = min(maxSendRate, t.sendBudget+(now-t.budgetAt).Seconds()*maxSendRate)
	t.budgetAt = now
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

// recordSendFailure counts a datagram that could not be sent, and logs the count at times.
func (t *Transport) recordSendFailure(now time.Duration, to netip.AddrPort, err error) {
	t.failures.count++
	if t.failures.logged != 0 && now-t.failures.logged < failureLogInterval {
		return
	}
	t.options.Log.Warn("datagrams can't be sent", "count", t.failures.count, "last_to", to, "error", err)
	t.failures = sendFailures{logged: now}
}
