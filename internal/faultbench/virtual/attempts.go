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
func (p *player) delay(from, to string, toServer bool, place int) (time.Duration, bool) {
	l := p.e.LinkBetween(from, to)
	d := l.Delay + time.Duration(p.rng.Float64()*float64(l.Jitter))
	for _, f := range p.linkFaults {
		near, far := from, to
		if !toServer {
			near, far = to, from
		}
		if !f.AffectsLink(near, far) || !slices.Contains(f.Select(p.e.Seed, len(p.state)), place) {
			continue
		}
		switch f.Kind {
		case experiment.Cut:
			return 0, false
		case experiment.CutForward:
			if toServer {
				return 0, false
			}
		case experiment.CutReturn:
			if !toServer {
				return 0, false
			}
		case experiment.Slow:
			d += f.Delay + time.Duration(p.rng.Float64()*float64(f.Jitter))
		}
	}
	return d, true
}

func (p *player) send(n *node, req *request, id string, timeout time.Duration) {
	place := p.place[id]
	s := p.fleet.Servers[place]
	att := &attempt{index: len(req.attempts), node: n, request: req, server: s, place: place, sent: p.now, job: &world.Job{ID: req.ID}}
	req.attempts = append(req.attempts, att)
	att.Attempt = p.audit.RecordAttempt(req.ID, id, place, n.zone != s.Zone, p.now)
	p.at(p.now+timeout, func() { p.end(att, balancer.TimedOut, nil) })
	latency, delivered := p.delay(n.zone, s.Zone, true, place)
	switch {
	case p.replaced[id] || s.ID != id || p.crashed[place]:
		p.at(p.now+2*latency, func() { p.end(att, balancer.Unreachable, nil) })
	case !delivered || p.unreachable[place]: // a new connection never comes up, an old one says nothing
		if !n.open[place] {
			p.at(p.now+time.Second, func() { p.end(att, balancer.Unreachable, nil) })
		}
	default:
		n.open[place] = true
		p.at(p.now+latency, func() { p.arriveAtServer(att) })
	}
}

// reach has an attempt come to its server.
func (p *player) arriveAtServer(att *attempt) {
	if att.ended && p.now > att.EndedAt || att.server != p.fleet.Servers[att.place] || p.crashed[att.place] || p.unreachable[att.place] {
		return
	}
	switch att.server.Arrive(p.now, att.job) {
	case world.Started:
		p.runJob(att, att.server)
	case world.Queued:
		p.waiting[att.job] = att
	case world.Rejected:
		p.reply(att, balancer.Overloaded, nil)
	case world.Failed:
		p.audit.RecordRun(att.Attempt)
		p.reply(att, balancer.Failure, nil)
	case world.Hung:
		p.audit.RecordRun(att.Attempt)
	}
}

// work has a job that began end in time.
func (p *player) runJob(att *attempt, s *world.Server) {
	p.audit.RecordRun(att.Attempt)
	p.at(att.job.EndsAt, func() {
		if s != p.fleet.Servers[att.place] || p.crashed[att.place] {
			return
		}
		next := s.Finish(p.now, att.job)
		load := &balancer.Load{Busy: float64(s.Working() + s.Waiting()), Service: -1}
		if !s.Spec.ReportsLoad {
			load = nil
		}
		if !att.job.Abandoned && !p.unreachable[att.place] && s.Fault != experiment.Hang {
			p.reply(att, balancer.Success, load)
		}
		if next != nil {
			att := p.waiting[next]
			delete(p.waiting, next)
			p.runJob(att, s)
		}
	})
}

// back has a server's answer come to the node.
func (p *player) reply(att *attempt, result balancer.Result, load *balancer.Load) {
	if d, delivered := p.delay(att.server.Zone, att.node.zone, false, att.place); delivered {
		p.at(p.now+d, func() { p.end(att, result, load) })
	}
}

// end ends an attempt at its node.
func (p *player) end(att *attempt, result balancer.Result, load *balancer.Load) {
	if att.ended {
		return
	}
	att.ended = true
	n, req := att.node, att.request
	p.audit.RecordEnd(att.Attempt, p.now, fmt.Sprint(result))
	if result == balancer.TimedOut || result == balancer.Cancelled || result == balancer.Unreachable {
		delete(n.open, att.place) // its connection is closed
		if d, delivered := p.delay(n.zone, att.server.Zone, true, att.place); delivered {
			p.at(p.now+d, func() { p.abandon(att) })
		}
	}
	if result == balancer.Success {
		p.finish(n, req, audit.Served, "")
	}
	switch {
	case p.policy == experiment.Program && n.balancer != nil:
		p.handle(n, balancer.Outcome{ID: req.ID, Attempt: att.index, Server: att.Server, Result: result, Latency: p.now - att.sent, Ended: req.answered, Load: load})
	case result != balancer.Success:
		p.finish(n, req, audit.Failed, "")
	}
	p.forget(n, req)
}

// leave has a server see that nobody waits for a request any more.
func (p *player) abandon(att *attempt) {
	att.server.Abandon(att.job)
	delete(p.waiting, att.job)
}
