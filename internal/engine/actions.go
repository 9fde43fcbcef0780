package engine

import (
	"container/heap"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// handle feeds the module and carries out what it decides.
func (eng *Engine) handle(at time.Duration, e balancer.Event) {
	eng.now = max(eng.now, at)
	for _, a := range eng.balancer.Handle(eng.now, e) {
		switch a := a.(type) {
		case balancer.Send:
			eng.send(a)
		case balancer.Poll:
			for _, s := range a.Servers {
				eng.poll(a.ID, eng.listed[s].Host(), a.Timeout)
			}
		case balancer.Cancel:
			if p := eng.pending[a.ID]; p != nil && a.Attempt < len(p.attempts) && p.attempts[a.Attempt] != nil {
				p.attempts[a.Attempt].Cancel()
			}
		case balancer.CloseIdle:
			eng.backend.CloseIdle(eng.listed[a.Server].Host())
		case balancer.Reject:
			eng.finish(a.ID, Response{Kind: Rejected, RetryAfter: a.RetryAfter})
		case balancer.Fail:
			eng.finish(a.ID, Response{Kind: Failed})
		case balancer.SetTimer:
			heap.Push(&eng.alarms, timer{a.At, a.Token})
		case balancer.Subscribe:
			eng.subscribe()
		}
	}
}

func (eng *Engine) send(s balancer.Send) {
	p := eng.pending[s.ID]
	a := NewAttempt(p.request, len(p.attempts), eng.listed[s.Server].Host(), eng.now, eng.now+s.Timeout)
	a.NotAfter = s.NotAfter
	a.Zone, a.Cell = eng.listed[s.Server].Zone, eng.listed[s.Server].Cell
	p.attempts = append(p.attempts, a)
	eng.tally.sent(a.To.Server)
	p.inFlight++
	eng.stats.Sends++
	go func() {
		r := eng.backend.Run(a)
		a.Cancel()
		if p.request.AttemptEnded != nil {
			p.request.AttemptEnded(a, &r)
		}
		eng.post(ended{a, r})
	}()
}

// poll has a server asked how much it holds.
func (eng *Engine) poll(id string, to discovery.Host, within time.Duration) {
	eng.stats.Polls++
	asked := eng.clock.Now()
	go func() {
		if busy, ok := eng.backend.Poll(to, within); ok {
			eng.post(loadReport{id, to.Server, busy, asked})
		}
	}()
}
