package testpeer

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// AcceptErrors returns the errors with which accept may fail temporarily (see accept(2)), and an unknown errno.
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

// FailingListener is a listener whose Accept fails as the test specifies.
type FailingListener struct {
	*net.TCPListener

	mu      sync.Mutex
	next    []error // errors of the next accepts, in this order
	forever error   // error of all accepts after those in next; nil if they succeed
	failed  int
	waiting bool // an accept without an injected error is in progress
}

// NewFailingListener listens on loopback. The caller must close the listener.
func NewFailingListener(t TB) *FailingListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("%v", err)
	}
	return &FailingListener{TCPListener: ln.(*net.TCPListener)}
}

// FailNext makes the next accepts that begin fail, one with each error in order.
func (l *FailingListener) FailNext(errs ...error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = append(l.next, errs...)
}

// FailAlways makes all accepts that begin from now on fail with err; nil ends that.
func (l *FailingListener) FailAlways(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forever = err
}

// AwaitAccept waits until an accept without an injected error is in progress. It will accept the next connection even if
// errors are set afterwards.
func (l *FailingListener) AwaitAccept(t TB) {
	t.Helper()
	Until(t, "accept in progress", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.waiting
	})
}

// Failed returns the number of accepts that failed with an injected error.
func (l *FailingListener) Failed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Accept implements net.Listener.
func (l *FailingListener) Accept() (net.Conn, error) {
	if err := l.nextError(); err != nil {
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

// nextError returns the injected error of the accept that begins now, or nil.
func (l *FailingListener) nextError() error {
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
