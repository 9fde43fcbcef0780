package testpeer

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
)

// Errnos of requests that fail. What passes leaves its connection as it was; what ends it is all that the side hears of its end.
var (
	dialErrnos = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EADDRNOTAVAIL,
		syscall.EAGAIN, syscall.EINTR, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ECONNREFUSED, syscall.ETIMEDOUT}
	passingErrnos = []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS, syscall.EINTR}
	endingErrnos  = []syscall.Errno{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN}
)

// CallFaults have system calls on connections fail by draws from a seed. How goroutines take turns is not drawn: one seed gives similar
// runs, not equal ones.
type CallFaults struct {
	mu    sync.Mutex
	rng   *rand.Rand
	rates map[string]float64
	count map[string]int
	ended map[string]bool // other sides' addresses of accepted connections that a fault has ended
}

// NewCallFaults has each connect, and each read and write, fail with a probability.
func NewCallFaults(seed uint64, dials, others float64) *CallFaults {
	return &CallFaults{rng: rand.New(rand.NewPCG(seed, 0)), rates: map[string]float64{"dial": dials, "read": others, "write": others}, count: map[string]int{}, ended: map[string]bool{}}
}

// Stop has no request fail any more.
func (f *CallFaults) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rates = nil
}

// Counts tells how many requests of each kind failed.
func (f *CallFaults) Counts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for op, n := range f.count {
		out[op] = n
	}
	return out
}

// Ended says that a fault has ended the connection that was accepted from an address.
func (f *CallFaults) Ended(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended[address]
}

// draw says whether a request fails, and how.
func (f *CallFaults) draw(op string, errnos ...[]syscall.Errno) (errno syscall.Errno, passes, fails bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng.Float64() >= f.rates[op] {
		return 0, false, false
	}
	f.count[op]++
	table := f.rng.IntN(len(errnos))
	return errnos[table][f.rng.IntN(len(errnos[table]))], table == 0, true
}

// part draws how much of a write is done.
func (f *CallFaults) part(complete int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(max(1, complete))
}

// Dial connects, or fails.
func (f *CallFaults) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if errno, _, fails := f.draw("dial", dialErrnos); fails {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
	}
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: c, faults: f}, nil
}

// Listener has the connections that a listener accepts fail.
func (f *CallFaults) Listener(ln net.Listener) net.Listener {
	return faultyListener{ln.(*net.TCPListener), f}
}

type faultyListener struct {
	*net.TCPListener
	faults *CallFaults
}

func (l faultyListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: c, faults: l.faults, accepted: true}, nil
}

// faultyConn fails at the beginning of reads and in the middle of writes.
type faultyConn struct {
	net.Conn
	faults   *CallFaults
	accepted bool
}

// SyscallConn lets the node look into the kernel's buffer.
func (c *faultyConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *faultyConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// fail tells of an errno. Where that ends the connection the other side is told as well, and requests on it fail from then on.
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

// Read fails at its beginning: what has come is read by the next one, if there is one.
func (c *faultyConn) Read(p []byte) (int, error) {
	if errno, passes, fails := c.faults.draw("read", passingErrnos, endingErrnos); fails {
		return 0, c.fail("read", errno, passes)
	}
	return c.Conn.Read(p)
}

// Write fails after a part that is drawn.
func (c *faultyConn) Write(p []byte) (int, error) {
	errno, passes, fails := c.faults.draw("write", passingErrnos, endingErrnos)
	if !fails {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:c.faults.part(len(p))])
	if err != nil {
		return n, err
	}
	return n, c.fail("write", errno, passes)
}
