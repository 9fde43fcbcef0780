package testpeer

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
)

// Errnos of failed system calls. A transient error leaves the connection intact. A fatal error ends it, and is the only
// sign of that end that the failing side gets.
var (
	dialErrnos = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EADDRNOTAVAIL,
		syscall.EAGAIN, syscall.EINTR, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ECONNREFUSED, syscall.ETIMEDOUT}
	transientErrnos = []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR}
	fatalErrnos     = []syscall.Errno{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN}
)

// SyscallFaults makes system calls on connections fail at random, from a seed. Goroutine scheduling is not controlled, so
// runs with the same seed are similar but not identical.
type SyscallFaults struct {
	mu    sync.Mutex
	rng   *rand.Rand
	rates map[string]float64
	count map[string]int
	ended map[string]bool // remote addresses of accepted connections that a fault has ended
}

// NewSyscallFaults returns faults that make each connect fail with probability dials, and each read and write with
// probability others.
func NewSyscallFaults(seed uint64, dials, others float64) *SyscallFaults {
	return &SyscallFaults{rng: rand.New(rand.NewPCG(seed, 0)), rates: map[string]float64{"dial": dials, "read": others, "write": others}, count: map[string]int{}, ended: map[string]bool{}}
}

// Stop stops injecting faults.
func (f *SyscallFaults) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rates = nil
}

// Counts returns the number of injected faults by operation: dial, read and write.
func (f *SyscallFaults) Counts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for op, n := range f.count {
		out[op] = n
	}
	return out
}

// Ended reports whether a fault has ended the connection accepted from the remote address.
func (f *SyscallFaults) Ended(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended[address]
}

// draw decides whether a system call fails. passes reports whether the errno is from the first table.
func (f *SyscallFaults) draw(op string, errnos ...[]syscall.Errno) (errno syscall.Errno, passes, fails bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng.Float64() >= f.rates[op] {
		return 0, false, false
	}
	f.count[op]++
	table := f.rng.IntN(len(errnos))
	return errnos[table][f.rng.IntN(len(errnos[table]))], table == 0, true
}

// partialLength draws how many bytes of a write succeed before it fails.
func (f *SyscallFaults) partialLength(complete int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(max(1, complete))
}

// Dial connects, or fails with an injected fault.
func (f *SyscallFaults) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if errno, _, fails := f.draw("dial", dialErrnos); fails {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
	}
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: c, faults: f}, nil
}

// Listener returns a listener that injects faults into the connections accepted by ln.
func (f *SyscallFaults) Listener(ln net.Listener) net.Listener {
	return faultyListener{ln.(*net.TCPListener), f}
}

type faultyListener struct {
	*net.TCPListener
	faults *SyscallFaults
}

func (l faultyListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: c, faults: l.faults, accepted: true}, nil
}

// faultyConn injects faults at the beginning of reads and in the middle of writes.
type faultyConn struct {
	net.Conn
	faults   *SyscallFaults
	accepted bool
}

// SyscallConn gives the node access to the file descriptor, to check the kernel's receive buffer.
func (c *faultyConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *faultyConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// fail returns an errno as an error. A fatal one also resets the connection, so that the peer notices and later calls
// fail.
func (c *faultyConn) fail(op string, errno syscall.Errno, passes bool) error {
	if !passes {
		if c.accepted {
			c.faults.mu.Lock()
			c.faults.ended[c.RemoteAddr().String()] = true
			c.faults.mu.Unlock()
		}
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Conn.Close()
	}
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, errno)}
}

// Read fails before it reads: received data stays for the next read, if there is one.
func (c *faultyConn) Read(p []byte) (int, error) {
	if errno, passes, fails := c.faults.draw("read", transientErrnos, fatalErrnos); fails {
		return 0, c.fail("read", errno, passes)
	}
	return c.Conn.Read(p)
}

// Write fails after a random part of the data.
func (c *faultyConn) Write(p []byte) (int, error) {
	errno, passes, fails := c.faults.draw("write", transientErrnos, fatalErrnos)
	if !fails {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:c.faults.partialLength(len(p))])
	if err != nil {
		return n, err
	}
	return n, c.fail("write", errno, passes)
}
