// Package hotrestart lets two processes of one node overlap while the newer takes over from the older: they listen at the
// same address (SO_REUSEPORT), detect each other by file locks, and new connections go to the newer one. The kernel
// releases the sockets and locks of a process that ends, so a killed process leaves nothing to repair. Package node drains
// the older process.
package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"damsontrestle/internal/clock"
)

// Listen opens a TCP socket whose address another process of the same user may share (SO_REUSEPORT, socket(7)). The
// kernel spreads new connections over all sockets that listen there.
func Listen(network, address string) (net.Listener, error) {
	var lc net.ListenConfig
	lc.SetMultipathTCP(false) // a multipath socket, the default since Go 1.24, does not support a reuseport program
	lc.Control = func(_, _ string, raw syscall.RawConn) error {
		return controlSocket(raw, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
	}
	ln, err := lc.Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	// An earlier process may have left a program that selects the socket for this address, so it is reset. On a system
	// without such programs there is none to reset and the start must not fail; there, when the older process ends, the
	// connections in its accept queue are lost.
	if err := directToSocket(ln, anySocket); err != nil && !isUnsupported(err) {
		ln.Close()
		return nil, fmt.Errorf("hotrestart: reset socket selection of %s: %w", address, err)
	}
	return ln, nil
}

// isUnsupported reports whether err means that the system does not have reuseport programs, or does not permit them to this
// process.
func isUnsupported(err error) bool {
	for _, e := range []error{unix.ENOPROTOOPT, unix.EOPNOTSUPP, unix.EPERM, unix.ENOSYS} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// The sockets of an address are numbered in the order in which they began to listen; the number of a closed socket passes
// to the last one. If no socket has the selected number, the kernel chooses.
const (
	successorSocket = 1 // the second of two
	anySocket       = 1 << 16
)

// DirectToSuccessor directs new connections to the process that began to listen after this one, if there is one.
// Connections whose handshake is complete, or about to be, still arrive at ln and have to be accepted.
func DirectToSuccessor(ln net.Listener) error { return directToSocket(ln, successorSocket) }

// directToSocket directs all new connections at the address of ln to the socket with a number, by a program of one
// instruction that returns the number (SO_ATTACH_REUSEPORT_CBPF, socket(7)). It needs no privilege.
func directToSocket(ln net.Listener, number uint32) error {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return controlSocket(raw, func(fd int) error {
		const returnConstant = unix.BPF_RET | unix.BPF_K
		code := []unix.SockFilter{{Code: returnConstant, K: number}}
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(code)), Filter: &code[0]})
	})
}

func controlSocket(raw syscall.RawConn, call func(fd int) error) error {
	var callErr error
	err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) })
	return errors.Join(err, callErr)
}

// Processes coordinates the processes of one node: the primary, which is the older one, and the successor that waits to
// take over. Each of the two roles is a lock on a file in a shared folder.
type Processes struct {
	primary   *os.File
	successor *os.File
}

// SharedFile opens a file that the processes of the node share. It is empty unless another process of the node has it.
func (p *Processes) SharedFile() (*os.File, error) {
	path := strings.TrimSuffix(p.primary.Name(), primarySuffix) + sharedSuffix
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("hotrestart: open shared file: %w", err)
	}
	if !p.isAlone() {
		return file, nil
	}
	if err := file.Truncate(0); err != nil {
		file.Close()
		return nil, fmt.Errorf("hotrestart: empty shared file: %w", err)
	}
	return file, nil
}

// isAlone reports whether this is the node's only process.
func (p *Processes) isAlone() bool { return p.TakePrimary() && !p.HasSuccessor() }

// Suffixes of the files' names. They must not change, because processes of different versions share the files.
const (
	primarySuffix   = ".seat"
	successorSuffix = ".next"
	sharedSuffix    = ".ids"
)

// Join adds this process to the processes of a node, whose lock files are named after name, in folder. It fails if a
// successor is already waiting or the folder can't be used.
func Join(folder, name string) (*Processes, error) {
	p := &Processes{}
	var err error
	if p.primary, err = openLock(folder, name+primarySuffix); err != nil {
		return nil, err
	}
	if p.successor, err = openLock(folder, name+successorSuffix); err != nil {
		p.Close()
		return nil, err
	}
	if p.TakePrimary() {
		return p, nil
	}
	// The primary holds this lock briefly each time it polls for a successor.
	for range lockAttempts {
		if tryLock(p.successor) {
			return p, nil
		}
		time.Sleep(pollInterval / lockAttempts)
	}
	p.Close()
	return nil, fmt.Errorf("hotrestart: another process is already waiting to take over %s", name)
}

// lockAttempts is the number of attempts to lock the successor's file, spread over one poll interval.
const lockAttempts = 20

// openLock opens a lock file and creates it if it does not exist.
func openLock(folder, name string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(folder, name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("hotrestart: open lock file: %w", err)
	}
	return file, nil
}

// TakePrimary makes this process the primary if there is none, and reports whether it is the primary.
func (p *Processes) TakePrimary() bool { return tryLock(p.primary) }

// HasSuccessor reports whether another process is waiting to take over. Only the primary may call it.
func (p *Processes) HasSuccessor() bool {
	if !tryLock(p.successor) {
		return true
	}
	unix.Flock(int(p.successor.Fd()), unix.LOCK_UN)
	return false
}

// Close releases the locks, as the end of the process would.
func (p *Processes) Close() {
	for _, f := range []*os.File{p.primary, p.successor} {
		if f != nil {
			f.Close()
		}
	}
}

// tryLock locks a file without blocking (flock(2)) and reports whether this process holds the lock.
func tryLock(f *os.File) bool {
	return unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil
}

// pollInterval is how often a process checks for the other one.
const pollInterval = 100 * time.Millisecond

// Watch calls notify at once, and again whenever this process becomes or ceases to be one of two, until ctx ends.
func (p *Processes) Watch(ctx context.Context, notify func(two bool)) {
	notified := false
	last := false // argument of the last call of notify
	primary := false
	for ; ctx.Err() == nil; clock.Sleep(ctx, pollInterval) {
		if !primary && p.TakePrimary() {
			primary = true
			unix.Flock(int(p.successor.Fd()), unix.LOCK_UN)
		}
		two := !primary || p.HasSuccessor()
		if notified && two == last {
			continue
		}
		notified = true
		last = two
		notify(two)
	}
}
