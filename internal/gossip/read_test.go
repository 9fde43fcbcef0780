package gossip

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// failingReceiver fails until end, then returns one datagram, and is closed after that.
type failingReceiver struct {
	end       time.Time
	reads     int
	delivered bool
}

func (f *failingReceiver) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	f.reads++
	switch {
	case time.Now().Before(f.end) && f.reads < 1_000_000:
		return 0, netip.AddrPort{}, syscall.ENOBUFS
	case !f.delivered:
		f.delivered = true
		return copy(b, "x"), netip.MustParseAddrPort("127.0.0.1:1"), nil
	}
	return 0, netip.AddrPort{}, net.ErrClosed
}

// Failing reads are retried with pauses, and the datagram that follows is received.
func TestReadResumesAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &Transport{incoming: make(chan datagram, 1)}
		conn := &failingReceiver{end: time.Now().Add(time.Second)}
		transport.read(conn)
		if maxReads := int(time.Second/minReadPause) + 2; conn.reads > maxReads || len(transport.incoming) != 1 {
			t.Errorf("%d reads, want at most %d; %d datagrams, want 1", conn.reads, maxReads, len(transport.incoming))
		}
	})
}
