package testpeer

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// FaultyConn is a connection on which single reads and writes can be made to fail. A failed read keeps the received
// data for the next read.
type FaultyConn struct {
	net.Conn

	mu        sync.Mutex
	failRead  syscall.Errno // error of the next read that receives data; 0 means none
	failWrite syscall.Errno // error of the next write, after a part of it; 0 means none
	unread    []byte
}

func (c *FaultyConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *FaultyConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// Fail makes the next read that receives data and the next write fail with the given errnos; 0 means no failure.
func (c *FaultyConn) Fail(read, write syscall.Errno) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failRead, c.failWrite = read, write
}

func (c *FaultyConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	c.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if errno := c.failRead; n > 0 && errno != 0 {
		c.failRead, c.unread = 0, append([]byte(nil), p[:n]...)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
	}
	return n, err
}

func (c *FaultyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	errno := c.failWrite
	c.failWrite = 0
	c.mu.Unlock()
	if errno == 0 {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:len(p)/3])
	if err == nil {
		err = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", errno)}
	}
	return n, err
}

// ReadPending reports whether a read failure is set and has not occurred yet.
func (c *FaultyConn) ReadPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failRead != 0
}
