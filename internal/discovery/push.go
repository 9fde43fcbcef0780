package discovery

import (
	"context"

	"damsontrestle/internal/clock"
)

// Push follows an agent until ctx ends. Each answer is followed by the next poll at once, so that changes arrive without
// delay.
func (w *Watch) Push(ctx context.Context) {
	defer w.closeIdle()
	for ctx.Err() == nil {
		w.followAgent(ctx, w.agent())
	}
}

// followAgent polls an agent at one address until the watch moves to another or ctx ends. It backs off after each failed
// poll.
func (w *Watch) followAgent(ctx context.Context, a *agent) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.ctx, cancel)()
	times := w.pollTimes(agentLongPoll, agentGrace)
	backoff := backoffInitial
	silent := false
	onSilence := func() {
		if !silent {
			silent = true
			w.logSilence()
		}
	}
	for ctx.Err() == nil {
		result := w.pollUntilAnswered(ctx, a, times, onSilence)
		if ctx.Err() != nil {
			return
		}
		if w.deliver(a, result.list, result.err) {
			backoff = backoffInitial
			silent = false
			continue
		}
		if backoff == backoffInitial {
			w.log.Warn("discovery poll failed; polling again", "error", result.err)
		}
		clock.Sleep(ctx, backoff)
		backoff = min(2*backoff, backoffMax)
	}
}

// logSilence logs that a poll was not answered in time.
func (w *Watch) logSilence() { w.log.Warn("discovery poll not answered in time; polling again") }
