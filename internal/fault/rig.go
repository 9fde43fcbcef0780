//go:build rig

package fault

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// plan is what the environment asks for, and how often its point was passed.
type plan struct {
	mu    sync.Mutex
	point string
	left  int
	sig   syscall.Signal
}

var asked = sync.OnceValue(func() *plan {
	parts := strings.Split(os.Getenv("DAMSONTRESTLE_FAULT"), ":")
	if len(parts) != 3 {
		return &plan{}
	}
	n, err := strconv.Atoi(parts[1])
	sig := map[string]syscall.Signal{"kill": syscall.SIGKILL, "stop": syscall.SIGSTOP}[parts[2]]
	if err != nil || sig == 0 {
		return &plan{}
	}
	return &plan{point: parts[0], left: n, sig: sig}
})

// Point marks a moment between two steps, at which the process may be asked to end or to stop.
func Point(name string) {
	p := asked()
	if p.point != name {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left--; p.left == 0 {
		syscall.Kill(os.Getpid(), p.sig)
		// The kernel may let this thread go on for a moment: the point is not passed before the signal has had its effect.
		time.Sleep(100 * time.Millisecond)
	}
}
