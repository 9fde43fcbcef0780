package rig

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

// spawner starts processes from one thread that lives as long as it does: the kernel ends children when the thread that
// started them ends, and a thread of Go's may end at any time.
type spawner struct {
	asked chan func()
	once  sync.Once
	done  chan struct{}
}

func newSpawner() *spawner {
	s := &spawner{asked: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with the goroutine
		defer close(s.done)
		for do := range s.asked {
			do()
		}
	}()
	return s
}

// start starts a command so that it ends when this process does, however that ends, and in a process group of its own,
// so that a terminal's interrupt reaches this process only.
func (s *spawner) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	err := make(chan error)
	s.asked <- func() { err <- cmd.Start() }
	return <-err
}

// Close ends the thread, and with it every child that is left.
func (s *spawner) Close() {
	s.once.Do(func() { close(s.asked) })
	<-s.done
}

// memfile is a file in memory: nothing of it is left when its last user has ended.
type memfile struct{ *os.File }

func newMemfile(name string, text []byte) (*memfile, error) {
	fd, err := unix.MemfdCreate(name, unix.MFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("rig: a file in memory: %w", err)
	}
	m := &memfile{os.NewFile(uintptr(fd), name)}
	return m, m.rewrite(text)
}

func (m *memfile) rewrite(text []byte) error {
	if err := m.Truncate(0); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if _, err := m.WriteAt(text, 0); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}

// tail keeps the end of what is written to it.
type tail struct {
	heard func(line string)

	mu   sync.Mutex
	most int
	text []byte
	part []byte // of a line that has not ended
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	t.part = append(t.part, p...)
	for {
		line, rest, whole := bytes.Cut(t.part, []byte("\n"))
		if !whole {
			break
		}
		t.part = rest
		if t.heard != nil {
			t.heard(string(line))
		}
	}
	if over := len(t.text) - t.most; over > 0 {
		t.text = bytes.Clone(t.text[over:])
	}
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}

// process is one life of a node.
type process struct {
	cmd  *exec.Cmd
	log  *tail
	done chan struct{} // closed once it has ended
	err  error         // how

	mu     sync.Mutex
	wanted bool // its end is the rig's doing
}

// launch starts the program with a file in memory as its third descriptor.
// key, if it has one, is the fourth. heard is told of each whole line of its log.
func (s *spawner) launch(binary string, file, key *memfile, keep int, env []string, heard func(string)) (*process, error) {
	p := &process{cmd: exec.Command(binary, "serve", "/proc/self/fd/3"), log: &tail{most: keep, heard: heard}, done: make(chan struct{})}
	p.cmd.ExtraFiles = []*os.File{file.File}
	if key != nil {
		p.cmd.ExtraFiles = append(p.cmd.ExtraFiles, key.File)
	}
	p.cmd.Stderr = p.log
	p.cmd.Env = append(os.Environ(), env...)
	if err := s.start(p.cmd); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// signal sends one signal. A process that has ended takes none.
func (p *process) signal(sig syscall.Signal) error {
	select {
	case <-p.done:
		return nil
	default:
	}
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}

// end ends it with a signal, and by SIGKILL if that has no effect in time.
func (p *process) end(sig syscall.Signal, within time.Duration) {
	p.mu.Lock()
	p.wanted = true
	p.mu.Unlock()
	p.signal(sig)
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case <-p.done:
	case <-t.C:
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// died says in words that it ended by itself, or nothing.
func (p *process) died() string {
	select {
	case <-p.done:
	default:
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted {
		return ""
	}
	return fmt.Sprintf("ended by itself: %v\n%s", p.err, p.log)
}

// use is the processor time and the resident memory of a process that runs.
func use(pid int) (cpu time.Duration, resident int64) {
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

// cost is what all processes took so far.
func (f *fleet) cost() (c Cost) {
	c.RigCPU, c.RigMemory = use(os.Getpid())
	if entries, err := os.ReadDir("/proc/self/fd"); err == nil {
		c.MostOpenRig = len(entries)
	}
	var memory int64
	for _, n := range f.nodes {
		n.mu.Lock()
		p, before := n.process, n.spent
		n.mu.Unlock()
		if p != nil {
			cpu, resident := use(p.cmd.Process.Pid)
			c.NodesCPU += cpu + before
			memory += resident
			c.Processes++
		}
	}
	if c.Processes > 0 {
		c.NodeMemory = memory / int64(c.Processes)
	}
	return c
}
