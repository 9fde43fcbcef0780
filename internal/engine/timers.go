package engine

import (
	"container/heap"
	"time"

	"damsontrestle/internal/balancer"
)

// timer is a Wake to come.
type timer struct {
	at    time.Duration
	token string
}

type timerHeap []timer

func (a timerHeap) Len() int { return len(a) }

func (a timerHeap) Less(i, j int) bool { return a[i].at < a[j].at }

func (a timerHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *timerHeap) Push(x any) { *a = append(*a, x.(timer)) }

func (a *timerHeap) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// fireTimers handles the alarms that are due.
func (eng *Engine) fireTimers() {
	for len(eng.timers) > 0 {
		now := eng.clock.Now()
		if eng.timers[0].at > now {
			return
		}
		a := heap.Pop(&eng.timers).(timer)
		eng.handle(now, balancer.Timer{Token: a.token})
	}
}
