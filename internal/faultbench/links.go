package faultbench

import (
	"slices"

	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/link"
)

// linkShape returns the present shape of the link from a zone's nodes to the server at a place; place < 0 matches any server.
func (f *fleet) linkShape(from, to string, place int) link.Shape {
	l := f.experiment.LinkBetween(from, to)
	s := link.Shape{Delay: l.Delay, Jitter: l.Jitter}
	f.mu.Lock()
	faults := slices.Clone(f.linkFaults)
	f.mu.Unlock()
	for _, ft := range faults {
		if ft.AffectsLink(from, to) && (place < 0 || slices.Contains(ft.Select(f.experiment.Seed, len(f.world.Servers)), place)) {
			s = s.Combine(faultShape(ft))
		}
	}
	return s
}

// faultShape returns the effect of a link fault on a link.
func faultShape(ft experiment.Fault) link.Shape {
	switch ft.Kind {
	case experiment.Cut:
		return link.Shape{CutForward: true, CutReturn: true}
	case experiment.CutForward:
		return link.Shape{CutForward: true}
	case experiment.CutReturn:
		return link.Shape{CutReturn: true}
	case experiment.Reset:
		return link.Shape{Reset: true}
	case experiment.Refuse:
		return link.Shape{Refuse: true}
	}
	return link.Shape{Delay: ft.Delay, Jitter: ft.Jitter, Loss: ft.Loss, Duplicate: ft.Duplicate, Reorder: ft.Reorder, Bandwidth: ft.Bandwidth}
}

// nodeLinkShape returns the present shape of datagram links between two zones: a cut between nodes and servers of two zones
// also cuts their nodes off from one another.
func (f *fleet) nodeLinkShape(from, to string) link.Shape {
	s := f.linkShape(from, to, -1)
	if f.linkShape(to, from, -1).CutReturn { // the return direction there is the forward direction here
		s.CutForward = true
	}
	return s
}

// updateLinks applies the present shape to all links.
func (f *fleet) updateLinks() {
	for _, h := range f.hosts {
		h.mu.Lock()
		down, zone := h.down, h.server.Zone
		h.mu.Unlock()
		for z, r := range h.relays {
			s := f.linkShape(f.zones[z], zone, h.place)
			switch down {
			case experiment.Crash:
				s = link.Shape{Refuse: true, Reset: true}
			case experiment.MachineLoss:
				s.CutForward, s.CutReturn = true, true
			}
			f.fail(r.Set(s))
		}
	}
	for _, n := range f.nodes {
		if n.agent != nil {
			f.fail(n.agent.Set(f.linkShape(n.zone, experiment.RegistryZone, -1)))
		}
	}
}
