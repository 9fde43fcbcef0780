package downstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// SocketState is what the kernel knows of a connection, including input that was not read yet.
type SocketState int

// Socket states.
const (
	SocketOpen   SocketState = iota // open, and all input was read; or the connection is no socket
	SocketUnread                    // open, with unread bytes
	SocketClosed                    // the peer has closed it or its sending side, or it has failed
)

// PeekSocket returns the state of a connection. It neither blocks nor reads.
func PeekSocket(nc net.Conn) (s SocketState) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return SocketOpen
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return SocketClosed // closed by this process
	}
	// Control and not Read: the goroutine that reads the connection holds the lock that Read takes.
	if raw.Control(func(fd uintptr) { s = peekInput(int(fd)) }) != nil {
		return SocketClosed
	}
	return s
}

func peekInput(fd int) SocketState {
	var buf [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return SocketOpen
		case err != nil || n == 0 || peerClosed(fd):
			return SocketClosed
		}
		return SocketUnread
	}
}

// peerClosed reports whether the peer has closed the connection or its sending side, even with unread bytes before that. It
// reports false if poll(2) fails.
func peerClosed(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
