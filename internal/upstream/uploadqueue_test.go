package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/testpeer"
)

// Guards against a server that is taken for unreachable because the node itself did not pass on an upload: the server has taken all that
// it got.
func TestUploadDelayedByNodeIsNotBlamedOnServer(t *testing.T) {
	const clientTime = 200 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		if c, err := ln.Accept(); err == nil {
			io.Copy(io.Discard, c)
			c.Close()
		}
	}()
	pool := newTestPool(10)
	attempt := newTestAttempt(pool, ln.Addr().String())
	rest, unblock := io.Pipe() // from which nothing comes
	defer unblock.Close()
	message := &attempt.Request.Message
	message.Rest = rest
	message.Length = 1 << 20
	message.Received = engine.NewReception(pool.clock.Now())
	message.Received.SetBuffered(1 << 10)
	attempt.Request.Deadline = attempt.Request.At + clientTime
	r := runAttempt(t, pool, attempt)
	if r.Result != balancer.NotStarted || !r.NotReplayable || r.EndState.Reason != engine.EndClientTime {
		t.Errorf("%+v; want NotStarted because of the client's time, not replayable", r)
	}
	testpeer.Until(t, "the connection to be closed", func() bool { return pool.Connections() == 0 })
}
