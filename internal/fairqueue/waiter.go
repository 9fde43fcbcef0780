package fairqueue

import "container/heap"

// waiter is a transfer that waits for its next part.
type waiter struct {
	number int64         // of its transfer
	ready  chan struct{} // closed when the part may be copied
}

// waiterHeap is a heap of waiters by the begin of their transfers, the earliest first. Its zero value is empty.
type waiterHeap []*waiter

func (h *waiterHeap) push(w *waiter) { heap.Push((*byNumber)(h), w) }

func (h *waiterHeap) pop() *waiter { return heap.Pop((*byNumber)(h)).(*waiter) }

// byNumber implements heap.Interface.
type byNumber []*waiter

func (h byNumber) Len() int           { return len(h) }
func (h byNumber) Less(i, j int) bool { return h[i].number < h[j].number }
func (h byNumber) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *byNumber) Push(x any)        { *h = append(*h, x.(*waiter)) }

func (h *byNumber) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}
