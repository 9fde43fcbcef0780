package upstream

import (
	"io"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/engine"
)

// progress is how far the exchange on a connection has come. It is guarded by Pool.mu.
type progress struct {
	at       time.Duration // clock time at which the server last took or sent something
	headAt   time.Duration // clock time at which the head of a reply of 200 was read; 0: not yet
	received int64         // bytes of the reply's body
}

// progressReader reads the body of a reply that is passed on, and records its progress.
type progressReader struct {
	pool *Pool
	conn *conn
	body io.Reader
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.recordProgress(r.conn, n)
	return n, err
}

// recordProgress records that n bytes of a reply's body were received. The caller holds mu.
func (p *Pool) recordProgress(c *conn, n int) {
	if n > 0 {
		c.progress.at = p.clock.Now()
		c.progress.received += int64(n)
	}
}

// endReasons are the reasons of results that have only one.
var endReasons = map[balancer.Result]engine.EndReason{
	balancer.Failure:        engine.EndServerFailed,
	balancer.Overloaded:     engine.EndServerRejected,
	balancer.Unreachable:    engine.EndUnreachable,
	balancer.ConnectionLost: engine.EndConnectionLost,
	balancer.Cancelled:      engine.EndClientGone,
	balancer.NotStarted:     engine.EndNotStarted,
}

// endingBeforeStart describes the end of an attempt of whose request no byte was written.
func endingBeforeStart(result balancer.Result) engine.EndState {
	return engine.EndState{Reason: endReasons[result], Stage: engine.StageConnect}
}

// ending describes the end of the current exchange on a connection.
func (p *Pool) ending(c *conn, result balancer.Result) engine.EndState {
	switch result {
	case balancer.Success:
		return engine.EndState{}
	case balancer.Failure, balancer.Overloaded: // the connection may serve another request by now
		return engine.EndState{Reason: endReasons[result], Stage: engine.StageReplyHead}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	ending := engine.EndState{
		Reason:        endReasons[result],
		Stage:         c.exchangeStage(),
		Received:      c.progress.received,
		SinceProgress: now - max(c.progress.at, c.startedAt, c.writtenAt),
	}
	if result == balancer.TimedOut {
		ending.Reason = engine.EndAttemptTime
		if now >= c.clientDeadline {
			ending.Reason = engine.EndClientTime
		}
	}
	return ending
}

// exchangeStage returns how far the current exchange has come. The caller holds Pool.mu.
func (c *conn) exchangeStage() engine.Stage {
	switch {
	case c.progress.headAt > 0:
		return engine.StageReplyBody
	case c.stage == stageWritten:
		return engine.StageReplyHead
	}
	return engine.StageRequest
}
