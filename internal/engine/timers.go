package engine

import (
	"container/heap"
	"time"

	"damsontrestle/internal/balancer"
)

// timer is a pending balancer.Timer.
type timer struct {
	at    time.Duration // clock time
	token string
}

// timerHeap implements heap.Interface, earliest timer first.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// fireTimers passes the expired timers to the balancer.
func (eng *Engine) fireTimers() {
	for len(eng.timers) > 0 {
		now := eng.clock.Now()
		if eng.timers[0].at > now {
			return
		}
		due := heap.Pop(&eng.timers).(timer)
		eng.handleBalancerEvent(now, balancer.Timer{Token: due.token})
	}
}
