package discovery

import (
	"context"

	"damsontrestle/internal/clock"
)

// Push watches an agent from the start until ctx ends. The next poll follows each answer at once: a watch is
// lost when it is late.
func (w *Watch) Push(ctx context.Context) {
	defer w.closeIdle()
	for ctx.Err() == nil {
		w.followAgent(ctx, w.agent())
	}
}

// followAgent watches an agent at one place until the watch moves or ctx ends. A poll that has said nothing by the end of
// its hold and grace is doubted: another is made beside it, and whichever answers first counts. The others end with
// it, so that news never comes out of order. After a failure that came at once it waits a little.
func (w *Watch) followAgent(ctx context.Context, p *agent) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	defer context.AfterFunc(p.ctx, end)()
	hold, grace := w.timeouts(agentLongPoll, agentGrace)
	pause, silent := backoffInitial, false
	doubted := func() {
		if !silent {
			silent = true
			w.log.Warn("discovery is silent; polling again")
		}
	}
	for ctx.Err() == nil {
		requests, over := context.WithCancel(ctx)
		r := &pollRound{watch: w, agent: p, longPoll: hold, results: make(chan pollResult, maxPolls)}
		r.startPoll(requests)
		e := r.await(requests, hold+grace, doubted)
		over()
		if ctx.Err() != nil {
			return
		}
		if w.deliver(p, e.list, e.err) {
			pause, silent = backoffInitial, false
			continue
		}
		if pause == backoffInitial {
			w.log.Warn("discovery does not answer; polling again", "error", e.err)
		}
		clock.Sleep(ctx, pause)
		pause = min(2*pause, backoffMax)
	}
}
