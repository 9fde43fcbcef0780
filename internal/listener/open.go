package listener

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"syscall"
	"time"

	"damsontrestle/internal/clock"
)

// OpenTimeout bounds the reattempts of opening all sockets at startup: most restarted nodes must be ready within 10 s, or
// within 6 s late in a day.
const OpenTimeout = 4 * time.Second

// openRetryInterval is the time between two attempts to open a socket.
const openRetryInterval = 50 * time.Millisecond

// Open calls open until it succeeds, fails with an error that is not transient, or ctx ends, and returns its last result.
// The first failure is logged.
func Open[T any](ctx context.Context, log *slog.Logger, open func() (T, error)) (T, error) {
	begin := time.Now()
	for attempts := 1; ; attempts++ {
		opened, err := open()
		switch {
		case err == nil || !IsTransient(err):
			return opened, err
		case ctx.Err() != nil:
			return opened, fmt.Errorf("%w (%d attempts in %v)", err, attempts, time.Since(begin).Round(time.Millisecond))
		case attempts == 1:
			log.Warn("opening a socket failed; retrying", "error", err)
		}
		clock.Sleep(ctx, openRetryInterval)
	}
}

// IsTransient reports whether a failure to open a socket (socket(2), bind(2), listen(2)) may pass without a change of the
// configuration: descriptors or memory are short, another process has the port, or an interface or its address is not up
// yet. Missing permissions (EACCES), an unsupported address family, a missing path and an invalid address are permanent.
func IsTransient(err error) bool {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR,
		syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
		syscall.EPERM, syscall.EPROTO,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
