package upstream

import (
	"damsontrestle/internal/netio"
	"net"
	"syscall"
	"time"
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

// receiver is syscall.Recvfrom, or what a test has instead.
type receiver func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error)

// peekInput looks into the kernel's buffer of a connection: whether its other side has said something that was not read yet, or has
// closed. short: it could not be told, for the system was out of memory.
func peekInput(fd uintptr, receive receiver) (spoken, short bool) {
	var one [1]byte
	for {
		_, _, err := receive(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case syscall.EINTR:
		case syscall.EAGAIN:
			return false, false
		case syscall.ENOMEM, syscall.ENOBUFS:
			return false, true
		default:
			return true, false
		}
	}
}

// awaitInput waits until a connection has bytes to read, has been closed by either side, or has failed.
func awaitInput(nc net.Conn, receive receiver) {
	raw := rawConn(nc)
	if raw == nil {
		return
	}
	for {
		var short bool
		err := raw.Read(func(fd uintptr) bool {
			var spoken bool
			spoken, short = peekInput(fd, receive)
			return spoken || short // what was short is not waited for: its bytes may have come already, and wake nobody
		})
		if err != nil || !short { // an error shows at the next read
			return
		}
		time.Sleep(netio.RetryPause)
	}
}

// inputOf asks the same without waiting.
func inputOf(nc net.Conn, receive receiver) (is, short bool) {
	raw := rawConn(nc)
	if raw == nil {
		return false, false
	}
	// Control and not Read: the connection's reader holds the lock that Read takes.
	err := raw.Control(func(fd uintptr) { is, short = peekInput(fd, receive) })
	return is || err != nil, short
}
