// Package netio reads and writes open connections through failures of system calls that pass: the kernel was short of
// memory for a moment, or the call was interrupted. Such a failure loses no byte and says nothing of the other side. Every
// other error is returned as the connection gave it; deadlines and closes stay with the caller.
package netio

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// RetryPause is the time between two system calls of which the first failed in passing.
const RetryPause = 5 * time.Millisecond

// IsTransient reports whether a read or write of an open connection failed although the connection has not: the same call
// may succeed a moment later, and nothing was lost.
func IsTransient(err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.EINTR)
}

// Read reads from a connection once, repeating reads that fail in passing. The connection's deadline or its close ends it.
func Read(c net.Conn, p []byte) (int, error) {
	for {
		n, err := c.Read(p)
		if n > 0 || !IsTransient(err) {
			return n, err
		}
		time.Sleep(RetryPause)
	}
}

// Write writes all of p to a connection, repeating writes that fail in passing. It returns how many bytes the kernel has
// taken, which with an error are fewer than all.
func Write(c net.Conn, p []byte) (int, error) {
	written := 0
	for {
		n, err := c.Write(p[written:])
		written += n
		if !IsTransient(err) {
			return written, err
		}
		time.Sleep(RetryPause)
	}
}
