package virtual

import (
	"fmt"
	"slices"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
)

// plan puts a fault on the timetable.
func (p *player) plan(f experiment.Fault) error {
	switch f.Kind.Target() {
	case experiment.OfLinks:
		if f.Kind == experiment.Reset || f.Kind == experiment.Refuse || f.Loss > 0 || f.Bandwidth > 0 || slices.Contains(f.Far, experiment.RegistrySide) {
			return fmt.Errorf("fault %q: %s of links is played with processes only", f.Name, f.Kind)
		}
		p.at(f.From, func() { p.cuts = append(p.cuts, f) })
		p.at(f.To, func() {
			p.cuts = slices.DeleteFunc(p.cuts, func(o experiment.Fault) bool { return o.Name == f.Name })
		})
	case experiment.OfNodes:
		if f.Kind == experiment.Stop || f.Kind == experiment.Skew {
			return fmt.Errorf("fault %q: %s is played with processes only", f.Name, f.Kind)
		}
		struck := p.e.Struck(f)
		for k, i := range struck {
			p.atStep(f, k, len(struck), func() { p.strikeNode(f, p.nodes[i]) })
		}
	case experiment.OfServers:
		struck := p.e.Struck(f)
		for k, i := range struck {
			p.atStep(f, k, len(struck), func() { p.strike(f, i) })
			p.at(f.To, func() { p.heal(f, i) })
		}
	case experiment.OfRegistry:
		return fmt.Errorf("fault %q: %s is played with processes only", f.Name, f.Kind)
	}
	return nil
}

// atStep is when the k-th of n things is struck.
func (p *player) atStep(f experiment.Fault, k, n int, do func()) {
	p.at(f.From+f.Over*time.Duration(k)/time.Duration(max(1, n)), do)
}

func (p *player) strikeNode(f experiment.Fault, n *node) {
	if f.Kind == experiment.Recount {
		n.copies = f.Count
		return
	}
	p.audit.Excuse(audit.Excuse{Node: n.index, From: p.now, To: f.To})
	n.life++
	n.balancer = nil
	for _, k := range n.calls {
		for _, t := range k.attempts {
			t.ended = true
			p.audit.Over(t.Attempt, p.now, "its node died")
			p.leave(t)
		}
		if !k.answered {
			p.audit.Hear(k.ID, audit.Broken, p.now, "")
		}
	}
	clear(n.calls)
	clear(n.open)
	back := f.To
	if f.Kind == experiment.Restart {
		back = p.now + 500*time.Millisecond
	}
	p.at(back, func() { p.start(n) })
}

func (p *player) strike(f experiment.Fault, i int) {
	s := p.fleet.Servers[i]
	switch f.Kind {
	case experiment.Crash:
		p.crashed[i] = true
	case experiment.Lose:
		p.lost[i] = true
	case experiment.Hang, experiment.Errors:
		s.Fault = f.Kind
	case experiment.Drag:
		s.Factor = f.Factor
	case experiment.Replace:
		p.state[i] = balancer.Draining
		p.tellAll()
		p.at(p.now+time.Second, func() {
			p.gone[s.ID] = true
			p.renew(i, true)
			p.tellAll(s.ID)
		})
	}
}

// renew puts an incarnation in slow start in a server's place.
func (p *player) renew(i int, replacement bool) {
	old := p.fleet.Servers[i]
	p.audit.LifeOver(old, p.now)
	p.state[i], p.lost[i], p.crashed[i] = balancer.Ready, false, false
	s := p.fleet.Renew(i, p.now, replacement)
	p.place[s.ID] = i
}

func (p *player) heal(f experiment.Fault, i int) {
	s := p.fleet.Servers[i]
	switch f.Kind {
	case experiment.Crash, experiment.Lose:
		p.renew(i, false)
		p.tellAll()
	case experiment.Hang, experiment.Errors:
		s.Fault = ""
	case experiment.Drag:
		s.Factor = 1
	}
}
