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

// armedPoint is the fault point that the environment variable names, and how many passes remain until its signal is sent.
type armedPoint struct {
	mu        sync.Mutex
	point     string
	remaining int
	signal    syscall.Signal
}

var armed = sync.OnceValue(func() *armedPoint {
	parts := strings.Split(os.Getenv("DAMSONTRESTLE_FAULT"), ":")
	if len(parts) != 3 {
		return &armedPoint{}
	}
	count, err := strconv.Atoi(parts[1])
	signal := map[string]syscall.Signal{"kill": syscall.SIGKILL, "stop": syscall.SIGSTOP}[parts[2]]
	if err != nil || signal == 0 {
		return &armedPoint{}
	}
	return &armedPoint{point: parts[0], remaining: count, signal: signal}
})

// Point marks a moment between two steps at which the process may be killed or stopped.
func Point(name string) {
	p := armed()
	if p.point != name {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.remaining--; p.remaining == 0 {
		syscall.Kill(os.Getpid(), p.signal)
		// The signal is delivered asynchronously: wait so that no code behind the point runs before it.
		time.Sleep(100 * time.Millisecond)
	}
}
