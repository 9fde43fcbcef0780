package virtual

import (
	"slices"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/world"
)

// arrive has the next request come to a node.
func (p *player) arrive(n *node) {
	c, more := p.streams.Next(n.index)
	if !more {
		return
	}
	p.at(c.At, func() {
		p.arrive(n)
		p.ask(n, c)
	})
}

func (p *player) ask(n *node, c world.Call) {
	class := p.e.Classes[c.Class]
	p.audit.Ask(audit.Call{ID: c.ID, Node: n.index, Class: c.Class, Unsafe: class.Effect == "unsafe", At: p.now, Aim: class.Aim, Deadline: class.Deadline, Worth: class.Worth})
	if n.balancer == nil {
		p.audit.Hear(c.ID, audit.NotTaken, p.now+1, "")
		return
	}
	k := &call{Call: c, class: class}
	n.calls[c.ID] = k
	if patience := p.e.Callers.Patience; patience > 0 && patience < class.Deadline {
		p.at(p.now+patience, func() { p.leaveNode(n, k) })
	}
	if p.policy == experiment.Program {
		p.handle(n, balancer.Request{ID: c.ID, Class: class.Name, Deadline: epoch + p.now + class.Deadline})
		return
	}
	if id := p.pick(n, class); id != "" {
		p.send(n, k, id, class.Deadline)
	} else {
		p.hear(n, k, audit.Refused, "now")
	}
}

// pick is how the policies that are no module pick.
func (p *player) pick(n *node, class experiment.Class) (id string) {
	if len(n.listed) == 0 {
		return ""
	}
	switch p.policy {
	case experiment.Random:
		return n.listed[p.rng.IntN(len(n.listed))]
	case Late:
		return p.pickLate(n, class)
	}
	least := 0.0
	for _, c := range n.listed {
		s := p.fleet.Servers[p.place[c]]
		if load := (float64(s.Working()+s.Waiting()) + p.rng.Float64()/100) / float64(s.Spec.Slots); id == "" || load < least {
			id, least = c, load
		}
	}
	return id
}

// look has Late see all servers, again and again.
func (p *player) look() {
	p.seen = p.seen[:0]
	for i, s := range p.fleet.Servers {
		held := s.Working() + s.Waiting()
		if p.isDown(i) {
			held = -1
		}
		p.seen = append(p.seen, held)
	}
	p.at(p.now+lateBy, p.look)
}

// pickLate is how Late picks.
func (p *player) pickLate(n *node, class experiment.Class) (id string) {
	up := make([]string, 0, len(n.listed))
	for _, c := range n.listed {
		if p.seen[p.place[c]] >= 0 {
			up = append(up, c)
		}
	}
	if len(up) == 0 {
		return ""
	}
	least := 0.0
	for range 2 {
		c := up[p.rng.IntN(len(up))]
		spec := p.fleet.Servers[p.place[c]].Spec
		if load := float64(p.seen[p.place[c]]+1) / float64(spec.Slots) * spec.Service.Seconds(); id == "" || load < least {
			id, least = c, load
		}
	}
	if least > class.Aim.Seconds()/2 { // what others have sent since is not in sight
		return ""
	}
	return id
}

func (p *player) handle(n *node, e balancer.Event) {
	incarnation := n.life
	for _, a := range n.balancer.Handle(epoch+p.now, e) {
		switch a := a.(type) {
		case balancer.Send:
			if k := n.calls[a.ID]; k != nil {
				p.send(n, k, a.Server, a.Timeout)
			}
		case balancer.Poll:
			p.poll(n, a)
		case balancer.Cancel:
			if k := n.calls[a.ID]; k != nil && a.Attempt < len(k.attempts) {
				p.end(k.attempts[a.Attempt], balancer.Cancelled, nil)
			}
		case balancer.Reject:
			p.hear(n, n.calls[a.ID], audit.Refused, a.RetryAfter.String())
		case balancer.Fail:
			p.hear(n, n.calls[a.ID], audit.Failed, "")
		case balancer.SetTimer:
			p.at(a.At-epoch, func() {
				if n.life == incarnation && n.balancer != nil {
					p.handle(n, balancer.Timer{Token: a.Token})
				}
			})
		}
	}
}

// poll asks servers how much they hold; those that say nothing are not heard of.
func (p *player) poll(n *node, a balancer.Poll) {
	incarnation := n.life
	for _, id := range a.Servers {
		place := p.place[id]
		s := p.fleet.Servers[place]
		there, comes := p.delay(n.zone, s.Zone, true, place)
		if !comes || s.ID != id || p.lost[place] || p.crashed[place] {
			continue
		}
		p.asked++
		p.at(p.now+there, func() {
			busy := float64(s.Working() + s.Waiting())
			if back, comes := p.delay(s.Zone, n.zone, false, place); comes && s.Fault != experiment.Hang {
				p.at(p.now+back, func() {
					if n.life == incarnation && n.balancer != nil {
						p.handle(n, balancer.LoadUpdate{ID: a.ID, Loads: []balancer.ServerLoad{{Server: id, Busy: busy, Age: there + back}}})
					}
				})
			}
		})
	}
}

// hear ends a request for its client.
func (p *player) hear(n *node, k *call, h audit.Heard, says string) {
	if k == nil || k.answered {
		return
	}
	k.answered = true
	p.audit.Hear(k.ID, h, p.now, says)
	p.forget(n, k)
}

// leaveNode has a client leave that has heard nothing.
func (p *player) leaveNode(n *node, k *call) {
	if k.answered || n.calls[k.ID] != k {
		return
	}
	p.hear(n, k, audit.Gone, "")
	if p.policy == experiment.Program {
		p.handle(n, balancer.ClientDisconnected{ID: k.ID})
		return
	}
	for _, t := range k.attempts {
		p.end(t, balancer.Cancelled, nil)
	}
}

func (p *player) forget(n *node, k *call) {
	if k.answered && !slices.ContainsFunc(k.attempts, func(t *try) bool { return !t.ended }) {
		delete(n.calls, k.ID)
	}
}
