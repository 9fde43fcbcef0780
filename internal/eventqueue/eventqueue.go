// Package eventqueue keeps what is to happen on virtual time, in the order of its times, and of one instant in that in which it came.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds what is due. The zero value is empty.
type Queue[T any] struct {
	items items[T]
	seq   uint64
}

type item[T any] struct {
	at   time.Duration
	seq  uint64
	what T
}

type items[T any] []item[T]

func (q items[T]) Len() int { return len(q) }
func (q items[T]) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q items[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *items[T]) Push(x any)   { *q = append(*q, x.(item[T])) }
func (q *items[T]) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = item[T]{}
	*q = old[:len(old)-1]
	return last
}

// Add has something happen at a time.
func (q *Queue[T]) Add(at time.Duration, what T) {
	q.seq++
	heap.Push(&q.items, item[T]{at, q.seq, what})
}

// Next takes what is due first; false: nothing is.
func (q *Queue[T]) Next() (at time.Duration, what T, ok bool) {
	if len(q.items) == 0 {
		return 0, what, false
	}
	x := heap.Pop(&q.items).(item[T])
	return x.at, x.what, true
}
