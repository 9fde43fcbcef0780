package http1

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/upstream"
)

// An unsafe request goes on though the node was short for longer than one attempt waits: nothing of it ran.
func TestUnsafeRequestSurvivesDialShortage(t *testing.T) {
	s, other := testpeer.NewServer(t, testpeer.Echo), testpeer.NewServer(t, testpeer.Echo)
	n := startNode(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"), testpeer.Entry("s2", other.Address(), "in_service"))), func(n *testNode) {
		var dials atomic.Int32
		n.upstream.SetDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials.Add(1) <= upstream.MaxDials+1 {
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ENOMEM)}
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		})
	})
	c := testpeer.Dial(t, n.Addr())
	c.Send("POST", "/note/k", "once", "x", "60")
	c.Want(t, 200, "for once")
	if seen := s.Seen() + other.Seen(); seen != 1 {
		t.Errorf("the servers got %d requests", seen)
	}
}
