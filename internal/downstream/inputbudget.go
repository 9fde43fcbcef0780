package downstream

import (
	"container/list"
	"sync"
)

// InputBudget bounds the bytes that the heads and buffered bodies of requests occupy, of all front ends. When it is used up, input
// that is still being received gives way, the one begun first being the slowest; complete input keeps what it has. Its methods and those
// of its reservations are safe for concurrent use.
type InputBudget struct {
	mu        sync.Mutex
	limit     int64 // bytes; 0: none
	used      int64
	evictions int64
	receiving *list.List // of *InputReservation whose input is incomplete, in the order of their begin
}

func newInputBudget() *InputBudget { return &InputBudget{receiving: list.New()} }

// readAheadDivisor is the part of the budget that bytes read ahead may occupy beside it.
const readAheadDivisor = 4

// InputReservation is the part of an InputBudget that one head or body occupies.
type InputReservation struct {
	budget    *InputBudget
	abort     func() // ends the reception of the input
	bytes     int64
	receiving *list.Element // nil: the input is complete, was evicted or released
	evicted   bool
}

// Begin returns an empty reservation for input that is about to be received. abort is called, once at most, if it must give way to
// others; it must not call the budget. The caller of Grow must hold no lock that an abort takes.
func (b *InputBudget) Begin(abort func()) *InputReservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &InputReservation{budget: b, abort: abort}
	r.receiving = b.receiving.PushBack(r)
	return r
}

// Grow adds bytes to the reservation and reports whether they may be used. To make room it evicts other input that is incomplete.
func (r *InputReservation) Grow(bytes int) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted {
		return false
	}
	excess := b.used + int64(bytes) - b.limit
	if b.limit > 0 && excess > 0 && !b.evict(r, excess) {
		return false
	}
	b.used += int64(bytes)
	r.bytes += int64(bytes)
	return true
}

// spareDivisor is the part of the budget up to which GrowIfSpare adds bytes: the rest stays free for new input.
const spareDivisor = 2

// GrowIfSpare adds bytes to the reservation and reports whether they may be used. It evicts nothing, and adds nothing once half of the
// budget is used.
func (r *InputReservation) GrowIfSpare(bytes int) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted || b.limit > 0 && b.used+int64(bytes) > b.limit/spareDivisor {
		return false
	}
	b.used += int64(bytes)
	r.bytes += int64(bytes)
	return true
}

// evict frees a number of bytes by ending the reception of other input than r's, and reports whether there were enough. Otherwise it
// ends none. The caller holds mu.
func (b *InputBudget) evict(r *InputReservation, bytes int64) bool {
	var victims []*InputReservation
	for e := b.receiving.Front(); e != nil && bytes > 0; e = e.Next() {
		if victim := e.Value.(*InputReservation); victim != r && victim.bytes > 0 {
			victims = append(victims, victim)
			bytes -= victim.bytes
		}
	}
	if bytes > 0 {
		return false
	}
	for _, victim := range victims {
		b.evictions++
		victim.evicted = true
		victim.release()
		victim.abort()
	}
	return true
}

// Complete marks the input as received completely, so that it is not evicted any more. It returns false if it was evicted before.
func (r *InputReservation) Complete() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.endReceiving()
	return !r.evicted
}

// Release gives the bytes back. Further calls have no effect.
func (r *InputReservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.release()
}

// release is Release for a caller that holds mu.
func (r *InputReservation) release() {
	r.endReceiving()
	r.budget.used -= r.bytes
	r.bytes = 0
}

// endReceiving removes the reservation from those that may be evicted. The caller holds mu.
func (r *InputReservation) endReceiving() {
	if r.receiving != nil {
		r.budget.receiving.Remove(r.receiving)
		r.receiving = nil
	}
}

// resize sets the limit.
func (b *InputBudget) resize(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// ReadAheadLimit returns how many bytes may be read ahead behind requests that are being served, for all connections together: an
// upper bound, or a part of the budget if that is less.
func (b *InputBudget) ReadAheadLimit(upper int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit == 0 {
		return upper
	}
	return min(upper, b.limit/readAheadDivisor)
}

// Used returns the bytes that are reserved now, and how much input was evicted so far.
func (b *InputBudget) Used() (bytes, evictions int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.evictions
}
