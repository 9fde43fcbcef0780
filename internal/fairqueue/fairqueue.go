// Package fairqueue divides the processors between bulk transfers and everything else. The Go scheduler runs goroutines in turn,
// whatever they do: hundreds that copy parts of long bodies make each step of a small request wait for hundreds of copies. In a Queue
// they wait outside of the scheduler's run queue, and one at a time is made ready, once a round of it.
//
// Among transfers the first ShortLength bytes of each come first, one part of each in turn, so that a body of usual length is done soon.
// What is longer is served in the order of its begin: of more than the node can bear some are completed in time, where equal shares would
// complete none. A part of the rounds is theirs in any case.
package fairqueue

import (
	"errors"
	"runtime"

	"sync"
	"time"
)

// Lengths in bytes.
const (
	PartSize    = 16 << 10 // copied by a transfer between two calls of Wait
	ShortLength = 1 << 20  // of a transfer that goes before longer ones
)

// freeTransfers is how many transfers a processor proceed without waiting: so few delay others by as many parts at most.
const freeTransfers = 4

// longShare is the part of the rounds that long transfers have if short ones wait as well: one in so many.
const longShare = 4

// Results of Transfer.Wait.
var (
	ErrBusy = errors.New("fair queue: the transfer has waited too long for others") // more than its limit in all
	ErrOver = errors.New("fair queue: the transfer is not needed any more")
)

// Process is the queue of all transfers of this process, which share its processors.
var Process Queue

// Queue orders the parts of transfers. Its zero value is ready to use, and its methods are safe for concurrent use.
type Queue struct {
	mu        sync.Mutex
	begun     int64 // transfers
	active    int   // of these not ended
	short     []*waiter
	long      waiterHeap
	rounds    int
	releasing bool // release is running
	stats     Stats
}

// Stats tells how transfers have waited since the start of the process, and how many there are now.
type Stats struct {
	Active  int           `json:"active"`     // transfers that have begun and not ended
	Parts   int64         `json:"parts"`      // that had to wait
	Refused int64         `json:"refused"`    // transfers that have waited for longer than their limit
	Longest time.Duration `json:"longest_ns"` // wait for one part
}

// Transfer is a body on its way. It is used by one goroutine at a time.
type Transfer struct {
	queue  *Queue
	number int64 // in the order of the begin
	copied int64 // bytes
	limit  time.Duration
	waited time.Duration
}

// Begin returns a transfer that may wait for others for a time in all; 0: for any time. End must follow.
func (q *Queue) Begin(limit time.Duration) *Transfer {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.begun++
	q.active++
	return &Transfer{queue: q, number: q.begun, limit: limit}
}

// End ends a transfer, once.
func (t *Transfer) End() {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.queue.active--
}

// Wait returns when the next part may be copied, of a number of bytes, or ErrBusy, or ErrOver once over is closed. It waits for no peer,
// only for other transfers.
func (t *Transfer) Wait(bytes int, over <-chan struct{}) error {
	t.copied += int64(bytes)
	w := t.queue.enqueue(t)
	if w == nil {
		return nil
	}
	begin := time.Now()
	err := t.await(w, over)
	waited := time.Since(begin)
	t.waited += waited
	t.queue.recordWait(waited, err)
	return err
}

// await waits until a waiter is released.
func (t *Transfer) await(w *waiter, over <-chan struct{}) error {
	var busy <-chan time.Time
	if t.limit > 0 {
		timer := time.NewTimer(t.limit - t.waited)
		defer timer.Stop()
		busy = timer.C
	}
	select {
	case <-w.ready:
		return nil
	case <-busy:
		return ErrBusy
	case <-over:
		return ErrOver
	}
}

// Stats returns how transfers have waited.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	stats := q.stats
	stats.Active = q.active
	return stats
}

// recordWait counts a wait and its result.
func (q *Queue) recordWait(waited time.Duration, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stats.Parts++
	q.stats.Longest = max(q.stats.Longest, waited)
	if err == ErrBusy {
		q.stats.Refused++
	}
}

// enqueue returns a waiter for the next part of a transfer, or nil if none is needed.
func (q *Queue) enqueue(t *Transfer) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.active <= freeTransfers*runtime.GOMAXPROCS(0) {
		return nil
	}
	if !q.releasing {
		q.releasing = true
		go q.release()
		return nil
	}
	w := &waiter{number: t.number, ready: make(chan struct{})}
	if t.copied <= ShortLength {
		q.short = append(q.short, w)
	} else {
		q.long.push(w)
	}
	return w
}

// release makes the waiters ready, each after a round of the run queue, until none is left.
func (q *Queue) release() {
	for {
		networkPoller().round()
		w := q.dequeue()
		if w == nil {
			return
		}
		close(w.ready)
	}
}

// dequeue returns the waiter that is next, or nil if there is none: release ends then.
func (q *Queue) dequeue() *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rounds++
	switch {
	case len(q.short) == 0 && len(q.long) == 0:
		q.short = nil
		q.long = nil
		q.releasing = false
		return nil
	case len(q.short) == 0 || len(q.long) > 0 && q.rounds%longShare == 0:
		return q.long.pop()
	}
	w := q.short[0]
	q.short[0] = nil
	q.short = q.short[1:]
	return w
}
