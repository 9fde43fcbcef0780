package engine

// pendingRequest is a request that the balancer still knows: one without a response, or with attempts in flight.
type pendingRequest struct {
	request    *Request
	attempts   []*Attempt // by number; nil: made by another node
	inFlight   int        // attempts without an outcome
	mayHaveRun bool       // an attempt of it may have run at a server
	responded  bool       // it has its response, or nobody waits for one
}

// newPendingRequest returns the record of a new request. Attempts that another node made have their numbers here and
// nothing else.
func newPendingRequest(request *Request) *pendingRequest {
	return &pendingRequest{
		request:    request,
		attempts:   make([]*Attempt, len(request.PriorAttempts)),
		mayHaveRun: !request.notRun(),
	}
}

// attempt returns the attempt of a number, or nil where this engine made none of that number.
func (p *pendingRequest) attempt(n int) *Attempt {
	if n >= len(p.attempts) {
		return nil
	}
	return p.attempts[n]
}

// respond gives the request its response. It must be called once.
func (p *pendingRequest) respond(response Response) {
	p.markResponded()
	p.request.response <- response
}

// markResponded notes that nobody waits for a response any more. Attempts that have not begun by then never do, whatever
// the settings say of those that have.
func (p *pendingRequest) markResponded() {
	p.responded = true
	for _, attempt := range p.attempts {
		if attempt != nil {
			attempt.CancelUnbegun()
		}
	}
}

// pendingOf returns the record of a request, or nil if that is finished. Its id may be in use by another one by then.
func (eng *Engine) pendingOf(request *Request) *pendingRequest {
	p := eng.pending[request.ID]
	if p == nil || p.request != request {
		return nil
	}
	return p
}

// respondUnserved ends a request without a reply, unless it has its response already.
func (eng *Engine) respondUnserved(id string, response Response) {
	p := eng.pending[id]
	if p == nil || p.responded {
		return
	}
	if response.Kind == Rejected {
		response.NotRun = !p.mayHaveRun && p.inFlight == 0
		eng.sinceLog.Rejected++
		eng.collector.requestRejected(p.request.Class)
	} else {
		eng.sinceLog.Failed++
	}
	p.respond(response)
	eng.removeIfFinished(p)
}

// removeIfFinished drops a request once it has its response and no attempt in flight, as the balancer does.
func (eng *Engine) removeIfFinished(p *pendingRequest) {
	if p.responded && p.inFlight == 0 {
		delete(eng.pending, p.request.ID)
	}
}
