package federation

import (
	"damsontrestle/internal/faultbench/link"
)

// datagramShape returns the shape of datagrams from one gateway to another.
func (l *Federation) datagramShape(from, to string) link.Shape {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shapes[[2]string{from, to}]
}

// SetShape shapes all traffic from one gateway to another: links, requests and datagrams, whichever side opened the connection.
func (l *Federation) SetShape(from, to *Gateway, s link.Shape) {
	// Traffic in one direction passes the relay of the accepting gateway, which is either of the two.
	l.mu.Lock()
	l.shapes[[2]string{from.IP, to.IP}] = s
	there, back := l.shapes[[2]string{from.IP, to.IP}], l.shapes[[2]string{to.IP, from.IP}]
	l.mu.Unlock()
	to.links.SetForSource(from.IP, connectionShape(there, back))
	to.calls.SetForSource(from.IP, connectionShape(there, back))
	from.links.SetForSource(to.IP, connectionShape(back, there))
	from.calls.SetForSource(to.IP, connectionShape(back, there))
}

// connectionShape combines the shapes of the two directions of a connection.
func connectionShape(there, back link.Shape) link.Shape {
	s := there.Combine(back)
	s.CutForward, s.CutReturn = there.CutForward, back.CutForward
	return s
}

// Cut drops all traffic from some gateways to others, and the reverse traffic too if both is set. Calling heal ends the partition.
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
	set(link.Shape{CutForward: true})
	return func() { set(link.Shape{}) }
}

// PartnerGateways returns the gateways of a partner except those listed.
func (l *Federation) PartnerGateways(partner int, but ...*Gateway) (out []*Gateway) {
	for _, g := range l.Gateways {
		if g.Partner == partner && !contains(but, g) {
			out = append(out, g)
		}
	}
	return out
}

// GatewaysExcept returns all gateways except those listed.
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
