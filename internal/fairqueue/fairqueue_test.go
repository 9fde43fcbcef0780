package fairqueue

import (
	"errors"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// occupy begins so many transfers that those of a queue wait for one another.
func occupy(t *testing.T, q *Queue) {
	for range freeTransfers*runtime.GOMAXPROCS(0) + 1 {
		transfer := q.Begin(0)
		t.Cleanup(transfer.End)
	}
}

// spin uses a processor for a time.
func spin(length time.Duration) {
	for begin := time.Now(); time.Since(begin) < length; {
	}
}

// stepBeside returns the median time that a step of a small request, a byte over a connection, takes beside goroutines that copy parts,
// which prepare begins.
func stepBeside(t *testing.T, copiers int, part time.Duration, prepare func()) time.Duration {
	const steps = 20
	sender, receiver := testpeer.Pair(t)
	var over atomic.Bool
	var all sync.WaitGroup
	for range copiers {
		all.Go(func() {
			for !over.Load() {
				prepare()
				spin(part)
				runtime.Gosched() // as a system call that other goroutines overtake
			}
		})
	}
	times := make([]time.Duration, steps)
	for i := range times {
		arrived := make(chan time.Time)
		go func() {
			receiver.Read(make([]byte, 1))
			arrived <- time.Now()
		}()
		time.Sleep(part)
		begin := time.Now()
		sender.Write([]byte{'x'})
		times[i] = (<-arrived).Sub(begin)
	}
	over.Store(true)
	all.Wait()
	slices.Sort(times)
	return times[steps/2]
}

// Guards against responses that are late because each step of a small request waits for a part of every long body (review/6).
func TestTransfersDelayOthersByFewParts(t *testing.T) {
	const copiers, part, fewParts = 200, 200 * time.Microsecond, 40
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var q Queue
	occupy(t, &q)
	queued := stepBeside(t, copiers, part, func() {
		transfer := q.Begin(0)
		defer transfer.End()
		if err := transfer.Wait(PartSize, nil); err != nil {
			t.Error(err)
		}
	})
	unqueued := stepBeside(t, copiers, part, func() {})
	t.Logf("median step: %v, without a queue %v", queued, unqueued)
	if queued > unqueued/(copiers/fewParts) {
		t.Errorf("a step took %v beside %d transfers, more than %d in %d of the %v without a queue", queued, copiers, fewParts, copiers, unqueued)
	}
}

// order begins transfers, of each of which a number of bytes is copied, and returns the order in which they proceed.
func order(t *testing.T, copied ...int) (result []int) {
	var q Queue
	occupy(t, &q)
	q.releasing = true // by this test
	index := map[*waiter]int{}
	for i, bytes := range copied {
		transfer := q.Begin(0)
		t.Cleanup(transfer.End)
		transfer.copied = int64(bytes)
		index[q.enqueue(transfer)] = i
	}
	for w := q.dequeue(); w != nil; w = q.dequeue() {
		result = append(result, index[w])
	}
	return result
}

// Guards against short bodies that wait for long ones, and against long ones that wait for ever.
func TestShortTransfersGoFirstAndLongOnesKeepAShare(t *testing.T) {
	const short, long = PartSize, 2 * ShortLength
	got := order(t, long, long, short, short, short, short, short)
	if want := []int{2, 3, 4, 0, 5, 6, 1}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// Guards against equal shares that complete none of too many long bodies.
func TestLongTransfersProceedInOrderOfBegin(t *testing.T) {
	var q Queue
	occupy(t, &q)
	q.releasing = true
	first, second := q.Begin(0), q.Begin(0)
	defer first.End()
	defer second.End()
	first.copied, second.copied = 3*ShortLength, 2*ShortLength
	q.enqueue(second)
	wanted := q.enqueue(first)
	if q.dequeue() != wanted {
		t.Error("a later transfer went first")
	}
}

func TestFewTransfersDoNotWait(t *testing.T) {
	var q Queue
	transfer := q.Begin(0)
	defer transfer.End()
	for range 2 {
		if q.enqueue(transfer) != nil {
			t.Error("a transfer waits for none")
		}
	}
}

func TestWaitEndsWithItsLimitOrItsTransfer(t *testing.T) {
	const limit = 10 * time.Millisecond
	over := make(chan struct{})
	close(over)
	for _, c := range []struct {
		limit time.Duration
		over  chan struct{}
		want  error
	}{{limit, nil, ErrBusy}, {0, over, ErrOver}} {
		var q Queue
		occupy(t, &q)
		q.releasing = true // and nothing releases
		transfer := q.Begin(c.limit)
		defer transfer.End()
		if err := transfer.Wait(PartSize, c.over); !errors.Is(err, c.want) {
			t.Errorf("%v, want %v", err, c.want)
		}
		if refused := q.Stats().Refused; (refused == 1) != (c.want == ErrBusy) {
			t.Errorf("%d transfers count as refused after %v", refused, c.want)
		}
	}
}

// Guards against transfers that wait although none proceeds: the queue is empty between them again and again.
func TestEveryTransferProceeds(t *testing.T) {
	const transfers, parts = 100, 50
	var q Queue
	occupy(t, &q)
	var all sync.WaitGroup
	for range transfers {
		all.Go(func() {
			transfer := q.Begin(0)
			defer transfer.End()
			for range parts {
				if err := transfer.Wait(PartSize, nil); err != nil {
					t.Error(err)
				}
			}
		})
	}
	all.Wait()
}
