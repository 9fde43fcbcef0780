package discovery

import "context"

// Subscribe starts a watch where discovery is polled (Poll). It never blocks.
func (w *Watch) Subscribe() {
	select {
	case w.subscriptions <- struct{}{}:
	default:
	}
}

// Poll serves subscriptions until ctx ends. Each is a watch that goes on until it fails, which is reported to the Sink once.
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

// serveSubscription watches a service until that fails or ctx ends. A poll that ends because the watch has moved is no
// failure: the watch goes on at the new address.
func (w *Watch) serveSubscription(ctx context.Context) {
	for ctx.Err() == nil {
		a := w.agent()
		err := w.watchOnce(ctx, a)
		if err == nil || a.ctx.Err() != nil {
			continue
		}
		if ctx.Err() == nil {
			w.log.Warn("the subscription failed", "error", err)
			w.lastPollFailed = true
			w.sink.ListFailed()
		}
		return
	}
}

// watchOnce waits for one answer of a service and passes it on. After a failure an answer is passed on also where it has no
// changes: the balancer waits longer after each failure and has to know that they are over.
func (w *Watch) watchOnce(ctx context.Context, a *agent) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.ctx, cancel)()
	result := w.pollUntilAnswered(ctx, a, w.times(serviceLongPoll, serviceGrace), w.logSilence)
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
