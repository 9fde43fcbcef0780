package config

import (
	"errors"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
)

// brokenReader fails to be read.
type brokenReader struct{ errno syscall.Errno }

func (b brokenReader) Read([]byte) (int, error) {
	return 0, &os.PathError{Op: "read", Path: "f", Err: b.errno}
}

func (brokenReader) Close() error { return nil }

// failingOpener opens a file that can't be read a number of times, first by its opening and then by its reads in turn.
func failingOpener(errno syscall.Errno, times int) (open opener, opened *int) {
	opened = new(int)
	return func(string) (io.ReadCloser, error) {
		*opened++
		switch {
		case *opened > times:
			return io.NopCloser(strings.NewReader("text")), nil
		case *opened%2 == 0:
			return brokenReader{errno}, nil
		}
		return nil, &os.PathError{Op: "open", Path: "f", Err: errno}
	}, opened
}

// A file that can't be read for a moment is read a moment later; one that can't be read at all is given up after two seconds.
func TestReadWithRetry(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOENT, syscall.EIO, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EINTR, syscall.ESTALE} {
		synctest.Test(t, func(t *testing.T) {
			open, opened := failingOpener(errno, 5)
			if text, err := open.readWithRetry("f", 100); string(text) != "text" || err != nil || *opened != 6 {
				t.Errorf("%v five times: %q, %v after %d", errno, text, err, *opened)
			}
			open, opened = failingOpener(errno, 1<<30)
			if _, err := open.readWithRetry("f", 100); !errors.Is(err, errno) || *opened != 1+int(readRetryTimeout/readRetryInterval) {
				t.Errorf("%v always: %v after %d", errno, err, *opened)
			}
			open, opened = failingOpener(errno, 1)
			if _, err := open.read("f", 100); !errors.Is(err, errno) || *opened != 1 {
				t.Errorf("%v at a start: %v after %d", errno, err, *opened)
			}
		})
	}
}
