// Package netio reads and writes open connections and retries transient failures of system calls: the kernel was short of
// memory for a moment, or the call was interrupted. Such a failure loses no byte and is no evidence about the peer. All other
// errors are returned unchanged; deadlines and closes are left to the caller.
package netio

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// RetryPause is the time between a system call that failed transiently and its retry.
const RetryPause = 5 * time.Millisecond

// IsTransient reports whether a read or write failed although the connection is intact: a retry may succeed, and nothing was
// lost.
func IsTransient(err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.EINTR)
}

// Read reads from a connection once, retrying transient failures. It ends when the connection is closed or its deadline passes.
func Read(c net.Conn, p []byte) (int, error) {
	for {
		n, err := c.Read(p)
		if n > 0 || !IsTransient(err) {
			return n, err
		}
		time.Sleep(RetryPause)
	}
}

// Write writes all of p to a connection, retrying transient failures. It returns how many bytes the kernel has accepted;
// with an error these are fewer than len(p).
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
