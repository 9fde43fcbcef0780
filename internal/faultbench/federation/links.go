package federation

import (
	"damsontrestle/internal/faultbench/link"
)

// between is how datagrams pass between two gateways.
func (l *Federation) datagramShape(from, to string) link.Shape {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shapes[[2]string{from, to}]
}

// Set has everything that goes from one gateway to another pass so: links, requests and datagrams, by whoever they were opened.
func (l *Federation) SetShape(from, to *Gateway, s link.Shape) {
	// What a link says in one direction goes over the relay before the one it was opened to, or before the one that opened it.
	l.mu.Lock()
	l.shapes[[2]string{from.IP, to.IP}] = s
	there, back := l.shapes[[2]string{from.IP, to.IP}], l.shapes[[2]string{to.IP, from.IP}]
	l.mu.Unlock()
	to.links.SetFrom(from.IP, connectionShape(there, back))
	to.calls.SetFrom(from.IP, connectionShape(there, back))
	from.links.SetFrom(to.IP, connectionShape(back, there))
	from.calls.SetFrom(to.IP, connectionShape(back, there))
}

// pair is the shape of a connection whose near side speaks by one shape, and its far side by another.
func connectionShape(there, back link.Shape) link.Shape {
	s := there.Over(back)
	s.CutThere, s.CutBack = there.CutThere, back.CutThere
	return s
}

// Cut cuts all that goes from some gateways to others, and back where both is set. It returns what mends it.
func (l *Federation) Cut(from, to []*Gateway, both bool) (heal func()) {
	set := func(s link.Shape) {
		for _, a := range from {
			for _, b := range to {
				if a == b {
					continue
				}
				l.SetShape(a, b, s)
				if both {
					l.SetShape(b, a, s)
				}
			}
		}
	}
	set(link.Shape{CutThere: true})
	return func() { set(link.Shape{}) }
}

// Of are the gateways of a partner, but for some.
func (l *Federation) PartnerGateways(partner int, but ...*Gateway) (out []*Gateway) {
	for _, g := range l.Gateways {
		if g.Partner == partner && !contains(but, g) {
			out = append(out, g)
		}
	}
	return out
}

// But are all gateways but some.
func (l *Federation) GatewaysExcept(but ...*Gateway) (out []*Gateway) {
	for _, g := range l.Gateways {
		if !contains(but, g) {
			out = append(out, g)
		}
	}
	return out
}

func contains(list []*Gateway, g *Gateway) bool {
	for _, o := range list {
		if o == g {
			return true
		}
	}
	return false
}
