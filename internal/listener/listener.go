// Package listener keeps listening sockets in service while system calls fail. Accept tries again after every
// failure but the listener's own end, and Open does so for the sockets of a start.
package listener

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Pauses after a failed accept.
const (
	// One that concerns a single connection has taken it out of the queue: those behind it should not wait. The
	// pause only bounds what a failure that stays would cost, to 1,000 requests a second.
	onePause = time.Millisecond
	// One for want of descriptors or memory needs somebody to give some back. The pauses double from shortageFrom
	// to shortageMost: 50 requests a second cost nothing, and once the shortage is over connections wait no longer
	// than a small part of the shortest deadlines.
	shortageFrom = 5 * time.Millisecond
	shortageMost = 20 * time.Millisecond
)

// logEvery is the least time between two lines about failures of one listener.
const logEvery = time.Second

// Listener is a net.Listener whose Accept fails only once it is closed or its deadline has passed.
type Listener struct {
	net.Listener
	log *slog.Logger

	mu       sync.Mutex
	closed   bool
	deadline time.Time     // zero: none
	changed  chan struct{} // closed, and replaced, whenever closed or deadline changes
	logged   time.Time     // when the last line was written
	failures int           // since then
}

// New returns a Listener that accepts from ln and closes it.
func New(ln net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: ln, log: log, changed: make(chan struct{})}
}

// Accept waits for the next connection. A failure is logged, and tried again after a pause, which ends at once
// when the listener is closed or its deadline passes. Errors wrap net.ErrClosed or os.ErrDeadlineExceeded.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := time.Duration(0); ; {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		l.report(err)
		pause = nextPause(pause, err)
		if err := l.sleep(pause); err != nil {
			return nil, &net.OpError{Op: "accept", Net: l.Addr().Network(), Addr: l.Addr(), Err: err}
		}
	}
}

// nextPause is how long to wait after a failure that follows a pause of last.
func nextPause(last time.Duration, err error) time.Duration {
	if concernsOneConnection(err) {
		return onePause
	}
	return min(max(2*last, shortageFrom), shortageMost)
}

// concernsOneConnection says that an accept failed for the connection that it took from the queue. Linux passes
// network errors that are pending on a new socket to accept, and firewall rules may forbid one (accept(2)).
func concernsOneConnection(err error) bool {
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EPERM, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
		syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENONET, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// report logs a failure, unless a line was written less than logEvery ago.
func (l *Listener) report(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	if !l.logged.IsZero() && time.Since(l.logged) < logEvery {
		return
	}
	l.log.Warn("accept fails and is tried again", "address", l.Addr().String(), "error", err, "failures", l.failures)
	l.logged, l.failures = time.Now(), 0
}

// sleep waits for a pause to be over. It returns early, with the reason, when the listener is closed or its
// deadline passes.
func (l *Listener) sleep(pause time.Duration) error {
	end := time.Now().Add(pause)
	for {
		until, changed, err := l.wakeAt(end)
		if err != nil {
			return err
		}
		left := time.Until(until)
		if left <= 0 {
			return nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// wakeAt is until when a pause that would last to end may go on, and what tells that this has changed. It fails if
// the listener is closed or its deadline has passed.
func (l *Listener) wakeAt(end time.Time) (until time.Time, changed <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return end, nil, net.ErrClosed
	case l.deadline.IsZero():
		return end, l.changed, nil
	case time.Until(l.deadline) <= 0:
		return end, nil, os.ErrDeadlineExceeded
	case l.deadline.Before(end):
		return l.deadline, l.changed, nil
	}
	return end, l.changed, nil
}

// Close closes the listener. An Accept that waits, or pauses after a failure, returns.
func (l *Listener) Close() error {
	l.change(func() { l.closed = true })
	return l.Listener.Close()
}

// SetDeadline has Accept fail from a time on; zero: it no longer does. It fails where the listener has no deadlines.
func (l *Listener) SetDeadline(t time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	if err := d.SetDeadline(t); err != nil {
		return err
	}
	l.change(func() { l.deadline = t })
	return nil
}

// change changes what a pause goes by, and has pauses look again.
func (l *Listener) change(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
	close(l.changed)
	l.changed = make(chan struct{})
}

// SyscallConn implements syscall.Conn where the listener does.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	if c, ok := l.Listener.(syscall.Conn); ok {
		return c.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
