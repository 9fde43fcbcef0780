package node

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/fastcgi"
	"damsontrestle/internal/http1"
	netlistener "damsontrestle/internal/listener"
)

// socket is a listening socket. The front end that accepts from it can change while it stays open, so that no client
// is rejected when a listener gets another name or protocol.
type socket struct {
	*netlistener.Listener
	key      string        // of the address in configurations
	front    front         // that accepts from it; nil: none yet
	served   chan error    // takes the error of its Serve
	released chan struct{} // closed when Serve is to return without a failure
}

// socketKey is the same for two listeners, of one configuration or of two, that share a socket. A socket whose port the
// system chooses belongs to one listener.
func socketKey(l config.Listener) string {
	if _, port, err := net.SplitHostPort(l.Address); err == nil && port == "0" {
		return l.Name + " " + l.Address
	}
	return l.Address
}

// accept has a front end accept from the socket. failed is called if that fails before release or shutdown.
func (s *socket) accept(f front, failed func(error)) {
	served := make(chan error, 1)
	released := make(chan struct{})
	s.front = f
	s.served = served
	s.released = released
	go func() {
		err := f.Serve(s.Listener)
		if !isClosed(released) {
			failed(fmt.Errorf("accept at %s: %w", s.Addr(), err))
		}
		served <- err
	}()
}

// release has the front end accept no more after a while, and waits for it; clients that have connected by then stay
// with it. The socket stays open for another front end.
func (s *socket) release(after time.Duration) error {
	if s.front == nil {
		return nil
	}
	close(s.released)
	if err := s.SetDeadline(time.Now().Add(after)); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-s.served
	s.front = nil
	return s.SetDeadline(time.Time{})
}

// shutdown closes the socket and waits until its front end accepts no more.
func (s *socket) shutdown() error {
	if s.front != nil && !isClosed(s.released) {
		close(s.released)
	}
	err := s.Close()
	if s.front != nil {
		<-s.served
		s.front = nil
	}
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// listener is a front end and the socket that it accepts from, as a configuration names them.
type listener struct {
	cfg    config.Listener
	socket *socket
	front  front
}

// front serves the clients of a listener in its protocol.
type front interface {
	// Serve accepts clients until the listener fails, is closed or has a deadline in the past, and returns its error.
	Serve(net.Listener) error
	// SetReady sets what answers to health checks say from now on.
	SetReady(bool)
	// SetClosing sets whether each response from now on closes its connection.
	SetClosing(bool)
	// CloseIdle closes idle connections, on which no request is open, and returns how many are left of all.
	CloseIdle() int
}

// newFront is a front end for a listener; nothing is accepted before Serve.
func (n *Node) newFront(l config.Listener) front {
	if l.Protocol == config.FastCGI {
		return fastcgi.NewFront(l.Name, n.clock, n.clients, n.requests, &n.metrics, n.log)
	}
	return http1.NewFront(l.Name, n.clock, n.clients, n.requests, &n.metrics, n.log)
}

// Times of a listener that is retired.
const (
	acceptGrace   = 50 * time.Millisecond // for clients that have connected but were not accepted yet
	closeIdleStep = 20 * time.Millisecond // between two looks for idle connections
)

// retireFront closes the connections of a front end after their responses, until none is left or the node ends.
func (n *Node) retireFront(f front) {
	f.SetClosing(true)
	for f.CloseIdle() > 0 {
		clock.Sleep(n.incarnation, closeIdleStep)
		if n.incarnation.Err() != nil {
			return
		}
	}
}

// listen opens a socket; nothing is accepted yet.
func (n *Node) listen(l config.Listener) (*socket, error) {
	ln, err := n.options.Listen("tcp", l.Address)
	if err != nil {
		return nil, fmt.Errorf("listener %q: %s: %w", l.Name, l.Address, withoutAddress(err))
	}
	return &socket{Listener: netlistener.New(ln, n.log.With("listener", l.Name)), key: socketKey(l)}, nil
}

// withoutAddress is the system's own error within an error of net, which repeats operation and address.
func withoutAddress(err error) error {
	var op *net.OpError
	var system *os.SyscallError
	if errors.As(err, &op) && errors.As(op.Err, &system) {
		return system.Err
	}
	return err
}
