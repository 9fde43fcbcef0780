package engine

import (
	"damsontrestle/internal/balancer"
)

// pending is a request that the module still knows: unanswered, or with attempts out.
type pending struct {
	request   *Request
	attempts  []*Attempt
	inFlight  int
	ran       bool // an attempt of it may have
	responded bool
}

// close notes that nobody waits for an answer any more. Attempts that have not begun by then never do, whatever the
// settings say of those that have.
func (p *pending) close() {
	p.responded = true
	for _, a := range p.attempts {
		if a != nil {
			a.CancelUnbegun()
		}
	}
}

// end passes on how an attempt ended. The first success is the client's answer.
func (eng *Engine) end(a *Attempt, r Outcome) {
	p := eng.pending[a.Request.ID]
	eng.stats.Results[r.Result]++
	p.inFlight--
	p.ran = p.ran || !r.Result.NeverRan()
	at, listed := eng.listed[a.To.Server]
	eng.tally.ended(at, a.To.Server, listed, r.Result, r.At-a.Sent)
	if r.Result == balancer.Success && !p.responded {
		eng.stats.Served++
		eng.answer(p, Response{Kind: Served, Reply: r.Reply})
	} else {
		r.Reply.Discard()
	}
	eng.handle(r.At, balancer.Outcome{ID: a.Request.ID, Attempt: a.N, Server: a.To.Server, Result: r.Result,
		Latency: r.At - a.Sent, Ended: p.responded, NotReplayable: r.Spent, Load: r.Load})
	eng.forget(p)
}

func (eng *Engine) finish(id string, a Response) {
	p := eng.pending[id]
	if p == nil || p.responded {
		return
	}
	if a.Kind == Rejected {
		a.NotRun = !p.ran && p.inFlight == 0
		eng.stats.Rejected++
		eng.tally.came(p.request.Class, true)
	} else {
		eng.stats.Failed++
	}
	eng.answer(p, a)
	eng.forget(p)
}

func (eng *Engine) answer(p *pending, a Response) {
	p.close()
	p.request.response <- a
}

// forget drops a request once nothing of it is left, as the module does.
func (eng *Engine) forget(p *pending) {
	if p.responded && p.inFlight == 0 {
		delete(eng.pending, p.request.ID)
	}
}
