package engine

import (
	"container/heap"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// handle feeds the module and carries out what it decides.
func (eng *Engine) handle(at time.Duration, e balancer.Event) {
	eng.moduleTime = max(eng.moduleTime, at)
	for _, a := range eng.balancer.Handle(eng.moduleTime, e) {
		switch a := a.(type) {
		case balancer.Send:
			eng.send(a)
		case balancer.Poll:
			for _, s := range a.Servers {
				eng.poll(a.ID, eng.servers[s].Host(), a.Timeout)
			}
		case balancer.Cancel:
			if p := eng.pending[a.ID]; p != nil && a.Attempt < len(p.attempts) && p.attempts[a.Attempt] != nil {
				p.attempts[a.Attempt].Cancel()
			}
		case balancer.CloseIdle:
			eng.backend.CloseIdle(eng.servers[a.Server].Host())
		case balancer.Reject:
			eng.respondOnce(a.ID, Response{Kind: Rejected, RetryAfter: a.RetryAfter})
		case balancer.Fail:
			eng.respondOnce(a.ID, Response{Kind: Failed})
		case balancer.SetTimer:
			heap.Push(&eng.timers, timer{a.At, a.Token})
		case balancer.Subscribe:
			eng.subscribe()
		}
	}
}

func (eng *Engine) send(s balancer.Send) {
	p := eng.pending[s.ID]
	a := NewAttempt(p.request, len(p.attempts), eng.servers[s.Server].Host(), eng.moduleTime, eng.moduleTime+s.Timeout)
	a.NotAfter = s.NotAfter
	a.Zone, a.Cell = eng.servers[s.Server].Zone, eng.servers[s.Server].Cell
	p.attempts = append(p.attempts, a)
	eng.collector.attemptStarted(a.To.Server)
	p.inFlight++
	eng.sinceLog.Sends++
	go func() {
		r := eng.backend.Run(a)
		a.Cancel()
		if p.request.AttemptEnded != nil {
			p.request.AttemptEnded(a, &r)
		}
		eng.post(attemptEnded{a, r})
	}()
}

// poll has a server asked how much it holds.
func (eng *Engine) poll(id string, to discovery.Host, within time.Duration) {
	eng.sinceLog.Polls++
	asked := eng.clock.Now()
	go func() {
		if busy, ok := eng.backend.Poll(to, within); ok {
			eng.post(loadReport{id, to.Server, busy, asked})
		}
	}()
}
