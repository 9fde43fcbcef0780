package virtual

import (
	"slices"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/world"
)

// arrive schedules the next request to a node.
func (p *player) arrive(n *node) {
	c, more := p.streams.Next(n.index)
	if !more {
		return
	}
	p.at(c.At, func() {
		p.arrive(n)
		p.submit(n, c)
	})
}

func (p *player) submit(n *node, c world.Request) {
	class := p.experiment.Classes[c.Class]
	p.audit.RecordRequest(audit.Request{ID: c.ID, Node: n.index, Class: c.Class, Unsafe: class.Effect == "unsafe", At: p.now, LatencyObjective: class.LatencyObjective, Deadline: class.Deadline, PriorityWeight: class.PriorityWeight})
	if n.balancer == nil {
		p.audit.RecordOutcome(c.ID, audit.NotAccepted, p.now+1, "")
		return
	}
	req := &request{Request: c, class: class}
	n.requests[c.ID] = req
	if patience := p.experiment.Clients.Patience; patience > 0 && patience < class.Deadline {
		p.at(p.now+patience, func() { p.disconnectClient(n, req) })
	}
	if p.policy == experiment.Program {
		p.handle(n, balancer.Request{ID: c.ID, Class: class.Name, Deadline: epoch + p.now + class.Deadline})
		return
	}
	if id := p.pick(n, class); id != "" {
		p.send(n, req, id, class.Deadline)
	} else {
		p.finish(n, req, audit.Refused, "now")
	}
}

// pick picks a server for policies without a balancer. It returns an empty id to reject the request.
func (p *player) pick(n *node, class experiment.Class) (id string) {
	if len(n.listed) == 0 {
		return ""
	}
	switch p.policy {
	case experiment.Random:
		return n.listed[p.rng.IntN(len(n.listed))]
	case DelayedState:
		return p.pickByDelayedState(n, class)
	}
	least := 0.0
	for _, c := range n.listed {
		s := p.fleet.Servers[p.serverIndex[c]]
		if load := (float64(s.Working()+s.Waiting()) + p.rng.Float64()/100) / float64(s.Spec.Slots); id == "" || load < least {
			id, least = c, load
		}
	}
	return id
}

// observeLoads updates the observations of DelayedState at regular intervals.
func (p *player) observeLoads() {
	p.observedLoads = p.observedLoads[:0]
	for i, s := range p.fleet.Servers {
		held := s.Working() + s.Waiting()
		if p.isDown(i) {
			held = -1
		}
		p.observedLoads = append(p.observedLoads, held)
	}
	p.at(p.now+delayedStateInterval, p.observeLoads)
}

// pickByDelayedState picks a server for the policy DelayedState.
func (p *player) pickByDelayedState(n *node, class experiment.Class) (id string) {
	up := make([]string, 0, len(n.listed))
	for _, c := range n.listed {
		if p.observedLoads[p.serverIndex[c]] >= 0 {
			up = append(up, c)
		}
	}
	if len(up) == 0 {
		return ""
	}
	least := 0.0
	for range 2 {
		c := up[p.rng.IntN(len(up))]
		spec := p.fleet.Servers[p.serverIndex[c]].Spec
		if load := float64(p.observedLoads[p.serverIndex[c]]+1) / float64(spec.Slots) * spec.Service.Seconds(); id == "" || load < least {
			id, least = c, load
		}
	}
	if least > class.LatencyObjective.Seconds()/2 { // half leaves room for requests that other nodes have sent since the observation
		return ""
	}
	return id
}

func (p *player) handle(n *node, e balancer.Event) {
	incarnation := n.incarnation
	for _, a := range n.balancer.Handle(epoch+p.now, e) {
		switch a := a.(type) {
		case balancer.Send:
			if req := n.requests[a.ID]; req != nil {
				p.send(n, req, a.Server, a.Timeout)
			}
		case balancer.Poll:
			p.poll(n, a)
		case balancer.Cancel:
			if req := n.requests[a.ID]; req != nil && a.Attempt < len(req.attempts) {
				p.end(req.attempts[a.Attempt], balancer.Cancelled, nil)
			}
		case balancer.Reject:
			p.finish(n, n.requests[a.ID], audit.Refused, a.RetryAfter.String())
		case balancer.Fail:
			p.finish(n, n.requests[a.ID], audit.Failed, "")
		case balancer.SetTimer:
			p.at(a.At-epoch, func() {
				if n.incarnation == incarnation && n.balancer != nil {
					p.handle(n, balancer.Timer{Token: a.Token})
				}
			})
		}
	}
}

// poll polls servers for their load. Servers that do not reply are left out of the results.
func (p *player) poll(n *node, a balancer.Poll) {
	incarnation := n.incarnation
	for _, id := range a.Servers {
		index := p.serverIndex[id]
		s := p.fleet.Servers[index]
		forward, delivered := p.delay(n.zone, s.Zone, true, index)
		if !delivered || s.ID != id || p.unreachable[index] || p.crashed[index] {
			continue
		}
		p.polls++
		p.at(p.now+forward, func() {
			busy := float64(s.Working() + s.Waiting())
			if backward, delivered := p.delay(s.Zone, n.zone, false, index); delivered && s.Fault != experiment.Hang {
				p.at(p.now+backward, func() {
					if n.incarnation == incarnation && n.balancer != nil {
						p.handle(n, balancer.LoadUpdate{ID: a.ID, Loads: []balancer.ServerLoad{{Server: id, Busy: busy, Age: forward + backward}}})
					}
				})
			}
		})
	}
}

// finish records the outcome of a request for its client.
func (p *player) finish(n *node, req *request, outcome audit.Outcome, detail string) {
	if req == nil || req.answered {
		return
	}
	req.answered = true
	p.audit.RecordOutcome(req.ID, outcome, p.now, detail)
	p.forget(n, req)
}

// disconnectClient disconnects a client that has not received a response.
func (p *player) disconnectClient(n *node, req *request) {
	if req.answered || n.requests[req.ID] != req {
		return
	}
	p.finish(n, req, audit.ClientLeft, "")
	if p.policy == experiment.Program {
		p.handle(n, balancer.ClientDisconnected{ID: req.ID})
		return
	}
	for _, att := range req.attempts {
		p.end(att, balancer.Cancelled, nil)
	}
}

func (p *player) forget(n *node, req *request) {
	if req.answered && !slices.ContainsFunc(req.attempts, func(t *attempt) bool { return !t.ended }) {
		delete(n.requests, req.ID)
	}
}
