package engine

import (
	"damsontrestle/internal/balancer"
)

// pendingRequest is a request that the module still knows: unanswered, or with attempts out.
type pendingRequest struct {
	request    *Request
	attempts   []*Attempt
	inFlight   int
	mayHaveRun bool // an attempt of it may have
	responded  bool
}

// markResponded notes that nobody waits for an answer any more. Attempts that have not begun by then never do, whatever the
// settings say of those that have.
func (p *pendingRequest) markResponded() {
	p.responded = true
	for _, a := range p.attempts {
		if a != nil {
			a.CancelUnbegun()
		}
	}
}

// finishAttempt passes on how an attempt ended. The first success is the client's answer.
func (eng *Engine) finishAttempt(a *Attempt, r Outcome) {
	p := eng.pending[a.Request.ID]
	eng.sinceLog.Results[r.Result]++
	p.inFlight--
	p.mayHaveRun = p.mayHaveRun || !r.Result.NeverRan()
	at, listed := eng.servers[a.To.Server]
	eng.collector.attemptEnded(at, a.To.Server, listed, r.Result, r.At-a.Sent)
	if r.Result == balancer.Success && !p.responded {
		eng.sinceLog.Served++
		eng.respond(p, Response{Kind: Served, Reply: r.Reply})
	} else {
		r.Reply.Discard()
	}
	eng.handle(r.At, balancer.Outcome{ID: a.Request.ID, Attempt: a.N, Server: a.To.Server, Result: r.Result,
		Latency: r.At - a.Sent, Ended: p.responded, NotReplayable: r.Spent, Load: r.Load})
	eng.removeIfFinished(p)
}

func (eng *Engine) respondOnce(id string, a Response) {
	p := eng.pending[id]
	if p == nil || p.responded {
		return
	}
	if a.Kind == Rejected {
		a.NotRun = !p.mayHaveRun && p.inFlight == 0
		eng.sinceLog.Rejected++
		eng.collector.requestArrived(p.request.Class, true)
	} else {
		eng.sinceLog.Failed++
	}
	eng.respond(p, a)
	eng.removeIfFinished(p)
}

func (eng *Engine) respond(p *pendingRequest, a Response) {
	p.markResponded()
	p.request.response <- a
}

// removeIfFinished drops a request once nothing of it is left, as the module does.
func (eng *Engine) removeIfFinished(p *pendingRequest) {
	if p.responded && p.inFlight == 0 {
		delete(eng.pending, p.request.ID)
	}
}
