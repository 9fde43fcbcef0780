package netio

import (
	"errors"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// A read or write that fails transiently is retried and loses no byte. Every other failure is returned at once; a write
// returns with it the number of bytes that the kernel accepted.
func TestReadAndWriteRetryOnlyTransientFailures(t *testing.T) {
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
			local, remote := testpeer.Pair(t)
			faulty := &testpeer.FaultyConn{Conn: local}
			faulty.Fail(c.errno, c.errno)
			n, err := Write(faulty, []byte(text))
			if c.transient && (n != len(text) || err != nil) {
				t.Errorf("wrote %d bytes, %v; want all", n, err)
			}
			if !c.transient && (n != len(text)/3 || !errors.Is(err, c.errno)) {
				t.Errorf("wrote %d bytes, %v; want %d, %v", n, err, len(text)/3, c.errno)
			}
			io.WriteString(remote, text)
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

// Guards against a time of a client that begins only when the process comes to read what it sent.
func TestSinceInputCountsFromArrival(t *testing.T) {
	const wait = 100 * time.Millisecond
	local, remote := testpeer.Pair(t)
	io.WriteString(remote, "early")
	begin := time.Now()
	time.Sleep(wait)
	if since := SinceInput(local); since < wait/2 || since > time.Since(begin)+wait {
		t.Errorf("the last bytes came %v ago, want about %v", since, time.Since(begin))
	}
	io.WriteString(remote, "late")
	testpeer.Until(t, "the late bytes", func() bool { return SinceInput(local) < wait/2 })
}
