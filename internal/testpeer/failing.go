package testpeer

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// AcceptErrors are what accept may fail with for a moment (accept(2)), and one that nobody has heard of.
func AcceptErrors() []error {
	var all []error
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.Errno(4000),
	} {
		all = append(all, os.NewSyscallError("accept4", errno))
	}
	return all
}

// FailingListener is a listener whose accepts fail as a test says.
type FailingListener struct {
	*net.TCPListener

	mu      sync.Mutex
	next    []error // of the next accepts, in this order
	forever error   // of all accepts behind them; nil: they succeed
	failed  int
	waiting bool // an accept that is not to fail is under way
}

// NewFailingListener listens on loopback; whoever gets it closes it.
func NewFailingListener(t TB) *FailingListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("%v", err)
	}
	return &FailingListener{TCPListener: ln.(*net.TCPListener)}
}

// FailNext has the accepts that begin from now on fail, one with each error.
func (l *FailingListener) FailNext(errs ...error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = append(l.next, errs...)
}

// FailAlways has all accepts that begin from now on fail; nil: no longer.
func (l *FailingListener) FailAlways(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forever = err
}

// AwaitAccept waits until an accept that is not to fail is under way: the next connection is accepted, whatever is said
// of the accepts behind it.
func (l *FailingListener) AwaitAccept(t TB) {
	t.Helper()
	Until(t, "an accept", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.waiting
	})
}

// Failed is how many accepts have failed as the test said.
func (l *FailingListener) Failed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Accept implements net.Listener.
func (l *FailingListener) Accept() (net.Conn, error) {
	if err := l.fault(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: err}
	}
	defer l.accepted()
	return l.TCPListener.Accept()
}

func (l *FailingListener) accepted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = false
}

// fault is what the accept that begins now fails with; nil: it does not.
func (l *FailingListener) fault() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.forever
	if len(l.next) > 0 {
		err = l.next[0]
		l.next = l.next[1:]
	}
	if err != nil {
		l.failed++
	}
	l.waiting = err == nil
	return err
}
