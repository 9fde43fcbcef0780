package gossip

import (
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"damsontrestle/internal/testpeer"
)

// faultySocket fails with each of errnos in turn while failReads or failWrites is set.
type faultySocket struct {
	packetConn
	failReads, failWrites atomic.Bool  // whether they fail
	readCalls, writeCalls atomic.Int64 // numbers of calls
}

var errnos = []syscall.Errno{syscall.ENOBUFS, syscall.EPERM, syscall.ENETUNREACH, syscall.ECONNREFUSED, syscall.ENOMEM, syscall.EHOSTUNREACH,
	syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR, syscall.EINVAL}

func socketError(op string, n int64) error {
	return &net.OpError{Op: op, Net: "udp", Err: os.NewSyscallError(op, errnos[n%int64(len(errnos))])}
}

func (f *faultySocket) ReadFromUDPAddrPort(p []byte) (int, netip.AddrPort, error) {
	if n := f.readCalls.Add(1); f.failReads.Load() {
		return 0, netip.AddrPort{}, socketError("recvfrom", n)
	}
	return f.packetConn.ReadFromUDPAddrPort(p)
}

func (f *faultySocket) WriteToUDPAddrPort(p []byte, to netip.AddrPort) (int, error) {
	if n := f.writeCalls.Add(1); f.failWrites.Load() {
		return 0, socketError("sendto", n)
	}
	return f.packetConn.WriteToUDPAddrPort(p, to)
}

// A datagram that can't be sent counts as lost. The transport continues, logs one message per second, and its node is alive for the
// others once sends succeed.
func TestSendFailuresCountAsLoss(t *testing.T) {
	const key = "a key of sixteen bytes or more"
	a := open(t, "a", key)
	b := open(t, "b", key, a.Addr())
	text := &testpeer.LogBuffer{}
	b.options.Log = slog.New(slog.NewTextHandler(text, nil))
	socket := &faultySocket{packetConn: b.conn}
	socket.failWrites.Store(true)
	b.conn = socket
	run(t, a)
	run(t, b)
	begin := b.options.Clock.Now()
	testpeer.Until(t, "a send with each error", func() bool { return socket.writeCalls.Load() > int64(2*len(errnos)) })
	lines := text.Count("can't be sent")
	maxLines := 1 + int((b.options.Clock.Now()-begin)/failureLogInterval)
	if lines < 1 || lines > maxLines || b.Status().Counts.Sent != 0 {
		t.Errorf("%d log messages in %v, want 1 to %d; counts %+v, want none sent", lines, b.options.Clock.Now()-begin, maxLines, b.Status().Counts)
	}
	socket.failWrites.Store(false)
	testpeer.Until(t, "each to know the other", func() bool { return memberStatus(a, "b") == "alive" && memberStatus(b, "a") == "alive" })
}

// Consecutive failed reads back off, and the first successful one resets the backoff.
func TestReadFailuresBackOff(t *testing.T) {
	const key = "a key of sixteen bytes or more"
	a := open(t, "a", key)
	b := open(t, "b", key, a.Addr())
	socket := &faultySocket{packetConn: b.conn}
	socket.failReads.Store(true)
	b.conn = socket
	run(t, a)
	stop := run(t, b)
	begin := b.options.Clock.Now()
	testpeer.Until(t, "failing reads", func() bool { return b.options.Clock.Now()-begin > 4*maxReadPause })
	// 1, 2, 4 ... 64 ms and then 100 ms each: seven within the first 127 ms, and no more than one each 100 ms from then on.
	if maxReads := 8 + int64((b.options.Clock.Now()-begin)/maxReadPause); socket.readCalls.Load() > maxReads {
		t.Errorf("%d reads in %v, want at most %d", socket.readCalls.Load(), b.options.Clock.Now()-begin, maxReads)
	}
	socket.failReads.Store(false)
	testpeer.Until(t, "each to know the other", func() bool { return memberStatus(a, "b") == "alive" && memberStatus(b, "a") == "alive" })
	socket.failReads.Store(true)
	stop()
}
