package discovery

import "context"

// Subscribe starts a subscription, which Poll serves. It never blocks.
func (w *Watch) Subscribe() {
	select {
	case w.subscriptions <- struct{}{}:
	default:
	}
}

// Poll serves subscriptions until ctx ends. Each one polls the service until a poll fails, which is reported to the Sink
// once.
func (w *Watch) Poll(ctx context.Context) {
	defer w.closeIdle()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.subscriptions:
			w.serveSubscription(ctx)
		}
	}
}

// serveSubscription polls a service until a poll fails or ctx ends. A poll that was cancelled by a change of address is not
// a failure: polling continues at the new address.
func (w *Watch) serveSubscription(ctx context.Context) {
	for ctx.Err() == nil {
		a := w.agent()
		err := w.pollOnce(ctx, a)
		if err == nil || a.ctx.Err() != nil {
			continue
		}
		if ctx.Err() == nil {
			w.log.Warn("discovery subscription failed", "error", err)
			w.lastPollFailed = true
			w.sink.ListFailed()
		}
		return
	}
}

// pollOnce waits for one answer of a service and passes it to the Sink. The first answer after a failure is passed on even
// if it has no changes: the balancer backs off further after each failure and needs to know that polls succeed again.
func (w *Watch) pollOnce(ctx context.Context, a *agent) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.ctx, cancel)()
	result := w.pollUntilAnswered(ctx, a, w.pollTimes(serviceLongPoll, serviceGrace), w.logSilence)
	if !w.deliver(a, result.list, result.err) {
		return result.err
	}
	if w.lastPollFailed {
		w.lastPollFailed = false
		if !result.list.hasChanges() {
			w.sink.UpdateList(result.list)
		}
	}
	return nil
}
