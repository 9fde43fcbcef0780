package fairqueue

import (
	"os"
	"runtime"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// poller lets a goroutine wait until the scheduler has looked for input of the network. It does so by itself only where nothing is ready to
// run or, on a busy process, every 10 ms; a goroutine that only yields would keep it busy.
type poller struct {
	event *os.File // an eventfd(2) of its own
	raw   syscall.RawConn
}

// networkPoller returns the poller of this process.
var networkPoller = sync.OnceValue(newPoller)

// newPoller returns a poller, or nil if the system has no descriptor for it.
func newPoller() *poller {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil
	}
	event := os.NewFile(uintptr(fd), "eventfd")
	raw, err := event.SyscallConn()
	if err != nil {
		event.Close()
		return nil
	}
	return &poller{event, raw}
}

// one is a count of 1 in the byte order of the machine, as an eventfd expects it; no byte order makes it 0.
var one = [8]byte{1}

// round returns after the scheduler has run what was ready and looked at the network.
func (p *poller) round() {
	if p == nil {
		runtime.Gosched()
		return
	}
	raised := false
	err := p.raw.Read(func(fd uintptr) (done bool) {
		if raised {
			var count [8]byte
			unix.Read(int(fd), count[:])
			return true
		}
		raised = true
		_, err := unix.Write(int(fd), one[:])
		return err != nil
	})
	if err != nil {
		runtime.Gosched()
	}
}
