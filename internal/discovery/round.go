package discovery

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"
)

// pollResult is how a poll ended.
type pollResult struct {
	poll *openPoll
	list List
	err  error
}

// openPoll is a poll that has not ended.
type openPoll struct {
	cancel     context.CancelFunc
	startedAt  time.Time
	progressAt atomic.Int64 // ns from Watch.epoch until bytes of its answer were read last; 0: none were
}

// pollRound are the polls that are open beside one another, until one of them is answered.
type pollRound struct {
	watch    *Watch
	agent    *agent
	longPoll time.Duration
	results  chan pollResult
	polls    []*openPoll
}

func newPollRound(w *Watch, a *agent, longPoll time.Duration) *pollRound {
	return &pollRound{watch: w, agent: a, longPoll: longPoll, results: make(chan pollResult, maxPolls)}
}

// pollUntilAnswered polls an agent until it answers or fails. A poll that is silent for too long is not given up: that and
// waiting in turn anew would take most of the time after which a change counts as heard. Another is made beside it, and
// whichever answers first counts. The others end with it, so that changes never come out of order. onSilence is called each
// time that a poll has been silent for too long.
func (w *Watch) pollUntilAnswered(ctx context.Context, a *agent, times pollTimes, onSilence func()) pollResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := newPollRound(w, a, times.longPoll)
	r.startPoll(ctx)
	return r.await(ctx, times.patience(), onSilence)
}

// startPoll makes one more poll. Where too many are open already one of them ends.
func (r *pollRound) startPoll(ctx context.Context) {
	if len(r.polls) == maxPolls {
		r.endLeastPromising()
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &openPoll{cancel: cancel, startedAt: time.Now()}
	r.polls = append(r.polls, p)
	go r.run(ctx, p, r.agent.revision)
}

// run makes a poll and reports its result, unless it was cancelled.
func (r *pollRound) run(ctx context.Context, p *openPoll, revision int64) {
	list, err := r.watch.poll(ctx, r.agent, revision, r.longPoll, func() { r.noteProgress(p) })
	if err != nil && ctx.Err() != nil {
		return
	}
	select {
	case r.results <- pollResult{poll: p, list: list, err: err}:
	default: // another one's answer counts
	}
}

// noteProgress notes that bytes of a poll's answer were read.
func (r *pollRound) noteProgress(p *openPoll) {
	elapsed := time.Since(r.watch.epoch)
	p.progressAt.Store(int64(max(1, elapsed)))
}

// endLeastPromising ends the oldest of the polls whose answer has not begun to come, or else the one that was silent for
// longest. A list that comes in pieces may take longer than others are waited for.
func (r *pollRound) endLeastPromising() {
	least := slices.MinFunc(r.polls, func(a, b *openPoll) int {
		return cmp.Or(
			cmp.Compare(a.progressAt.Load(), b.progressAt.Load()),
			a.startedAt.Compare(b.startedAt),
		)
	})
	least.cancel()
	r.remove(least)
}

// remove drops a poll that has ended.
func (r *pollRound) remove(ended *openPoll) {
	r.polls = slices.DeleteFunc(r.polls, func(p *openPoll) bool { return p == ended })
}

// mayStillAnswer says that a poll is open that may be answered where another has failed: a later one, or one whose answer
// is coming.
func (r *pollRound) mayStillAnswer(failed *openPoll) bool {
	return slices.ContainsFunc(r.polls, func(p *openPoll) bool {
		return p != failed && (p.startedAt.After(failed.startedAt) || p.progressAt.Load() > 0)
	})
}

// await returns the first answer, or the failure after which no open poll may still be answered. Each time that there is
// none within patience, onSilence is called and another poll is made.
func (r *pollRound) await(ctx context.Context, patience time.Duration, onSilence func()) pollResult {
	silence := time.NewTicker(patience)
	defer silence.Stop()
	for {
		select {
		case result := <-r.results:
			if result.err == nil || !r.mayStillAnswer(result.poll) {
				return result
			}
			r.remove(result.poll)
		case <-silence.C:
			onSilence()
			r.startPoll(ctx)
		case <-ctx.Done():
			return pollResult{err: ctx.Err()}
		}
	}
}
