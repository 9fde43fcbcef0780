package upstream

import (
	"net"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

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
func awaitInput(raw syscall.RawConn, receive recvfromFunc) {
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
func inputStateOf(raw syscall.RawConn, receive recvfromFunc) inputState {
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

// hasEarlyInput reports whether a connection has input that came before the last byte of a write. It is called right after the
// write; elapsed is the time since the last look at the input before it. A process that is held up between the write and this call
// may find the reply itself, so the dates that the kernel keeps decide. They are exact to a tick: input of the tick of the write
// passes. Without dates, input is early if the process was held up.
func hasEarlyInput(raw syscall.RawConn, receive recvfromFunc, elapsed time.Duration) (early bool) {
	if raw == nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		if peekInput(fd, receive) != inputPending {
			return
		}
		if netio.UnacknowledgedOf(fd) > 0 {
			early = true
			return
		}
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			early = elapsed > netio.TickLength
			return
		}
		early = info.Last_data_recv > info.Last_data_sent
	})
	return early
}
