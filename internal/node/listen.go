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

// socket is a listening socket. Its front end can be replaced while it stays open, so that no client is rejected when a
// listener is renamed or changes its protocol.
type socket struct {
	*netlistener.Listener
	key      string        // as returned by socketKey
	frontend frontend      // the front end that accepts from it; nil: none
	serveErr chan error    // receives the error of its Serve
	released chan struct{} // closed before Serve is made to return; its error is then expected
}

// socketKey returns the key of a listener's socket. Two listeners, of one configuration or of two, share a socket if their
// keys are equal. A socket with a system-assigned port belongs to one listener only.
func socketKey(l config.Listener) string {
	if _, port, err := net.SplitHostPort(l.Address); err == nil && port == "0" {
		return l.Name + " " + l.Address
	}
	return l.Address
}

// accept starts a front end on the socket. It calls failed if Serve returns before release or shutdown.
func (s *socket) accept(f frontend, failed func(error)) {
	served := make(chan error, 1)
	released := make(chan struct{})
	s.frontend = f
	s.serveErr = served
	s.released = released
	go func() {
		err := f.Serve(s.Listener)
		if !isClosed(released) {
			failed(fmt.Errorf("accept at %s: %w", s.Addr(), err))
		}
		served <- err
	}()
}

// release stops the front end from accepting after a delay and waits until it has stopped. Clients that connected earlier
// stay with it. The socket stays open for another front end.
func (s *socket) release(after time.Duration) error {
	if s.frontend == nil {
		return nil
	}
	close(s.released)
	if err := s.SetDeadline(time.Now().Add(after)); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-s.serveErr
	s.frontend = nil
	return s.SetDeadline(time.Time{})
}

// shutdown closes the socket and waits until its front end has stopped accepting.
func (s *socket) shutdown() error {
	if s.frontend != nil && !isClosed(s.released) {
		close(s.released)
	}
	err := s.Close()
	if s.frontend != nil {
		<-s.serveErr
		s.frontend = nil
	}
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// listener is a listener of a configuration, with its front end and the socket that the front end accepts from.
type listener struct {
	cfg      config.Listener
	socket   *socket
	frontend frontend
}

// frontend serves the clients of a listener in the listener's protocol.
type frontend interface {
	// Serve accepts clients until the listener fails, is closed or reaches its deadline, and returns the listener's error.
	Serve(net.Listener) error
	// SetReady sets whether health checks report the node as ready.
	SetReady(bool)
	// SetClosing sets whether each response closes its connection.
	SetClosing(bool)
	// CloseIdle closes idle connections, those without an open request, and returns the number of all that are left.
	CloseIdle() int
}

// newFrontend creates the front end of a listener. It accepts nothing before Serve.
func (n *Node) newFrontend(l config.Listener) frontend {
	if l.Protocol == config.FastCGI {
		return fastcgi.NewFront(l.Name, n.clock, n.clients, n.dispatcher, &n.metrics, n.log)
	}
	return http1.NewFront(l.Name, n.clock, n.clients, n.dispatcher, &n.metrics, n.log)
}

// Times for retiring a listener.
const (
	acceptGrace       = 50 * time.Millisecond // for connected clients that are not accepted yet
	closeIdleInterval = 20 * time.Millisecond // interval of closing idle connections
)

// retireFrontend closes the connections of a front end after their responses. It returns once none is left or the node is
// closed.
func (n *Node) retireFrontend(f frontend) {
	f.SetClosing(true)
	for f.CloseIdle() > 0 {
		clock.Sleep(n.incarnation, closeIdleInterval)
		if n.incarnation.Err() != nil {
			return
		}
	}
}

// listen opens a socket without accepting from it.
func (n *Node) listen(l config.Listener) (*socket, error) {
	ln, err := n.options.Listen("tcp", l.Address)
	if err != nil {
		return nil, fmt.Errorf("listener %q: %s: %w", l.Name, l.Address, withoutAddress(err))
	}
	return &socket{Listener: netlistener.New(ln, n.log.With("listener", l.Name)), key: socketKey(l)}, nil
}

// withoutAddress returns the system error in a net error, whose own text repeats the operation and the address. It returns
// other errors unchanged.
func withoutAddress(err error) error {
	var opError *net.OpError
	var sysError *os.SyscallError
	if errors.As(err, &opError) && errors.As(opError.Err, &sysError) {
		return sysError.Err
	}
	return err
}
