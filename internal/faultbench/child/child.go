// Package child starts processes that end with this one, however it ends, and creates files in memory that leave nothing on disk.
package child

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Spawner starts processes from one dedicated thread. The kernel kills children with Pdeathsig when the thread that started them
// ends, and an ordinary thread of the Go runtime may end at any time.
type Spawner struct {
	starts chan func()
	once   sync.Once
	done   chan struct{}
}

// NewSpawner returns a Spawner whose thread runs until Close.
func NewSpawner() *Spawner {
	s := &Spawner{starts: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // never unlocked, so that the thread ends with the goroutine
		defer close(s.done)
		for do := range s.starts {
			do()
		}
	}()
	return s
}

// Start starts a command that is killed when this process ends for any reason. The command gets its own process group, so that an
// interrupt from the terminal reaches this process only.
func (s *Spawner) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	err := make(chan error)
	s.starts <- func() { err <- cmd.Start() }
	return <-err
}

// Close ends the thread and thereby kills all remaining children.
func (s *Spawner) Close() {
	s.once.Do(func() { close(s.starts) })
	<-s.done
}

// Memfile is a file in memory that is freed when its last descriptor is closed.
type Memfile struct{ *os.File }

// NewMemfile creates a file in memory with the given content.
func NewMemfile(name string, text []byte) (*Memfile, error) {
	fd, err := unix.MemfdCreate(name, unix.MFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("child: create memfd: %w", err)
	}
	m := &Memfile{os.NewFile(uintptr(fd), name)}
	return m, m.Rewrite(text)
}

func (m *Memfile) Rewrite(text []byte) error {
	if err := m.Truncate(0); err != nil {
		return fmt.Errorf("child: %w", err)
	}
	if _, err := m.WriteAt(text, 0); err != nil {
		return fmt.Errorf("child: %w", err)
	}
	return nil
}

// logTail keeps the last limit bytes written to it and passes each complete line to onLine.
type logTail struct {
	onLine func(line string)

	mu      sync.Mutex
	limit   int
	text    []byte
	partial []byte // last line, not yet terminated
}

func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	t.partial = append(t.partial, p...)
	for {
		line, rest, complete := bytes.Cut(t.partial, []byte("\n"))
		if !complete {
			break
		}
		t.partial = rest
		if t.onLine != nil {
			t.onLine(string(line))
		}
	}
	if over := len(t.text) - t.limit; over > 0 {
		t.text = bytes.Clone(t.text[over:])
	}
	return len(p), nil
}

func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}

// Process is a started child process.
type Process struct {
	Cmd  *exec.Cmd
	Log  *logTail
	Done chan struct{} // closed after the process has exited
	Err  error         // result of Wait, valid once Done is closed

	mu            sync.Mutex
	stopRequested bool // Stop was called, so the exit is expected
}

// Launch starts the program with its configuration file as descriptor 3 and, if not nil, the key as descriptor 4. onLine is called
// with each complete line of its log.
func (s *Spawner) Launch(binary string, file, key *Memfile, keep int, env []string, onLine func(string)) (*Process, error) {
	files := []*os.File{file.File}
	if key != nil {
		files = append(files, key.File)
	}
	return s.Run(exec.Command(binary, "serve", "/proc/self/fd/3"), files, keep, env, onLine)
}

// Run starts a command with files as its descriptors from 3 on. It keeps the last keep bytes of the command's standard error.
func (s *Spawner) Run(cmd *exec.Cmd, files []*os.File, keep int, env []string, onLine func(string)) (*Process, error) {
	p := &Process{Cmd: cmd, Log: &logTail{limit: keep, onLine: onLine}, Done: make(chan struct{})}
	p.Cmd.ExtraFiles = files
	p.Cmd.Stderr = p.Log
	p.Cmd.Env = append(os.Environ(), env...)
	if err := s.Start(p.Cmd); err != nil {
		return nil, fmt.Errorf("child: %w", err)
	}
	go func() {
		p.Err = p.Cmd.Wait()
		close(p.Done)
	}()
	return p, nil
}

// Signal sends a signal to the process. It does nothing if the process has exited.
func (p *Process) Signal(sig syscall.Signal) error {
	select {
	case <-p.Done:
		return nil
	default:
	}
	if err := p.Cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("child: %w", err)
	}
	return nil
}

// Stop sends a signal, then SIGKILL if the process has not exited in time, and waits for the exit.
func (p *Process) Stop(sig syscall.Signal, within time.Duration) {
	p.mu.Lock()
	p.stopRequested = true
	p.mu.Unlock()
	p.Signal(sig)
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case <-p.Done:
	case <-t.C:
		p.Signal(syscall.SIGKILL)
		<-p.Done
	}
}

// UnexpectedExit describes an exit that Stop did not cause, or returns "".
func (p *Process) UnexpectedExit() string {
	select {
	case <-p.Done:
	default:
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopRequested {
		return ""
	}
	return fmt.Sprintf("exited unexpectedly: %v\n%s", p.Err, p.Log)
}

// ResourceUsage returns the processor time and the resident memory, in bytes, of a running process, or zeros if it cannot be read.
func ResourceUsage(pid int) (cpu time.Duration, resident int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	// The name in parentheses may contain any character; utime and stime are fields 14 and 15, rss is field 24 (proc(5)).
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 22 {
		return 0, 0
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	const ticks = 100 // per second, on every Linux platform that Go supports
	return time.Duration(number(11)+number(12)) * time.Second / ticks, number(21) * int64(os.Getpagesize())
}
