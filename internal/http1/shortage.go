package http1

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// isOwnShortage says that a system call failed for want of something on this machine, or was interrupted: no server is at fault,
// and the same request may pass a moment later. Of a connect or a write it proves that nothing beyond what was counted has left.
func isOwnShortage(err error) bool {
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

// shortPause is before a request is made again that the system had no memory for.
const shortPause = 5 * time.Millisecond

// isPassing says that a read or a write of an open connection failed, though the connection has not: the same request may pass a moment
// later, and nothing was lost.
func isPassing(err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.EINTR)
}

// readAgain reads from a connection, for as long as that fails in passing. The connection's deadline or its close ends it.
func readAgain(c net.Conn, p []byte) (int, error) {
	for {
		n, err := c.Read(p)
		if n > 0 || !isPassing(err) {
			return n, err
		}
		time.Sleep(shortPause)
	}
}

// writeAgain writes all of p to a connection, as readAgain reads.
func writeAgain(c net.Conn, p []byte) (n int, err error) {
	for {
		var more int
		more, err = c.Write(p[n:])
		n += more
		if !isPassing(err) {
			return n, err
		}
		time.Sleep(shortPause)
	}
}
