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

// opError is what package net makes of a system call that fails.
func opError(errno syscall.Errno) error {
	return fmt.Errorf("listener: %w", &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", errno)})
}

// What may pass is tried again until it has, or for as long as a start may try, or until that is told to end; what
// can't is tried once.
func TestSocketsOfAStartAreTriedAgain(t *testing.T) {
	_, badAddress := net.Listen("tcp", "127.0.0.1:99999")
	_, noSuchFolder := net.Listen("unix", t.TempDir()+"/none/socket")
	passing := []error{}
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR, syscall.EADDRINUSE,
		syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.EPERM, syscall.EPROTO,
	} {
		passing = append(passing, opError(errno))
	}
	lasting := []error{badAddress, noSuchFolder, opError(syscall.EACCES), opError(syscall.EAFNOSUPPORT), opError(syscall.EINVAL), errors.New("no key")}
	for _, c := range []struct {
		name     string
		errs     []error
		failures int           // the tries that fail
		end      time.Duration // when the start is told to end
		opened   bool
		took     time.Duration
	}{
		{"passes", passing, 10, time.Hour, true, 10 * openPause},
		{"does not pass in time", passing, 1 << 30, time.Hour, false, Patience},
		{"is told to end", passing, 1 << 30, 130 * time.Millisecond, false, 130 * time.Millisecond},
		{"can't pass", lasting, 1 << 30, time.Hour, false, 0},
	} {
		for _, failure := range c.errs {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), Patience)
				defer cancel()
				defer time.AfterFunc(c.end, cancel).Stop()
				var log bytes.Buffer
				begin, tries := time.Now(), 0
				v, err := Open(ctx, slog.New(slog.NewTextHandler(&log, nil)), func() (string, error) {
					if tries++; tries <= c.failures {
						return "", failure
					}
					return "open", nil
				})
				if took := time.Since(begin); (err == nil) != c.opened || (v == "open") != c.opened || took != c.took {
					t.Errorf("%s, %v: %q, %v after %v; want it after %v", c.name, failure, v, err, took, c.took)
				}
				if err != nil && !errors.Is(err, failure) {
					t.Errorf("%s, %v: ended with %v", c.name, failure, err)
				}
				if lines := strings.Count(log.String(), "\n"); lines > 1 {
					t.Errorf("%s, %v: %d lines", c.name, failure, lines)
				}
			})
		}
	}
}
