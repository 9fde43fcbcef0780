// Package eventqueue implements the event queue of simulations on virtual time. It orders events by time, and events of the
// same time by insertion, so that runs are reproducible. The caller advances the time. A queue is not safe for concurrent
// use.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds pending events. The zero value is empty.
type Queue[T any] struct {
	events       eventHeap[T]
	lastSequence uint64 // sequence number of the last event added
}

type event[T any] struct {
	at       time.Duration
	sequence uint64 // insertion order
	payload  T
}

func (e event[T]) before(other event[T]) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// eventHeap implements heap.Interface.
type eventHeap[T any] []event[T]

// Len returns the number of events.
func (h eventHeap[T]) Len() int { return len(h) }

// Less reports whether event i is due before event j.
func (h eventHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap exchanges two events.
func (h eventHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventHeap[T]) Push(x any) { *h = append(*h, x.(event[T])) }

// Pop removes the last event.
func (h *eventHeap[T]) Pop() any {
	old := *h
	end := len(old) - 1
	last := old[end]
	old[end] = event[T]{} // releases the payload
	*h = old[:end]
	return last
}

// Add adds an event that is due at a time.
func (q *Queue[T]) Add(at time.Duration, payload T) {
	q.lastSequence++
	heap.Push(&q.events, event[T]{at: at, sequence: q.lastSequence, payload: payload})
}

// Next removes and returns the earliest event. ok is false if the queue is empty.
func (q *Queue[T]) Next() (at time.Duration, payload T, ok bool) {
	if len(q.events) == 0 {
		return 0, payload, false
	}
	e := heap.Pop(&q.events).(event[T])
	return e.at, e.payload, true
}
