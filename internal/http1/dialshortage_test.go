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

// An unsafe request is retried when dials fail for lack of memory for longer than one attempt waits, since no part of it has
// run.
func TestUnsafeRequestSurvivesDialShortage(t *testing.T) {
	server, other := testpeer.NewServer(t, testpeer.Echo), testpeer.NewServer(t, testpeer.Echo)
	node := startNode(t, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"), testpeer.Entry("s2", other.Address(), "in_service"))), func(node *testNode) {
		var dials atomic.Int32
		node.upstream.SetDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials.Add(1) <= upstream.MaxDials+1 {
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ENOMEM)}
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		})
	})
	client := testpeer.Dial(t, node.Addr())
	client.Send("POST", "/note/k", "once", "x", "60")
	client.Want(t, 200, "for once")
	if seen := server.RequestCount() + other.RequestCount(); seen != 1 {
		t.Errorf("the servers received %d requests, want 1", seen)
	}
}
