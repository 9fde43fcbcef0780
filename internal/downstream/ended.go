package downstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State tells what the system knows of a connection now, whatever was read of it yet.
type State int

// States.
const (
	Quiet  State = iota // open, and everything that came was read; or nothing can be told
	Unread              // open, and bytes have come that were not read
	Ended               // the other side has closed it, or its sending, or it has failed
)

// StateOf looks at a connection. It neither waits nor reads.
func StateOf(nc net.Conn) (s State) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Ended // closed by ourselves
	}
	// Control and not Read: whoever reads the connection holds the lock that Read takes.
	if raw.Control(func(fd uintptr) { s = look(int(fd)) }) != nil {
		return Ended
	}
	return s
}

func look(fd int) State {
	var one [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return Quiet
		case err != nil || n == 0 || isClosing(fd):
			return Ended
		}
		return Unread
	}
}

// isClosing says that a connection's other side has ended it, though bytes stand before that end. Where the system
// doesn't tell, it has not.
func isClosing(fd int) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
