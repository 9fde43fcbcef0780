package upstream

import (
	"errors"
	"syscall"
)

// isLocalShortage reports whether a system call failed for lack of a resource of this machine, or was interrupted: no server is at
// fault, and a retry may succeed a moment later. For a connect or a write it proves that nothing was sent beyond the bytes
// counted.
func isLocalShortage(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, // descriptors
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, // memory
		syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, // local ports
		syscall.EPERM, syscall.EACCES, syscall.ENETDOWN, // local firewall rules or a local interface
		syscall.EINTR:
		return true
	}
	return false
}
