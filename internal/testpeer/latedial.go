package testpeer

import (
	"context"
	"net"
)

// LateDial has connections come up only when the test lets them, whatever became of the attempt meanwhile: as one does
// that is accepted in the moment in which it is given up.
type LateDial struct {
	Dialing chan struct{} // takes one for each connect
	Up      chan struct{} // closed: connects go on
}

// NewLateDial returns a LateDial that lets nothing up yet.
func NewLateDial() *LateDial {
	return &LateDial{Dialing: make(chan struct{}, 10), Up: make(chan struct{})}
}

// Dial connects once the test lets it.
func (d *LateDial) Dial(_ context.Context, network, address string) (net.Conn, error) {
	d.Dialing <- struct{}{}
	<-d.Up
	return net.Dial(network, address)
}
