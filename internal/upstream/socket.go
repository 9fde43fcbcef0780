package upstream

import (
	"net"
	"strconv"
	"syscall"
	"time"

	"damsontrestle/internal/netio"
)

// inputState says what the kernel's buffer of a connection holds.
type inputState int

const (
	inputNone    inputState = iota // open, and everything that came was read
	inputPending                   // unread bytes, an error, or the other side's close
	inputUnknown                   // the system was out of memory and could not tell
)

// String names the state.
func (s inputState) String() string {
	switch s {
	case inputNone:
		return "none"
	case inputPending:
		return "pending"
	case inputUnknown:
		return "unknown"
	}
	return "input state " + strconv.Itoa(int(s))
}

// recvfromFunc is syscall.Recvfrom, or what a test has instead.
type recvfromFunc func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error)

// rawConn returns the connection below the runtime's, or nil if there is none.
func rawConn(nc net.Conn) syscall.RawConn {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// peekInput looks into the kernel's buffer of a connection without reading it.
func peekInput(fd uintptr, receive recvfromFunc) inputState {
	var one [1]byte
	for {
		_, _, err := receive(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case syscall.EINTR:
		case syscall.EAGAIN:
			return inputNone
		case syscall.ENOMEM, syscall.ENOBUFS:
			return inputUnknown
		default:
			return inputPending
		}
	}
}

// awaitInput waits until a connection has bytes to read, has been closed by either side, or has failed.
func awaitInput(nc net.Conn, receive recvfromFunc) {
	raw := rawConn(nc)
	if raw == nil {
		return
	}
	for {
		state := inputNone
		err := raw.Read(func(fd uintptr) bool {
			state = peekInput(fd, receive)
			return state != inputNone // inputUnknown isn't waited on: the bytes may have come already, and wake nobody
		})
		if err != nil || state != inputUnknown { // an error shows at the next read
			return
		}
		time.Sleep(netio.RetryPause)
	}
}

// inputStateOf returns the state of a connection's input now. A connection that can't be looked into counts as pending, one
// without a socket as none.
func inputStateOf(nc net.Conn, receive recvfromFunc) inputState {
	raw := rawConn(nc)
	if raw == nil {
		return inputNone
	}
	state := inputNone
	// Control and not Read: the connection's reader holds the lock that Read takes.
	if err := raw.Control(func(fd uintptr) { state = peekInput(fd, receive) }); err != nil {
		return inputPending
	}
	return state
}
