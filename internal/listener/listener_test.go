package listener

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"damsontrestle/internal/testpeer"
)

// fakeListener is a listener whose Accept is a function of the test.
type fakeListener struct {
	accept func() (net.Conn, error)
}

func (s fakeListener) Accept() (net.Conn, error)     { return s.accept() }
func (s fakeListener) Close() error                  { return nil }
func (s fakeListener) Addr() net.Addr                { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }
func (s fakeListener) SetDeadline(_ time.Time) error { return nil }

// newFailingListener returns a listener whose every accept fails with err, the number of accepts, and its log.
func newFailingListener(err error) (l *Listener, accepts *int, log *bytes.Buffer) {
	accepts, log = new(int), new(bytes.Buffer)
	return New(fakeListener{func() (net.Conn, error) { *accepts++; return nil, err }}, slog.New(slog.NewTextHandler(log, nil))), accepts, log
}

// Every kind of accept failure is retried with a pause between the minimum and the maximum, and seconds of failures write
// one log message a second.
func TestAcceptRetriesAndLogsOnceASecond(t *testing.T) {
	const failing = 5 * time.Second
	for _, failure := range testpeer.AcceptErrors() {
		synctest.Test(t, func(t *testing.T) {
			l, accepts, log := newFailingListener(failure)
			time.AfterFunc(failing, func() { l.Close() })
			if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Errorf("%v: Accept returned %v", failure, err)
			}
			least, most := int(failing/maxShortagePause), int(failing/connErrorPause)+1
			if *accepts < least || *accepts > most {
				t.Errorf("%v: %d accepts in %v, want %d to %d", failure, *accepts, failing, least, most)
			}
			lines := strings.Count(log.String(), "accept failed; retrying")
			if most := int(failing/logInterval) + 1; lines < most-2 || lines > most {
				t.Errorf("%v: %d log messages in %v", failure, lines, failing)
			}
			if !strings.Contains(log.String(), "127.0.0.1:1") || !strings.Contains(log.String(), failure.Error()) {
				t.Errorf("%v: the log lacks the address or the error: %.200s", failure, log)
			}
		})
	}
}

// A connection behind a failed one is accepted within the pause of that failure, and a success resets the growth of the
// pauses.
func TestPausesAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var script []error
		l := New(fakeListener{func() (net.Conn, error) {
			if len(script) == 0 {
				return nil, nil
			}
			err := script[0]
			script = script[1:]
			return nil, err
		}}, slog.New(slog.DiscardHandler))
		for _, c := range []struct {
			failures []error
			took     time.Duration
		}{
			{nil, 0},
			{[]error{syscall.EPROTO}, time.Millisecond},
			{[]error{syscall.EPROTO, syscall.ECONNABORTED, syscall.EPERM}, 3 * time.Millisecond},
			{[]error{syscall.EMFILE}, 5 * time.Millisecond},
			{[]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}, 55 * time.Millisecond},
			{[]error{syscall.EMFILE}, 5 * time.Millisecond},
		} {
			script = c.failures
			begin := time.Now()
			if _, err := l.Accept(); err != nil {
				t.Errorf("%v: %v", c.failures, err)
			}
			if took := time.Since(begin); took != c.took {
				t.Errorf("%v: Accept returned after %v, want %v", c.failures, took, c.took)
			}
		}
	})
}

// During a pause, a close or a deadline in the past ends Accept at once, and a deadline in the future ends it when it
// passes. Once the deadline is removed, Accept retries again.
func TestCloseAndDeadlineEndPause(t *testing.T) {
	const duringPause = 42 * time.Millisecond // 5, 10 and 20 ms have passed, and 7 of the next 20
	for _, c := range []struct {
		name   string
		action func(*Listener)
		want   error
		took   time.Duration
	}{
		{"closed", func(l *Listener) { l.Close() }, net.ErrClosed, 0},
		{"past deadline", func(l *Listener) { l.SetDeadline(time.Now()) }, os.ErrDeadlineExceeded, 0},
		{"deadline within the pause", func(l *Listener) { l.SetDeadline(time.Now().Add(3 * time.Millisecond)) }, os.ErrDeadlineExceeded, 3 * time.Millisecond},
		{"deadline after more pauses", func(l *Listener) { l.SetDeadline(time.Now().Add(50 * time.Millisecond)) }, os.ErrDeadlineExceeded, 50 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			l, accepts, _ := newFailingListener(syscall.ENOBUFS)
			var at time.Time
			time.AfterFunc(duringPause, func() { at = time.Now(); c.action(l) })
			if _, err := l.Accept(); !errors.Is(err, c.want) || time.Since(at) != c.took {
				t.Errorf("%s: Accept returned %v after %v", c.name, err, time.Since(at))
			}
			if c.want == net.ErrClosed {
				return
			}
			l.SetDeadline(time.Time{})
			before := *accepts
			time.AfterFunc(duringPause, func() { l.Close() })
			if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) || *accepts-before != 4 {
				t.Errorf("%s: the next Accept returned %v after %d accepts", c.name, err, *accepts-before)
			}
		})
	}
}

// An operation that the underlying listener does not support returns errors.ErrUnsupported, and Accept still works.
func TestListenerWithoutDeadlines(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	accept := func() (net.Conn, error) { return a, nil }
	l := New(struct{ net.Listener }{fakeListener{accept}}, slog.New(slog.DiscardHandler))
	if err := l.SetDeadline(time.Now()); !errors.Is(err, errors.ErrUnsupported) {
		t.Errorf("SetDeadline: %v", err)
	}
	if _, err := l.SyscallConn(); !errors.Is(err, errors.ErrUnsupported) {
		t.Errorf("SyscallConn: %v", err)
	}
	if c, err := l.Accept(); err != nil || c != a {
		t.Errorf("Accept: %v, %v", c, err)
	}
}
