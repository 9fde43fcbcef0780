package listener

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// opError returns a failed system call's error as package net wraps it.
func opError(errno syscall.Errno) error {
	return fmt.Errorf("listener: %w", &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", errno)})
}

// A transient failure is retried until it passes, until OpenTimeout is over or until the startup is cancelled; a permanent
// one is returned at once.
func TestOpenRetriesTransientFailures(t *testing.T) {
	_, badAddress := net.Listen("tcp", "127.0.0.1:99999")
	_, missingFolder := net.Listen("unix", t.TempDir()+"/none/socket")
	transient := []error{}
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR, syscall.EADDRINUSE,
		syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.EPERM, syscall.EPROTO,
	} {
		transient = append(transient, opError(errno))
	}
	permanent := []error{badAddress, missingFolder, opError(syscall.EACCES), opError(syscall.EAFNOSUPPORT), opError(syscall.EINVAL), errors.New("the key is missing")}
	for _, c := range []struct {
		name     string
		errs     []error
		failures int           // attempts that fail
		cancel   time.Duration // when the startup is cancelled
		opened   bool
		took     time.Duration
	}{
		{"transient failure that passes", transient, 10, time.Hour, true, 10 * openRetryInterval},
		{"transient failure beyond the timeout", transient, 1 << 30, time.Hour, false, OpenTimeout},
		{"cancelled startup", transient, 1 << 30, 130 * time.Millisecond, false, 130 * time.Millisecond},
		{"permanent failure", permanent, 1 << 30, time.Hour, false, 0},
	} {
		for _, failure := range c.errs {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), OpenTimeout)
				defer cancel()
				defer time.AfterFunc(c.cancel, cancel).Stop()
				var log bytes.Buffer
				begin, attempts := time.Now(), 0
				got, err := Open(ctx, slog.New(slog.NewTextHandler(&log, nil)), func() (string, error) {
					if attempts++; attempts <= c.failures {
						return "", failure
					}
					return "open", nil
				})
				if took := time.Since(begin); (err == nil) != c.opened || (got == "open") != c.opened || took != c.took {
					t.Errorf("%s, %v: result %q, error %v after %v; want the end after %v", c.name, failure, got, err, took, c.took)
				}
				if err != nil && !errors.Is(err, failure) {
					t.Errorf("%s, %v: returned the error %v", c.name, failure, err)
				}
				if lines := strings.Count(log.String(), "\n"); lines > 1 {
					t.Errorf("%s, %v: %d log messages, want at most 1", c.name, failure, lines)
				}
			})
		}
	}
}
