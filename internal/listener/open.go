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

// Patience is for how long a start tries to open its sockets, over all of them: most restarted nodes must be ready
// within 10 s, or 6 s late in a day.
const Patience = 4 * time.Second

// openPause lies between two tries.
const openPause = 50 * time.Millisecond

// Open requests open until it succeeds, fails for a reason that does not pass, or ctx ends, and returns what it
// returned last. The first failure is logged.
func Open[T any](ctx context.Context, log *slog.Logger, open func() (T, error)) (T, error) {
	begin := time.Now()
	for tries := 1; ; tries++ {
		opened, err := open()
		switch {
		case err == nil || !Passes(err):
			return opened, err
		case ctx.Err() != nil:
			return opened, fmt.Errorf("%w (%d tries in %v)", err, tries, time.Since(begin).Round(time.Millisecond))
		case tries == 1:
			log.Warn("a socket can't be opened and is tried again", "error", err)
		}
		clock.Sleep(ctx, openPause)
	}
}

// Passes says whether a socket that can't be opened (socket(2), bind(2), listen(2)) may be soon, with nothing changed
// but what other processes and the system do: descriptors or memory are short, another process has the port, an
// interface or its address is not up yet. Permissions (EACCES), a family that the system has not, a path that is
// not there and an address that can't be read stay as they are.
func Passes(err error) bool {
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
