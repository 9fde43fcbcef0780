package discovery

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"damsontrestle/internal/testpeer"
)

// brokenConn is a connection whose reads fail with errno.
type brokenConn struct {
	net.Conn
	errno syscall.Errno
}

func (c brokenConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.errno)}
}

// After any error of a connect or a read, whether of the node's own resources or of the network, Push polls again at once
// and Poll reports the failure to the Sink.
func TestPollIsRetriedAfterAnyErrno(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EADDRNOTAVAIL,
		syscall.EAGAIN, syscall.EINTR, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ECONNREFUSED, syscall.ECONNRESET,
		syscall.ETIMEDOUT} {
		for _, reads := range []bool{false, true} {
			registry := testpeer.NewAgent(t)
			registry.Tell(false, testpeer.FullSnapshot(testpeer.Entry("s1", "127.0.0.1:1", "in_service")))
			for _, pushed := range []bool{true, false} {
				events := make(sink, 10)
				watch := NewWatch(registry.Address(), -1, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
				var dials atomic.Int32
				watch.SetDialer(func(ctx context.Context, network, addr string) (net.Conn, error) {
					first := dials.Add(1) == 1
					if first && !reads {
						return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
					}
					c, err := new(net.Dialer).DialContext(ctx, network, addr)
					if first && err == nil {
						c = brokenConn{c, errno}
					}
					return c, err
				})
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() {
					defer close(done)
					if pushed {
						watch.Push(ctx)
					} else {
						watch.Poll(ctx)
					}
				}()
				if !pushed {
					watch.Subscribe()
					if e := testpeer.Receive(t, events, "the failure"); !e.failed {
						t.Errorf("%v, reads %v: %+v", errno, reads, e)
					}
					watch.Subscribe()
				}
				if e := testpeer.Receive(t, events, "the list"); len(e.list.Targets) != 1 || dials.Load() < 2 {
					t.Errorf("%v, reads %v, pushed %v: %+v after %d connects", errno, reads, pushed, e, dials.Load())
				}
				cancel()
				testpeer.Receive(t, done, "Push or Poll to return")
			}
		}
	}
}
