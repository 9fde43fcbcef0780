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

// brokenReader fails every read.
type brokenReader struct{ errno syscall.Errno }

func (b brokenReader) Read([]byte) (int, error) {
	return 0, &os.PathError{Op: "read", Path: "f", Err: b.errno}
}

func (brokenReader) Close() error { return nil }

// failingOpener returns an opener whose first calls, given by times, fail alternately on opening the file and on reading it.
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

// A transient read error is retried; a permanent one is returned after two seconds.
func TestReadWithRetry(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOENT, syscall.EIO, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EINTR, syscall.ESTALE} {
		synctest.Test(t, func(t *testing.T) {
			open, opened := failingOpener(errno, 5)
			if text, err := open.readWithRetry("f", 100); string(text) != "text" || err != nil || *opened != 6 {
				t.Errorf("%v on the first five opens: got %q, %v after %d opens", errno, text, err, *opened)
			}
			open, opened = failingOpener(errno, 1<<30)
			if _, err := open.readWithRetry("f", 100); !errors.Is(err, errno) || *opened != 1+int(readRetryTimeout/readRetryInterval) {
				t.Errorf("%v on every open: got %v after %d opens", errno, err, *opened)
			}
			open, opened = failingOpener(errno, 1)
			if _, err := open.read("f", 100); !errors.Is(err, errno) || *opened != 1 {
				t.Errorf("%v without retry: got %v after %d opens", errno, err, *opened)
			}
		})
	}
}
