package upstream

import (
	"errors"
	"syscall"
)

// isLocalShortage reports whether a system call failed for want of something on this machine, or was interrupted: no server is at fault,
// and the same request may pass a moment later. Of a connect or a write it proves that nothing beyond what was counted has left.
func isLocalShortage(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, // descriptors
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, // memory
		syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, // local ports
		syscall.EPERM, syscall.EACCES, syscall.ENETDOWN, // a filter's rules, or an interface, of this machine
		syscall.EINTR:
		return true
	}
	return false
}
