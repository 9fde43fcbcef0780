package http1

import (
	"net"
	"syscall"
)

// rawConn is the connection below the runtime's, or nil if there is none.
func rawConn(nc net.Conn) syscall.RawConn {
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// peek looks into the kernel's buffer of a connection: whether its other side has said something that
// was not read yet, or has closed.
func peek(fd uintptr) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// awaitBytes waits until a connection has bytes to read, has been closed by either side, or has failed.
func awaitBytes(nc net.Conn) {
	if raw := rawConn(nc); raw != nil {
		raw.Read(peek) // an error shows at the next read
	}
}

// spokenOrClosed asks the same without waiting.
func spokenOrClosed(nc net.Conn) (is bool) {
	raw := rawConn(nc)
	if raw == nil {
		return false
	}
	// Control and not Read: the connection's reader holds the lock that Read takes.
	err := raw.Control(func(fd uintptr) { is = peek(fd) })
	return is || err != nil
}
