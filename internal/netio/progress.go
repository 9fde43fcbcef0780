package netio

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns how many bytes that were written to a connection its peer's system has not acknowledged (SIOCOUTQ, tcp(7)); 0
// for a connection without a socket. It neither blocks nor takes the lock of a read or write under way.
func Unacknowledged(c net.Conn) (bytes int64) {
	control(c, func(fd uintptr) { bytes = UnacknowledgedOf(fd) })
	return bytes
}

// control calls a function with the descriptor of a connection, unless it has none or is closed.
func control(c net.Conn, f func(fd uintptr)) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		raw.Control(f)
	}
}

// UnacknowledgedOf is Unacknowledged for a descriptor.
func UnacknowledgedOf(fd uintptr) int64 {
	n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return int64(n)
}

// TickLength is the longest period of the clock by which the kernel dates the traffic of a connection.
const TickLength = 4 * time.Millisecond

// SinceInput returns how long ago the system received the last bytes of a connection, read or not, less one tick of its clock (TCP_INFO,
// tcp(7)); 0 if that is not known.
func SinceInput(c net.Conn) (since time.Duration) {
	control(c, func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return max(0, since-TickLength)
}

// WriteWhileTaken writes all of p to a connection by a function, as Write does, for as long as the peer takes something in each stall.
// The kernel accepts further bytes only once a third of its buffer is free, so a wait for that tells nothing of the peer: what its
// system acknowledges does. It returns how many bytes the kernel has accepted.
func WriteWhileTaken(c net.Conn, p []byte, stall time.Duration, write func([]byte) (int, error)) (written int, err error) {
	for {
		queued := Unacknowledged(c)
		c.SetWriteDeadline(time.Now().Add(stall))
		n, err := write(p[written:])
		written += n
		taken := queued + int64(n) - Unacknowledged(c)
		if !errors.Is(err, os.ErrDeadlineExceeded) || taken <= 0 {
			return written, err
		}
	}
}
