package engine

// pendingRequest is a request that the balancer still tracks: it has no response yet, or attempts in flight.
type pendingRequest struct {
	request    *Request
	attempts   []*Attempt // by number; nil: sent by another node
	inFlight   int        // attempts without an outcome
	mayHaveRun bool       // an attempt may have run on a server
	ending     EndState   // of the attempt that ended last
	responded  bool       // the response was sent, or the client has disconnected
}

// newPendingRequest returns the record of a new request. Prior attempts, sent by another node, only occupy their numbers.
func newPendingRequest(request *Request) *pendingRequest {
	return &pendingRequest{
		request:    request,
		attempts:   make([]*Attempt, len(request.PriorAttempts)),
		mayHaveRun: !request.notRun(),
	}
}

// attempt returns attempt n, or nil if this engine did not send it.
func (p *pendingRequest) attempt(n int) *Attempt {
	if n >= len(p.attempts) {
		return nil
	}
	return p.attempts[n]
}

// respond sends the response of the request. It must be called once.
func (p *pendingRequest) respond(response Response) {
	p.markResponded()
	p.request.response <- response
}

// markResponded records that no response is awaited any more. Attempts that have not started are cancelled, whether or not
// the settings allow cancelling started ones.
func (p *pendingRequest) markResponded() {
	p.responded = true
	for _, attempt := range p.attempts {
		if attempt != nil {
			attempt.CancelIfNotStarted()
		}
	}
}

// lastEnding returns how the attempt that ended last did so, or why there was none.
func (p *pendingRequest) lastEnding() EndState {
	ending := p.ending
	if ending.Reason == "" {
		ending.Reason = EndNotSent
	}
	ending.Attempts = len(p.attempts)
	return ending
}

// pendingOf returns the record of a request, or nil if the request is finished, even if another request now has its id.
func (eng *Engine) pendingOf(request *Request) *pendingRequest {
	pending := eng.pending[request.ID]
	if pending == nil || pending.request != request {
		return nil
	}
	return pending
}

// respondUnserved sends a response without a server's reply, unless the request already has its response.
func (eng *Engine) respondUnserved(id string, response Response) {
	pending := eng.pending[id]
	if pending == nil || pending.responded {
		return
	}
	if response.EndState.Reason == "" {
		response.EndState = pending.lastEnding()
	}
	if response.Kind == Rejected {
		response.NotRun = !pending.mayHaveRun && pending.inFlight == 0
		eng.unloggedTraffic.Rejected++
		eng.collector.requestRejected(pending.request.Class)
	} else {
		eng.unloggedTraffic.Failed++
	}
	pending.respond(response)
	eng.removeIfFinished(pending)
}

// removeIfFinished removes a request that has its response and no attempt in flight, as the balancer does.
func (eng *Engine) removeIfFinished(pending *pendingRequest) {
	if !pending.responded || pending.inFlight > 0 {
		return
	}
	delete(eng.pending, pending.request.ID)
	if request := pending.request; !pending.mayHaveRun && len(pending.attempts) > 0 && request.Forwarded != nil {
		request.Forwarded.Remove(request.ID)
	}
}
