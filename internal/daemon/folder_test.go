package daemon

import (
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"woodpick/internal/admin"
	"woodpick/internal/state"
	"woodpick/internal/state/statetest"
)

// sickDisk is a file system whose calls fail as they are asked to.
type sickDisk struct {
	mu    sync.Mutex
	fails func(n int, call string) error // nil: all is well
	n     int                            // calls since then
	calls []string
}

// fail has the calls from now on fail as told.
func (s *sickDisk) fail(fails func(n int, call string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails, s.n, s.calls = fails, 0, nil
}

// failAll has every call of that name fail ("": every call).
func (s *sickDisk) failAll(named string, errno error) {
	s.fail(func(_ int, call string) error {
		if named == "" || call == named {
			return errno
		}
		return nil
	})
}

// mend has all go well again.
func (s *sickDisk) mend() { s.fail(nil) }

func (s *sickDisk) ask(call, path string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	s.calls = append(s.calls, call)
	if s.fails == nil {
		return nil
	}
	return s.fails(s.n, call)
}

// sick has the rig's state folder on a disk that can fail.
func sick(r *rig) *sickDisk {
	s := &sickDisk{}
	r.options.StateFiles = &statetest.Files{Ask: s.ask}
	return s
}

// wantKept checks which serial a start would find.
func (r *rig) wantKept(t *testing.T, serial int64) {
	t.Helper()
	if got, err := r.kept(); err != nil || got != serial {
		t.Errorf("the folder holds serial %d (%v), want %d", got, err, serial)
	}
}

func (r *rig) kept() (int64, error) {
	folder, err := state.Open(filepath.Join(r.dir, "state"))
	if err != nil {
		return 0, err
	}
	held, err := folder.Load("n1")
	if err != nil {
		return 0, err
	}
	return held.Running.Serial, nil
}

// A full disk refuses an apply with its errno and the path. What ran runs on, and since the record was not touched the
// folder is not said to differ from it.
func TestFullDiskRefusesAnApplyAndLeavesNothingInDoubt(t *testing.T) {
	a, b := named(t, "a"), named(t, "b")
	r := newRig(t)
	disk := sick(r)
	r.write(t, r.text("p1", a.Address(), ""))
	r.start(t)
	second := r.plan(t, r.text("p2", b.Address(), ""))
	for _, call := range []string{"create", "write", "sync", "close"} {
		disk.failAll(call, syscall.ENOSPC)
		_, err := r.apply(t, second)
		wantCode(t, err, admin.CodeFailed, filepath.Join(r.dir, "state"))
		wantCode(t, err, admin.CodeFailed, syscall.ENOSPC.Error())
		if s := r.show(t); s.Diverged || s.Serial != 1 || s.Last == nil || s.Last.Error == "" {
			t.Errorf("%s: %+v", call, s)
		}
		r.wantServed(t, "a")
		r.wantKept(t, 1)
	}
	disk.mend()
	if running, err := r.apply(t, second); err != nil || running.Serial != 2 {
		t.Errorf("%+v, %v", running, err)
	}
	r.wantServed(t, "b")
	r.wantKept(t, 2)
}
