// Package hotrestart lets two processes of one node overlap while the younger takes over from the older: they listen at
// the same address (SO_REUSEPORT), detect one another by file locks, and new connections go to the younger one. The
// kernel releases sockets and locks with the process that holds them, so a kill leaves nothing to repair. Draining the
// older process is its node's.
package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"damsontrestle/internal/clock"
)

// Listen opens a TCP socket that another process of the same user may share the address of (SO_REUSEPORT, socket(7)).
// The kernel spreads new connections over all that listen there.
func Listen(network, address string) (net.Listener, error) {
	var lc net.ListenConfig
	lc.SetMultipathTCP(false) // such a socket, the default since Go 1.24, takes no rule for its address
	lc.Control = func(_, _ string, raw syscall.RawConn) error {
		return control(raw, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
	}
	ln, err := lc.Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	// An earlier process may have left a rule for all that listen here. Where the system knows no such rules nobody
	// can have left one: then the end of the older process costs the connections that its queue holds, and no start.
	if err := directTo(ln, anySocket); err != nil && !unsupported(err) {
		ln.Close()
		return nil, fmt.Errorf("hotrestart: %s: %w", address, err)
	}
	return ln, nil
}

// unsupported says that the system, or what it lets this process do, has no rules for shared addresses.
func unsupported(err error) bool {
	for _, e := range []error{unix.ENOPROTOOPT, unix.EOPNOTSUPP, unix.EPERM, unix.ENOSYS} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Sockets of one address are numbered in the order in which they began to listen, and one that is closed gives its
// number to the last. A number that no socket has leaves the choice to the kernel.
const (
	successor = 1 // of two
	anySocket = 1 << 16
)

// Yield has new connections go to the process that began to listen after this one, if there is one. Those that
// the kernel has completed already, or is about to, still come here and have to be accepted.
func Yield(ln net.Listener) error { return directTo(ln, successor) }

// directTo has all new connections at an address go to the socket of a number (SO_ATTACH_REUSEPORT_CBPF, socket(7)):
// the program is one instruction that returns it. It needs no privilege.
func directTo(ln net.Listener, number uint32) error {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return control(raw, func(fd int) error {
		const returnConstant = unix.BPF_RET | unix.BPF_K
		code := []unix.SockFilter{{Code: returnConstant, K: number}}
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(code)), Filter: &code[0]})
	})
}

func control(raw syscall.RawConn, do func(fd int) error) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = do(int(fd)) })
	return errors.Join(err, failed)
}

// Processes are the processes of one node: the primary, which is the older one, and the successor that waits to take over.
// Each holds a lock on a file of its own in a folder that they share.
type Processes struct {
	primary   *os.File
	successor *os.File
}

// Suffixes of the lock files' names. Processes of different versions share the files: the names stay.
const (
	primarySuffix   = ".seat"
	successorSuffix = ".next"
)

// Enter joins the processes of a name in a folder. It fails if a successor waits there already, or the folder can't be
// used.
func Enter(folder, name string) (*Processes, error) {
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
	// The primary takes this lock for a moment when it polls whether it has a successor.
	for range lockAttempts {
		if lock(p.successor) {
			return p, nil
		}
		time.Sleep(pollInterval / lockAttempts)
	}
	p.Close()
	return nil, fmt.Errorf("hotrestart: another process waits to take over %s already", name)
}

// lockAttempts are made for the lock of the process that waits, within one poll interval.
const lockAttempts = 20

// openLock opens a lock's file, which is made if it is not there.
func openLock(folder, name string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(folder, name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("hotrestart: %w", err)
	}
	return file, nil
}

// TakePrimary says whether this process is the primary, which it becomes if there is none.
func (p *Processes) TakePrimary() bool { return lock(p.primary) }

// HasSuccessor says, to the primary, whether another process waits to take over.
func (p *Processes) HasSuccessor() bool {
	if !lock(p.successor) {
		return true
	}
	unix.Flock(int(p.successor.Fd()), unix.LOCK_UN)
	return false
}

// Close releases the process's locks, as its end would.
func (p *Processes) Close() {
	for _, f := range []*os.File{p.primary, p.successor} {
		if f != nil {
			f.Close()
		}
	}
}

// lock takes a file's lock or finds that this process has it (flock(2)).
func lock(f *os.File) bool {
	return unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil
}

// pollInterval is how often a process looks whether it is alone.
const pollInterval = 100 * time.Millisecond

// Watch calls notify whenever this process begins or ceases to be one of two, until ctx ends. The first call comes
// before it waits.
func (p *Processes) Watch(ctx context.Context, notify func(two bool)) {
	notified := false
	last := false // what was notified
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
