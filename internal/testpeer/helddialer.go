package testpeer

import (
	"context"
	"net"
)

// HeldDialer delays connection attempts until the test releases them, and then connects even if the attempt's context
// has been cancelled. This reproduces a connection that is accepted at the moment its attempt is abandoned.
type HeldDialer struct {
	Dialing chan struct{} // receives one value for each attempt
	Release chan struct{} // closed by the test to release the attempts
}

// NewHeldDialer returns a HeldDialer that holds all attempts.
func NewHeldDialer() *HeldDialer {
	return &HeldDialer{Dialing: make(chan struct{}, 10), Release: make(chan struct{})}
}

// Dial connects once Release is closed. It ignores the context.
func (d *HeldDialer) Dial(_ context.Context, network, address string) (net.Conn, error) {
	d.Dialing <- struct{}{}
	<-d.Release
	return net.Dial(network, address)
}
