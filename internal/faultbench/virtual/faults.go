package virtual

import (
	"fmt"
	"slices"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
)

// schedule schedules the events of a fault.
func (p *player) schedule(f experiment.Fault) error {
	switch f.Kind.Target() {
	case experiment.TargetLinks:
		if f.Kind == experiment.Reset || f.Kind == experiment.Refuse || f.Loss > 0 || f.Bandwidth > 0 || slices.Contains(f.ServerZones, experiment.RegistryZone) {
			return fmt.Errorf("fault %q: %s of links with these settings is not supported in virtual time", f.Name, f.Kind)
		}
		p.at(f.From, func() { p.linkFaults = append(p.linkFaults, f) })
		p.at(f.To, func() {
			p.linkFaults = slices.DeleteFunc(p.linkFaults, func(o experiment.Fault) bool { return o.Name == f.Name })
		})
	case experiment.TargetNodes:
		switch f.Kind {
		case experiment.Stop, experiment.ClockSkew, experiment.Terminate, experiment.Reload, experiment.Hold, experiment.IdleClients:
			return fmt.Errorf("fault %q: kind %s is not supported in virtual time", f.Name, f.Kind)
		}
		struck := p.experiment.Targets(f)
		for k, i := range struck {
			p.atOnset(f, k, len(struck), func() { p.applyNodeFault(f, p.nodes[i]) })
		}
	case experiment.TargetServers:
		if f.Kind.SpoilsReplies() {
			return fmt.Errorf("fault %q: kind %s is not supported in virtual time", f.Name, f.Kind)
		}
		struck := p.experiment.Targets(f)
		for k, i := range struck {
			p.atOnset(f, k, len(struck), func() { p.applyServerFault(f, i) })
			p.at(f.To, func() { p.clearServerFault(f, i) })
		}
	case experiment.TargetRegistry:
		return fmt.Errorf("fault %q: kind %s is not supported in virtual time", f.Name, f.Kind)
	}
	return nil
}

// atOnset schedules the onset of a fault at the k-th of n targets.
func (p *player) atOnset(f experiment.Fault, k, n int, apply func()) {
	p.at(f.From+f.OnsetSpread*time.Duration(k)/time.Duration(max(1, n)), apply)
}

func (p *player) applyNodeFault(f experiment.Fault, n *node) {
	if f.Kind == experiment.ChangeNodeCount {
		n.nodeCount = f.Count
		return
	}
	p.audit.RecordOutage(audit.Outage{Node: n.index, From: p.now, To: f.To})
	n.incarnation++
	n.balancer = nil
	for _, req := range n.requests {
		for _, att := range req.attempts {
			att.ended = true
			p.audit.RecordEnd(att.Attempt, p.now, "node was killed")
			p.abandon(att)
		}
		if !req.answered {
			p.audit.RecordOutcome(req.ID, audit.Disconnected, p.now, "")
		}
	}
	clear(n.requests)
	clear(n.open)
	restartAt := f.To
	if f.Kind == experiment.Restart {
		restartAt = p.now + 500*time.Millisecond
	}
	p.at(restartAt, func() { p.start(n) })
}

func (p *player) applyServerFault(f experiment.Fault, i int) {
	s := p.fleet.Servers[i]
	switch f.Kind {
	case experiment.Crash:
		p.crashed[i] = true
	case experiment.MachineLoss:
		p.unreachable[i] = true
	case experiment.Hang, experiment.Errors:
		s.Fault = f.Kind
	case experiment.Slowdown:
		s.Factor = f.Factor
	case experiment.Replace:
		p.serverStates[i] = balancer.Draining
		p.sendListToAll()
		p.at(p.now+time.Second, func() {
			p.replaced[s.ID] = true
			p.replaceServer(i, true)
			p.sendListToAll(s.ID)
		})
	}
}

// replaceServer replaces a server by a new incarnation in slow start.
func (p *player) replaceServer(i int, replacement bool) {
	old := p.fleet.Servers[i]
	p.audit.RecordServerEnd(old, p.now)
	p.serverStates[i], p.unreachable[i], p.crashed[i] = balancer.Ready, false, false
	s := p.fleet.Replace(i, p.now, replacement)
	p.serverIndex[s.ID] = i
}

func (p *player) clearServerFault(f experiment.Fault, i int) {
	s := p.fleet.Servers[i]
	switch f.Kind {
	case experiment.Crash, experiment.MachineLoss:
		p.replaceServer(i, false)
		p.sendListToAll()
	case experiment.Hang, experiment.Errors:
		s.Fault = ""
	case experiment.Slowdown:
		s.Factor = 1
	}
}
