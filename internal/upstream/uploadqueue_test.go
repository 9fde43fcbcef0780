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

// startReadingServer starts a server that reads all that it gets and never replies.
func startReadingServer(t *testing.T) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		if c, err := ln.Accept(); err == nil {
			io.Copy(io.Discard, c)
			c.Close()
		}
	}()
	return ln.Addr().String()
}

// newStoppedUpload returns an attempt to upload a body of which nothing comes from the node's front end, at a server that reads all. The
// last input of its client has waited for a time.
func newStoppedUpload(t *testing.T, pool *Pool, clientTime, waited time.Duration) *engine.Attempt {
	attempt := newTestAttempt(pool, startReadingServer(t))
	rest, unblock := io.Pipe()
	t.Cleanup(func() { unblock.Close() })
	message := &attempt.Request.Message
	message.Rest = rest
	message.Length = 1 << 20
	message.Received = engine.NewReception(pool.clock.Now(), func() time.Duration { return waited })
	attempt.Request.Deadline = attempt.Request.At + clientTime
	return attempt
}

// Guards against a late answer to an upload that goes on, since its server takes what it gets, though the client's last bytes have waited in
// the system's buffer for as long as the client does.
func TestUploadEndsWhenItsInputIsOverdue(t *testing.T) {
	const clientTime = 4 * time.Second
	pool := newTestPool(10)
	attempt := newStoppedUpload(t, pool, clientTime, clientTime)
	begin := time.Now()
	r := runAttempt(t, pool, attempt)
	if took := time.Since(begin); r.Result != balancer.NotStarted || r.EndState.Reason != engine.EndClientTime || took > clientTime/2 {
		t.Errorf("%+v after %v; want NotStarted because of the client's time, at once", r, took)
	}
}

// Guards against a server that is taken for unreachable because the node itself did not pass on an upload: the server has taken all that
// it got.
func TestUploadDelayedByNodeIsNotBlamedOnServer(t *testing.T) {
	const clientTime = 200 * time.Millisecond
	pool := newTestPool(10)
	attempt := newStoppedUpload(t, pool, clientTime, 0)
	attempt.Request.Message.Received.SetBuffered(1 << 10)
	r := runAttempt(t, pool, attempt)
	if r.Result != balancer.NotStarted || !r.NotReplayable || r.EndState.Reason != engine.EndClientTime {
		t.Errorf("%+v; want NotStarted because of the client's time, not replayable", r)
	}
	testpeer.Until(t, "the connection to be closed", func() bool { return pool.Connections() == 0 })
}
