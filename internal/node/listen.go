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

// socket is a listening socket. Which front accepts from it can change while it stays open, so that no client
// is refused when a listener gets another name or protocol.
type socket struct {
	*netlistener.Listener
	key      string        // of the address in configurations
	front    front         // that accepts from it; nil: none yet
	served   chan error    // what its Serve returned
	released chan struct{} // closed when Serve is to return without a failure
}

// socketKey tells whether two listeners, of one configuration or of two, would have the same socket. One whose
// port the system chooses is its listener's own.
func socketKey(l config.Listener) string {
	if _, port, err := net.SplitHostPort(l.Address); err == nil && port == "0" {
		return l.Name + " " + l.Address
	}
	return l.Address
}

// accept has a front end accept from the socket. If that fails, failed is told why.
func (s *socket) accept(f front, failed func(error)) {
	s.front, s.served, s.released = f, make(chan error, 1), make(chan struct{})
	ended, leave := s.served, s.released
	go func() {
		err := f.Serve(s.Listener)
		select {
		case <-leave:
		default:
			failed(fmt.Errorf("accept at %s: %w", s.Addr(), err))
		}
		ended <- err
	}()
}

// release has the front end accept no more, from a while after now on; clients that have connected by then are
// its own.
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

// shutdown closes the socket.
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
	// SetReady has health answers say from now on whether clients should be sent here.
	SetReady(bool)
	// SetClosing says whether each answer from now on ends its connection.
	SetClosing(bool)
	// CloseQuiet closes the connections of clients that ask nothing, and tells how many are left of all.
	CloseQuiet() int
}

// newFront is a front end for a listener; nothing is accepted before Serve.
func (n *Node) newFront(l config.Listener) front {
	if l.Protocol == config.FastCGI {
		return fastcgi.NewFront(l.Name, n.clock, n.clients, n.requests, &n.metrics, n.log)
	}
	return http1.NewFront(l.Name, n.clock, n.clients, n.requests, &n.metrics, n.log)
}

// Times of a listener that goes: clients that have connected but were not accepted yet are heard, and then
// each has its answer and is closed.
const (
	acceptGrace   = 50 * time.Millisecond
	closeIdleStep = 20 * time.Millisecond
)

// retireFront lets the clients of a front end go until none is left.
func (n *Node) retireFront(f front) {
	f.SetClosing(true)
	for f.CloseQuiet() > 0 {
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
		var op *net.OpError
		if errors.As(err, &op) {
			var sys *os.SyscallError
			if errors.As(op.Err, &sys) {
				err = sys.Err
			}
		}
		return nil, fmt.Errorf("listener %q: %s: %w", l.Name, l.Address, err)
	}
	return &socket{Listener: netlistener.New(ln, n.log.With("listener", l.Name)), key: socketKey(l)}, nil
}
