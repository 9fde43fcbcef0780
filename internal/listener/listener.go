// Package listener keeps listening sockets in service while system calls fail. Accept retries every failure other than the
// listener's close and deadline, and Open retries opening sockets at startup.
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
	// A failure of a single connection has removed it from the queue; connections behind it should not wait. The pause
	// bounds the cost of a persistent failure to 1,000 calls a second.
	connErrorPause = time.Millisecond
	// A shortage of descriptors or memory lasts until some are freed. The pauses double from minShortagePause to
	// maxShortagePause: 50 calls a second cost little, and after the shortage a connection waits no longer than a small part
	// of the shortest deadlines.
	minShortagePause = 5 * time.Millisecond
	maxShortagePause = 20 * time.Millisecond
)

// logInterval is the minimum time between two log messages about failures of one listener.
const logInterval = time.Second

// Listener is a net.Listener whose Accept fails only once it is closed or its deadline has passed.
type Listener struct {
	net.Listener
	log *slog.Logger

	mu         sync.Mutex
	closed     bool
	deadline   time.Time     // zero if none
	changed    chan struct{} // closed, and replaced, whenever closed or deadline changes
	lastLogged time.Time     // when the last failure was logged
	failures   int           // not logged yet
}

// New returns a Listener that accepts from ln and closes it.
func New(ln net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: ln, log: log, changed: make(chan struct{})}
}

// Accept waits for the next connection. A failure is logged and retried after a pause, which ends at once when the
// listener is closed or its deadline passes. Errors wrap net.ErrClosed or os.ErrDeadlineExceeded.
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

// nextPause returns how long to wait after a failure, where last is the pause after the failure before.
func nextPause(last time.Duration, err error) time.Duration {
	if isConnectionError(err) {
		return connErrorPause
	}
	return min(max(2*last, minShortagePause), maxShortagePause)
}

// isConnectionError reports whether an accept failed for the connection that it took from the queue. Linux returns
// network errors that are pending on the new socket from accept, and firewall rules may forbid one connection (accept(2)).
func isConnectionError(err error) bool {
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

// report logs a failure, unless one was logged less than logInterval ago.
func (l *Listener) report(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	if !l.lastLogged.IsZero() && time.Since(l.lastLogged) < logInterval {
		return
	}
	l.log.Warn("accept failed; retrying", "address", l.Addr().String(), "error", err, "failures", l.failures)
	l.lastLogged, l.failures = time.Now(), 0
}

// sleep waits for the pause. It returns early, with the error for Accept, when the listener is closed or its deadline
// passes.
func (l *Listener) sleep(pause time.Duration) error {
	end := time.Now().Add(pause)
	for {
		until, changed, err := l.pauseUntil(end)
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

// pauseUntil returns the end of a pause that is due to end at end, shortened by the deadline, and a channel that is closed
// when the deadline or the listener's state changes. It fails if the listener is closed or its deadline has passed.
func (l *Listener) pauseUntil(end time.Time) (until time.Time, changed <-chan struct{}, err error) {
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
	l.update(func() { l.closed = true })
	return l.Listener.Close()
}

// SetDeadline sets the time from which Accept fails; the zero time means none. It returns errors.ErrUnsupported if the
// underlying listener has no deadlines.
func (l *Listener) SetDeadline(t time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	if err := d.SetDeadline(t); err != nil {
		return err
	}
	l.update(func() { l.deadline = t })
	return nil
}

// update changes closed or deadline by calling set, and wakes pauses so that they check them again.
func (l *Listener) update(set func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set()
	close(l.changed)
	l.changed = make(chan struct{})
}

// SyscallConn implements syscall.Conn if the underlying listener does.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	if c, ok := l.Listener.(syscall.Conn); ok {
		return c.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
