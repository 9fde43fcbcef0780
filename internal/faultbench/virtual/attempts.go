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

// delay returns the latency of a message from one zone to another and whether it is delivered. The direction is to or from
// the server with the given index.
func (p *player) delay(from, to string, toServer bool, index int) (time.Duration, bool) {
	l := p.experiment.LinkBetween(from, to)
	d := l.Delay + time.Duration(p.rng.Float64()*float64(l.Jitter))
	for _, f := range p.linkFaults {
		near, far := from, to
		if !toServer {
			near, far = to, from
		}
		if !f.AffectsLink(near, far) || !slices.Contains(f.Select(p.experiment.Seed, len(p.serverStates)), index) {
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
	index := p.serverIndex[id]
	s := p.fleet.Servers[index]
	att := &attempt{index: len(req.attempts), node: n, request: req, server: s, serverIndex: index, sentAt: p.now, job: &world.Job{ID: req.ID}}
	req.attempts = append(req.attempts, att)
	att.Attempt = p.audit.RecordAttempt(req.ID, id, index, n.zone != s.Zone, p.now)
	p.at(p.now+timeout, func() { p.end(att, balancer.TimedOut, nil) })
	latency, delivered := p.delay(n.zone, s.Zone, true, index)
	switch {
	case p.replaced[id] || s.ID != id || p.crashed[index]:
		p.at(p.now+2*latency, func() { p.end(att, balancer.Unreachable, nil) })
	case !delivered || p.unreachable[index]: // a new connection is never established, an existing one carries no data
		if !n.open[index] {
			p.at(p.now+time.Second, func() { p.end(att, balancer.Unreachable, nil) })
		}
	default:
		n.open[index] = true
		p.at(p.now+latency, func() { p.arriveAtServer(att) })
	}
}

// arriveAtServer handles the arrival of an attempt at its server.
func (p *player) arriveAtServer(att *attempt) {
	if att.ended && p.now > att.EndedAt || att.server != p.fleet.Servers[att.serverIndex] || p.crashed[att.serverIndex] || p.unreachable[att.serverIndex] {
		return
	}
	switch att.server.Arrive(p.now, att.job) {
	case world.Started:
		p.runJob(att, att.server)
	case world.Queued:
		p.queued[att.job] = att
	case world.Rejected:
		p.reply(att, balancer.Overloaded, nil)
	case world.Failed:
		p.audit.RecordRun(att.Attempt)
		p.reply(att, balancer.Failure, nil)
	case world.Hung:
		p.audit.RecordRun(att.Attempt)
	}
}

// runJob schedules the end of a job that has started.
func (p *player) runJob(att *attempt, s *world.Server) {
	p.audit.RecordRun(att.Attempt)
	p.at(att.job.EndsAt, func() {
		if s != p.fleet.Servers[att.serverIndex] || p.crashed[att.serverIndex] {
			return
		}
		next := s.Finish(p.now, att.job)
		load := &balancer.Load{Busy: float64(s.Working() + s.Waiting()), Service: -1}
		if !s.Spec.ReportsLoad {
			load = nil
		}
		if !att.job.Abandoned && !p.unreachable[att.serverIndex] && s.Fault != experiment.Hang {
			p.reply(att, balancer.Success, load)
		}
		if next != nil {
			att := p.queued[next]
			delete(p.queued, next)
			p.runJob(att, s)
		}
	})
}

// reply schedules the arrival of a server's reply at the node.
func (p *player) reply(att *attempt, result balancer.Result, load *balancer.Load) {
	if d, delivered := p.delay(att.server.Zone, att.node.zone, false, att.serverIndex); delivered {
		p.at(p.now+d, func() { p.end(att, result, load) })
	}
}

// end handles the end of an attempt at its node.
func (p *player) end(att *attempt, result balancer.Result, load *balancer.Load) {
	if att.ended {
		return
	}
	att.ended = true
	n, req := att.node, att.request
	p.audit.RecordEnd(att.Attempt, p.now, fmt.Sprint(result))
	if result == balancer.TimedOut || result == balancer.Cancelled || result == balancer.Unreachable {
		delete(n.open, att.serverIndex) // the connection is closed
		if d, delivered := p.delay(n.zone, att.server.Zone, true, att.serverIndex); delivered {
			p.at(p.now+d, func() { p.abandon(att) })
		}
	}
	if result == balancer.Success {
		p.finish(n, req, audit.Served, "")
	}
	switch {
	case p.policy == experiment.Program && n.balancer != nil:
		p.handle(n, balancer.Outcome{ID: req.ID, Attempt: att.index, Server: att.Server, Result: result, Latency: p.now - att.sentAt, Ended: req.answered, Load: load})
	case result != balancer.Success:
		p.finish(n, req, audit.Failed, "")
	}
	p.forget(n, req)
}

// abandon handles at the server that the client or node gave up on an attempt.
func (p *player) abandon(att *attempt) {
	att.server.Abandon(att.job)
	delete(p.queued, att.job)
}
