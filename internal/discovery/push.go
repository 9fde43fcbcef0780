package discovery

import (
	"context"

	"damsontrestle/internal/clock"
)

// Push watches an agent from the start until ctx ends. The next poll follows each answer at once: a change that is heard
// late is lost time.
func (w *Watch) Push(ctx context.Context) {
	defer w.closeIdle()
	for ctx.Err() == nil {
		w.followAgent(ctx, w.agent())
	}
}

// followAgent watches an agent at one address until the watch moves or ctx ends. After a failure that came at once it backs
// off.
func (w *Watch) followAgent(ctx context.Context, a *agent) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.ctx, cancel)()
	times := w.times(agentLongPoll, agentGrace)
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
			w.log.Warn("discovery does not answer; polling again", "error", result.err)
		}
		clock.Sleep(ctx, backoff)
		backoff = min(2*backoff, backoffMax)
	}
}

// logSilence logs that a poll had no answer in time.
func (w *Watch) logSilence() { w.log.Warn("discovery is silent; polling again") }
