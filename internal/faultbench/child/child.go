// Package child starts processes that end with this one, whatever ends it, and files in memory that nothing is left of.
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

// Spawner starts processes from one thread that lives as long as it does: the kernel ends children when the thread that
// started them ends, and a thread of Go's may end at any time.
type Spawner struct {
	starts chan func()
	once   sync.Once
	done   chan struct{}
}

// NewSpawner returns one whose thread lives until Close.
func NewSpawner() *Spawner {
	s := &Spawner{starts: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with the goroutine
		defer close(s.done)
		for do := range s.starts {
			do()
		}
	}()
	return s
}

// Start starts a command so that it ends when this process does, however that ends, and in a process group of its own,
// so that a terminal's interrupt reaches this process only.
func (s *Spawner) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	err := make(chan error)
	s.starts <- func() { err <- cmd.Start() }
	return <-err
}

// Close ends the thread, and with it every child that is left.
func (s *Spawner) Close() {
	s.once.Do(func() { close(s.starts) })
	<-s.done
}

// Memfile is a file in memory: nothing of it is left when its last user has ended.
type Memfile struct{ *os.File }

// NewMemfile returns one that holds a text.
func NewMemfile(name string, text []byte) (*Memfile, error) {
	fd, err := unix.MemfdCreate(name, unix.MFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("child: a file in memory: %w", err)
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

// tail keeps the end of what is written to it.
type logTail struct {
	onLine func(line string)

	mu      sync.Mutex
	limit   int
	text    []byte
	partial []byte // of a line that has not ended
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

// Process is one incarnation of a node.
type Process struct {
	Cmd  *exec.Cmd
	Log  *logTail
	Done chan struct{} // closed once it has ended
	Err  error         // how

	mu            sync.Mutex
	stopRequested bool // its end is the fault bench's doing
}

// Launch starts the program with a file in memory as its third descriptor.
// key, if it has one, is the fourth. heard is told of each complete line of its log.
func (s *Spawner) Launch(binary string, file, key *Memfile, keep int, env []string, heard func(string)) (*Process, error) {
	files := []*os.File{file.File}
	if key != nil {
		files = append(files, key.File)
	}
	return s.Run(exec.Command(binary, "serve", "/proc/self/fd/3"), files, keep, env, heard)
}

// Run starts a command with files as its descriptors from the third on. keep is how many bytes of its log are kept.
func (s *Spawner) Run(cmd *exec.Cmd, files []*os.File, keep int, env []string, heard func(string)) (*Process, error) {
	p := &Process{Cmd: cmd, Log: &logTail{limit: keep, onLine: heard}, Done: make(chan struct{})}
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

// Signal sends one signal. A process that has ended takes none.
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

// End ends it with a signal, and by SIGKILL if that has no effect in time.
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

// Died says in words that it ended by itself, or nothing.
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
	return fmt.Sprintf("ended by itself: %v\n%s", p.Err, p.Log)
}

// Use is the processor time and the resident memory of a process that runs.
func ResourceUsage(pid int) (cpu time.Duration, resident int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	// The name in brackets may hold anything; utime and stime are the 14th and 15th field, rss the 24th (proc(5)).
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 22 {
		return 0, 0
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		return n
	}
	const ticks = 100 // a second, on every Linux that Go runs on
	return time.Duration(number(11)+number(12)) * time.Second / ticks, number(21) * int64(os.Getpagesize())
}
