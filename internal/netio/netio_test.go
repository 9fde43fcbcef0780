package netio

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"damsontrestle/internal/testpeer"
)

// tcpPair returns both ends of a connection on loopback.
func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if near, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return near, far
}

// A read or write that fails in passing is repeated and loses no byte; every other failure is returned at once, a write's
// with the number of bytes that have left.
func TestReadAndWriteRepeatTransientFailuresAlone(t *testing.T) {
	const text = "a request"
	for _, c := range []struct {
		errno     syscall.Errno
		transient bool
	}{
		{syscall.ENOMEM, true},
		{syscall.ENOBUFS, true},
		{syscall.EINTR, true},
		{syscall.ECONNRESET, false},
		{syscall.EPIPE, false},
		{syscall.ETIMEDOUT, false},
		{syscall.ENETDOWN, false},
	} {
		t.Run(os.NewSyscallError("call", c.errno).Error(), func(t *testing.T) {
			near, far := tcpPair(t)
			faulty := &testpeer.FaultyConn{Conn: near}
			faulty.Fail(c.errno, c.errno)
			n, err := Write(faulty, []byte(text))
			if c.transient && (n != len(text) || err != nil) {
				t.Errorf("wrote %d bytes, %v; want all", n, err)
			}
			if !c.transient && (n != len(text)/3 || !errors.Is(err, c.errno)) {
				t.Errorf("wrote %d bytes, %v; want %d, %v", n, err, len(text)/3, c.errno)
			}
			io.WriteString(far, text)
			buf := make([]byte, 100)
			n, err = Read(faulty, buf)
			if c.transient && (string(buf[:n]) != text || err != nil) {
				t.Errorf("read %q, %v; want %q", buf[:n], err, text)
			}
			if !c.transient && (n != 0 || !errors.Is(err, c.errno)) {
				t.Errorf("read %q, %v; want %v", buf[:n], err, c.errno)
			}
		})
	}
}
