package gossip

import (
	"net/netip"
	"time"

	"damsontrestle/internal/membership"
)

// maxOutgoing bounds what a node sends, in bytes a second; a burst of as much may go at once. A member's probes, answers and
// words take a few hundred.
const maxOutgoing = 64 << 10

// sendFailures are of datagrams that could not be sent, each of them as good as lost on its way. They are logged together, once a
// while.
type sendFailures struct {
	count  int           // since they were logged last
	logged time.Duration // clock time; 0: never
}

// failureLogInterval is how often failures are logged at most.
const failureLogInterval = time.Second

// send sends what the send budget allows.
func (t *Transport) send(packets []membership.Packet) {
	for _, p := range packets {
		t.write(membership.Encode(p.Message, t.options.Key), p.To)
	}
}

// write sends a datagram if the send budget allows it.
func (t *Transport) write(data []byte, to netip.AddrPort) bool {
	now := t.options.Clock.Now()
	t.sendBudget = min(maxOutgoing, t.sendBudget+(now-t.budgetAt).Seconds()*maxOutgoing)
	t.budgetAt = now
	if t.sendBudget < float64(len(data)) {
		t.counts.Paced++
		return false
	}
	t.sendBudget -= float64(len(data))
	if _, err := t.conn.WriteToUDPAddrPort(data, to); err != nil {
		t.noteFailure(now, to, err)
		return false
	}
	t.counts.Sent++
	t.counts.Bytes += int64(len(data))
	return true
}

// noteFailure notes that a datagram could not be sent.
func (t *Transport) noteFailure(now time.Duration, to netip.AddrPort, err error) {
	t.failures.count++
	if t.failures.logged != 0 && now-t.failures.logged < failureLogInterval {
		return
	}
	t.options.Log.Warn("datagrams can't be sent", "count", t.failures.count, "last_to", to, "error", err)
	t.failures = sendFailures{logged: now}
}
