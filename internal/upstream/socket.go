package upstream

import (
	"net"
	"strconv"
	"syscall"
	"time"

	"damsontrestle/internal/netio"
)

// inputState is the state of a connection's receive buffer in the kernel.
type inputState int

const (
	inputNone    inputState = iota // open, and all input was read
	inputPending                   // unread bytes
	inputEnded                     // a close by the peer, or an error
	inputUnknown                   // the system call failed for lack of memory
)

// String implements fmt.Stringer.
func (s inputState) String() string {
	switch s {
	case inputNone:
		return "none"
	case inputPending:
		return "pending"
	case inputEnded:
		return "ended"
	case inputUnknown:
		return "unknown"
	}
	return "input state " + strconv.Itoa(int(s))
}

// recvfromFunc is the type of syscall.Recvfrom, which tests replace.
type recvfromFunc func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error)

// rawConn returns the raw network connection, or nil if there is none.
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

// peekInput returns the state of a connection's receive buffer without reading it.
func peekInput(fd uintptr, receive recvfromFunc) inputState {
	var buf [1]byte
	for {
		n, _, err := receive(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil:
			if n > 0 {
				return inputPending
			}
			return inputEnded
		case syscall.EINTR:
		case syscall.EAGAIN:
			return inputNone
		case syscall.ENOMEM, syscall.ENOBUFS:
			return inputUnknown
		default:
			return inputEnded
		}
	}
}

// awaitInput waits until a connection has bytes to read, was closed by either side, or has failed.
func awaitInput(nc net.Conn, receive recvfromFunc) {
	raw := rawConn(nc)
	if raw == nil {
		return
	}
	for {
		state := inputNone
		err := raw.Read(func(fd uintptr) bool {
			state = peekInput(fd, receive)
			return state != inputNone // not for inputUnknown: bytes that have arrived already would not end the wait
		})
		if err != nil || state != inputUnknown { // the next read returns the error
			return
		}
		time.Sleep(netio.RetryPause)
	}
}

// inputStateOf returns the current state of a connection's input. If the descriptor is not accessible it returns inputEnded,
// and inputNone for a connection without a socket.
func inputStateOf(nc net.Conn, receive recvfromFunc) inputState {
	raw := rawConn(nc)
	if raw == nil {
		return inputNone
	}
	state := inputNone
	// Control and not Read: the connection's reader holds the lock that Read takes.
	if err := raw.Control(func(fd uintptr) { state = peekInput(fd, receive) }); err != nil {
		return inputEnded
	}
	return state
}
