package discovery

import (
	"context"
)

// Poll serves Subscribes until ctx ends: a watch that goes on until it fails, which is reported once.
func (w *Watch) Poll(ctx context.Context) {
	defer w.closeIdle()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.subscriptions:
		}
		for ctx.Err() == nil {
			p := w.agent()
			if err := w.watchOnce(ctx, p); err != nil && p.ctx.Err() == nil {
				if ctx.Err() == nil {
					w.log.Warn("the subscription failed", "error", err)
					w.lastPollFailed = true
					w.sink.ListFailed()
				}
				break
			}
		}
	}
}

// watchOnce asks a service once, and passes on what it tells. Where it stays silent it is asked again beside the open poll:
// to give that up and wait in turn anew would take most of the time after which a change counts as told. After a failure
// an answer is told also where it is no news: whoever waits longer after each failure is to know that this is over.
func (w *Watch) watchOnce(ctx context.Context, p *agent) error {
	hold, grace := w.timeouts(serviceLongPoll, serviceGrace)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	r := &pollRound{watch: w, agent: p, longPoll: hold, results: make(chan pollResult, maxPolls)}
	r.startPoll(ctx)
	e := r.await(ctx, hold+grace, func() { w.log.Warn("discovery is silent; polling again") })
	if w.deliver(p, e.list, e.err) && w.lastPollFailed {
		w.lastPollFailed = false
		if !hasChanges(e.list) {
			w.sink.UpdateList(e.list)
		}
	}
	return e.err
}

// hasChanges says that a list is news, and not the end of a hold without any.
func hasChanges(l List) bool { return l.Full || len(l.Targets) > 0 }
