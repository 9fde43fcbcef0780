package virtual

import (
	"fmt"
	"slices"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/world"
)

// delay is how long something takes from one zone to another, and whether it comes at all.
func (p *player) delay(from, to string, there bool, place int) (time.Duration, bool) {
	l := p.e.LinkBetween(from, to)
	d := l.Delay + time.Duration(p.rng.Float64()*float64(l.Jitter))
	for _, f := range p.linkFaults {
		near, far := from, to
		if !there {
			near, far = to, from
		}
		if !f.AffectsLink(near, far) || !slices.Contains(f.Select(p.e.Seed, len(p.state)), place) {
			continue
		}
		switch f.Kind {
		case experiment.Cut:
			return 0, false
		case experiment.CutForward:
			if there {
				return 0, false
			}
		case experiment.CutReturn:
			if !there {
				return 0, false
			}
		case experiment.Slow:
			d += f.Delay + time.Duration(p.rng.Float64()*float64(f.Jitter))
		}
	}
	return d, true
}

func (p *player) send(n *node, k *request, id string, timeout time.Duration) {
	place := p.place[id]
	s := p.fleet.Servers[place]
	t := &attempt{index: len(k.attempts), node: n, request: k, server: s, place: place, sent: p.now, job: &world.Job{ID: k.ID}}
	k.attempts = append(k.attempts, t)
	t.Attempt = p.audit.RecordAttempt(k.ID, id, place, n.zone != s.Zone, p.now)
	p.at(p.now+timeout, func() { p.end(t, balancer.TimedOut, nil) })
	there, comes := p.delay(n.zone, s.Zone, true, place)
	switch {
	case p.replaced[id] || s.ID != id || p.crashed[place]:
		p.at(p.now+2*there, func() { p.end(t, balancer.Unreachable, nil) })
	case !comes || p.unreachable[place]: // a new connection never comes up, an old one says nothing
		if !n.open[place] {
			p.at(p.now+time.Second, func() { p.end(t, balancer.Unreachable, nil) })
		}
	default:
		n.open[place] = true
		p.at(p.now+there, func() { p.arriveAtServer(t) })
	}
}

// reach has an attempt come to its server.
func (p *player) arriveAtServer(t *attempt) {
	if t.ended && p.now > t.EndedAt || t.server != p.fleet.Servers[t.place] || p.crashed[t.place] || p.unreachable[t.place] {
		return
	}
	switch t.server.Arrive(p.now, t.job) {
	case world.Started:
		p.runJob(t, t.server)
	case world.Queued:
		p.waiting[t.job] = t
	case world.Rejected:
		p.reply(t, balancer.Overloaded, nil)
	case world.Failed:
		p.audit.RecordRun(t.Attempt)
		p.reply(t, balancer.Failure, nil)
	case world.Hung:
		p.audit.RecordRun(t.Attempt)
	}
}

// work has a job that began end in time.
func (p *player) runJob(t *attempt, s *world.Server) {
	p.audit.RecordRun(t.Attempt)
	p.at(t.job.EndsAt, func() {
		if s != p.fleet.Servers[t.place] || p.crashed[t.place] {
			return
		}
		next := s.Finish(p.now, t.job)
		load := &balancer.Load{Busy: float64(s.Working() + s.Waiting()), Service: -1}
		if !s.Spec.ReportsLoad {
			load = nil
		}
		if !t.job.Abandoned && !p.unreachable[t.place] && s.Fault != experiment.Hang {
			p.reply(t, balancer.Success, load)
		}
		if next != nil {
			t := p.waiting[next]
			delete(p.waiting, next)
			p.runJob(t, s)
		}
	})
}

// back has a server's answer come to the node.
func (p *player) reply(t *attempt, e balancer.Result, load *balancer.Load) {
	if d, comes := p.delay(t.server.Zone, t.node.zone, false, t.place); comes {
		p.at(p.now+d, func() { p.end(t, e, load) })
	}
}

// end ends an attempt at its node.
func (p *player) end(t *attempt, e balancer.Result, load *balancer.Load) {
	if t.ended {
		return
	}
	t.ended = true
	n, k := t.node, t.request
	p.audit.RecordEnd(t.Attempt, p.now, fmt.Sprint(e))
	if e == balancer.TimedOut || e == balancer.Cancelled || e == balancer.Unreachable {
		delete(n.open, t.place) // its connection is closed
		if d, comes := p.delay(n.zone, t.server.Zone, true, t.place); comes {
			p.at(p.now+d, func() { p.abandon(t) })
		}
	}
	if e == balancer.Success {
		p.finish(n, k, audit.Served, "")
	}
	switch {
	case p.policy == experiment.Program && n.balancer != nil:
		p.handle(n, balancer.Outcome{ID: k.ID, Attempt: t.index, Server: t.Server, Result: e, Latency: p.now - t.sent, Ended: k.answered, Load: load})
	case e != balancer.Success:
		p.finish(n, k, audit.Failed, "")
	}
	p.forget(n, k)
}

// leave has a server see that nobody waits for a request any more.
func (p *player) abandon(t *attempt) {
	t.server.Abandon(t.job)
	delete(p.waiting, t.job)
}
