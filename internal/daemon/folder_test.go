package daemon

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/config"
	"damsontrestle/internal/node"
	"damsontrestle/internal/plan"
	"damsontrestle/internal/state"
	"damsontrestle/internal/state/statetest"
	"damsontrestle/internal/testpeer"
)

// wantKept checks which serial a start would find.
func (r *fixture) wantKept(t *testing.T, serial int64) {
	t.Helper()
	if got, err := r.kept(); err != nil || got != serial {
		t.Errorf("the folder holds serial %d (%v), want %d", got, err, serial)
	}
}

func (r *fixture) kept() (int64, error) {
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

// begin starts a daemon that serves nothing, and returns what ends it at once.
func (r *fixture) begin(t *testing.T) (d *Daemon, end func()) {
	t.Helper()
	d = r.open(t)
	end = sync.OnceFunc(func() {
		d.endChanges()
		d.server.Close()
		d.node.Close()
		testpeer.Until(t, "the admin socket to be gone", func() bool {
			_, err := os.Stat(r.socket)
			return errors.Is(err, fs.ErrNotExist)
		})
	})
	t.Cleanup(end)
	return d, end
}

// planFor makes a plan for what such a daemon runs.
func (r *fixture) planFor(t *testing.T, d *Daemon, text string) []byte {
	t.Helper()
	cfg, problems := config.Parse([]byte(text), "planned.hcl")
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	s := d.Show()
	enc, err := plan.Make(s.Running, s.Config, cfg, plan.Source{}, r.socket, time.Now()).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return enc
}

// silently is for an apply that nobody watches.
func silently(string, time.Duration) {}

// startFails is the error of a start.
func (r *fixture) startFails() error {
	o := r.options
	o.File, o.Log = r.file, slog.New(slog.NewTextHandler(r.log, nil))
	d, err := Start(o)
	if err == nil {
		d.node.Close()
	}
	return err
}

// A full disk refuses an apply with its errno and the path. What ran runs on, and since the record was not touched the
// folder is not said to differ from it.
func TestFullDiskRejectsApplyWithoutDivergence(t *testing.T) {
	t.Parallel()
	a, b := named(t, "a"), named(t, "b")
	r := newFixture(t)
	disk := withFaultyDisk(r)
	r.write(t, r.text("p1", a.Address(), ""))
	r.start(t)
	second := r.plan(t, r.text("p2", b.Address(), ""))
	for _, request := range []string{"create", "write", "sync", "close"} {
		disk.failAll(request, syscall.ENOSPC)
		_, err := r.apply(t, second)
		wantCode(t, err, admin.CodeFailed, filepath.Join(r.dir, "state"))
		wantCode(t, err, admin.CodeFailed, syscall.ENOSPC.Error())
		if s := r.show(t); s.Diverged || s.Serial != 1 || s.LastChange == nil || s.LastChange.Error == "" {
			t.Errorf("%s: %+v", request, s)
		}
		r.wantServed(t, "a")
		r.wantKept(t, 1)
	}
	disk.succeed()
	if running, err := r.apply(t, second); err != nil || running.Serial != 2 {
		t.Errorf("%+v, %v", running, err)
	}
	r.wantServed(t, "b")
	r.wantKept(t, 2)
}

// Two or three requests in a row fail, in the write of an apply, in the write of the old record after it, and in those
// that repair it: each apply is refused with its errno and the path; what ran runs on; the folder holds its record, or the
// difference is shown and logged, and repaired once writes succeed, with no apply.
func TestDivergedFolderIsRepaired(t *testing.T) {
	t.Parallel()
	a, b := named(t, "a"), named(t, "b")
	r := newFixture(t)
	r.options.repairDelay = time.Millisecond
	disk := withFaultyDisk(r)
	r.write(t, r.text("p1", a.Address(), ""))
	r.start(t)
	disk.succeed()
	second := r.plan(t, r.text("p2", b.Address(), ""))
	if _, err := r.apply(t, second); err != nil {
		t.Fatal(err)
	}
	requests := disk.made()
	if n := len(requests); n != 7 {
		t.Fatalf("calls of a write: %v", requests)
	}
	if _, err := r.client().Rollback(t.Context(), r.show(t).Running, testpeer.Limit, nil); err != nil {
		t.Fatal(err)
	}
	second = r.plan(t, r.text("p2", b.Address(), ""))
	differences, rename := 0, 1+slices.Index(requests, "rename")
	for first := 1; first <= len(requests); first++ {
		for restore := 1; restore <= len(requests); restore++ {
			for _, repair := range []int{0, 1, 3, 7} {
				if first < rename && restore+repair > 1 {
					continue // nothing is written after it
				}
				disk.failAt(first, first+restore, first+restore+repair)
				_, err := r.apply(t, second)
				wantCode(t, err, admin.CodeFailed, syscall.EIO.Error())
				wantCode(t, err, admin.CodeFailed, filepath.Join(r.dir, "state"))
				if s := r.show(t); s.Serial != 3 || s.Config.Pools[0].Name != "p1" {
					t.Fatalf("%+v", s)
				} else if s.Diverged {
					differences++
				}
				testpeer.Until(t, "the folder to be repaired", func() bool { return !r.show(t).Diverged })
				disk.succeed()
				r.wantKept(t, 3)
			}
		}
	}
	r.wantServed(t, "a")
	if differences == 0 || strings.Count(r.log.String(), "may hold another configuration than what runs") < differences ||
		strings.Count(r.log.String(), "the state folder holds what runs again") < differences {
		t.Errorf("%d differences shown; log: %s", differences, r.log)
	}
	// The target of a rollback is still there: one that can't be kept is refused, the next one leads to it.
	disk.failAll("sync", syscall.ENOSPC)
	now := r.show(t).Running
	_, err := r.client().Rollback(t.Context(), now, testpeer.Limit, nil)
	wantCode(t, err, admin.CodeFailed, syscall.ENOSPC.Error())
	r.wantServed(t, "a")
	disk.succeed()
	if running, err := r.client().Rollback(t.Context(), now, testpeer.Limit, nil); err != nil || running.Serial != 4 {
		t.Errorf("%+v, %v", running, err)
	}
	r.wantServed(t, "b")
	r.wantKept(t, 4)
}

// A node starts although its first record, or the file's in place of an earlier one, can't be written for a while: that
// is logged and shown, and written once it can be. An error that stays, as a folder that nobody may write to, ends the start.
func TestStartWithUnwritableFolder(t *testing.T) {
	t.Parallel()
	a, b := named(t, "a"), named(t, "b")
	r := newFixture(t)
	r.options.repairDelay = time.Millisecond
	r.options.FromFile = true
	disk := withFaultyDisk(r)
	for i, by := range []string{"a", "b"} {
		address := map[string]string{"a": a.Address(), "b": b.Address()}[by]
		r.write(t, r.text("p"+by, address, ""))
		for _, request := range []string{"create", "sync", "rename"} {
			disk.failAll(request, syscall.EACCES)
			if err := r.startFails(); !errors.Is(err, syscall.EACCES) || !strings.Contains(err.Error(), filepath.Join(r.dir, "state")) {
				t.Errorf("%s: %v", request, err)
			}
		}
		disk.failAll([]string{"create", "rename"}[i], syscall.ENOSPC)
		_, stop := r.start(t)
		r.wantServed(t, by)
		if s := r.show(t); !s.Diverged || s.Serial != int64(i+1) {
			t.Errorf("%+v", s)
		}
		if log := r.log.String(); !strings.Contains(log, "may hold another configuration than what runs") || !strings.Contains(log, syscall.ENOSPC.Error()) {
			t.Errorf("not logged: %s", log)
		}
		disk.succeed()
		testpeer.Until(t, "the record to be written", func() bool { return !r.show(t).Diverged })
		r.wantKept(t, int64(i+1))
		stop()
	}
}

// What was applied is found although the folder can't be read for a moment at a start.
func TestStartRetriesRead(t *testing.T) {
	t.Parallel()
	a, b := named(t, "a"), named(t, "b")
	r := newFixture(t)
	disk := withFaultyDisk(r)
	r.write(t, r.text("p1", a.Address(), ""))
	d, end := r.begin(t)
	if _, err := d.Apply(r.planFor(t, d, r.text("p2", b.Address(), "")), 0, silently); err != nil {
		t.Fatal(err)
	}
	end()
	for _, request := range []string{"open", "read"} {
		failures := 0
		disk.fail(func(_ int, made string) error {
			if made == request && failures < 3 {
				failures++
				return syscall.EMFILE
			}
			return nil
		})
		d, end := r.begin(t)
		if s := d.Show(); s.Serial != 2 || s.Config.Pools[0].Name != "p2" || failures != 3 {
			t.Errorf("%s: %d failures, %+v", request, failures, s)
		}
		end()
	}
}

// A start gives up on a folder that stays unreadable: it may hold what was applied, so that the file doesn't run in its
// place. The error says what and where, and asks for no other folder.
func TestStartFailsOnUnreadableFolder(t *testing.T) {
	r := newFixture(t)
	disk := withFaultyDisk(r)
	r.write(t, r.text("p1", named(t, "a").Address(), ""))
	_, end := r.begin(t)
	end()
	disk.failAll("read", syscall.EIO)
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		err := r.startFails()
		if !errors.Is(err, syscall.EIO) || !strings.Contains(err.Error(), filepath.Join(r.dir, "state", "running.json")) ||
			strings.Contains(err.Error(), "folder of its own") {
			t.Errorf("%v", err)
		}
		if took := time.Since(begun); took < maxReadTime/2 || took > maxReadTime {
			t.Errorf("given up after %v", took)
		}
	})
}

// The process is killed at each request of an apply's write, or of the write of the old record after one that failed: the
// next start runs the old configuration or the new one, and the folder holds what runs, also if the power is lost then.
func TestStartAfterKillRunsRecordedConfiguration(t *testing.T) {
	t.Parallel()
	a, b := named(t, "a"), named(t, "b")
	for _, kill := range [][]int{{0, 1}, {0, 2}, {0, 3}, {0, 5}, {0, 6}, {0, 7}, {7, 8}, {7, 12}, {7, 13}, {7, 14}} {
		r := newFixture(t)
		disk := withFaultyDisk(r)
		files := r.options.StateFiles.(*statetest.Files)
		r.write(t, r.text("p1", a.Address(), ""))
		d, end := r.begin(t)
		second := r.planFor(t, d, r.text("p2", b.Address(), ""))
		disk.fail(func(n int, _ string) error {
			switch n {
			case kill[0]:
				return syscall.EIO
			case kill[1]:
				return statetest.ErrEnded
			}
			return nil
		})
		if _, err := d.Apply(second, 0, silently); err == nil {
			t.Errorf("%v: no error", kill)
		}
		end()
		disk.succeed()
		files.Restart()
		d, end = r.begin(t)
		s := d.Show()
		if pool := s.Config.Pools[0].Name; s.Diverged || pool != fmt.Sprint("p", s.Serial) {
			t.Errorf("%v: %+v", kill, s)
		}
		r.wantKept(t, s.Serial)
		if err := files.LosePower(false); err != nil {
			t.Fatal(err)
		}
		r.wantKept(t, s.Serial)
		if left, _ := os.ReadDir(filepath.Join(r.dir, "state")); len(left) != 1 {
			t.Errorf("%v leaves %v", kill, left)
		}
		end()
	}
}

// A record whose name can't be made to last at a start runs, and is written anew.
func TestStartRewritesUnsyncedRecord(t *testing.T) {
	t.Parallel()
	r := newFixture(t)
	r.options.repairDelay = time.Millisecond
	disk := withFaultyDisk(r)
	r.write(t, r.text("p1", named(t, "a").Address(), ""))
	_, end := r.begin(t)
	end()
	disk.failAll("sync", syscall.EIO)
	r.start(t)
	if s := r.show(t); !s.Diverged || s.Serial != 1 {
		t.Errorf("%+v", s)
	}
	disk.succeed()
	testpeer.Until(t, "the record to be written", func() bool { return !r.show(t).Diverged })
	if !slices.Contains(disk.made(), "rename") {
		t.Errorf("not written: %v", disk.made())
	}
	r.wantKept(t, 1)
}

// A left-over file that can't be removed keeps no node from its start; the next write removes it.
func TestStartWithUnsweptFolder(t *testing.T) {
	t.Parallel()
	a, b := named(t, "a"), named(t, "b")
	r := newFixture(t)
	disk := withFaultyDisk(r)
	r.write(t, r.text("p1", a.Address(), ""))
	_, end := r.begin(t)
	end()
	left := filepath.Join(r.dir, "state", ".running.json17")
	if err := os.WriteFile(left, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	disk.failAll("remove", syscall.EROFS)
	r.start(t)
	if !strings.Contains(r.log.String(), left) {
		t.Errorf("not logged: %s", r.log)
	}
	disk.succeed()
	if _, err := r.apply(t, r.plan(t, r.text("p2", b.Address(), ""))); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(left); err == nil {
		t.Error("still there")
	}
}

// A plan of what runs already is acknowledged only once the folder holds it.
func TestApplyOfRunningConfigurationFailsWhileFolderDiverges(t *testing.T) {
	t.Parallel()
	a, b := named(t, "a"), named(t, "b")
	r := newFixture(t)
	r.options.repairDelay = time.Hour
	disk := withFaultyDisk(r)
	r.write(t, r.text("p1", a.Address(), ""))
	r.start(t)
	same, second := r.plan(t, r.text("p1", a.Address(), "")), r.plan(t, r.text("p2", b.Address(), ""))
	disk.failAt(7, 8) // the folder's sync, and the old record's file
	if _, err := r.apply(t, second); err == nil {
		t.Fatal("no error")
	}
	r.wantKept(t, 2)
	disk.failAll("", syscall.EDQUOT)
	_, err := r.apply(t, same)
	wantCode(t, err, admin.CodeFailed, syscall.EDQUOT.Error())
	disk.succeed()
	if running, err := r.apply(t, same); err != nil || running.Serial != 1 {
		t.Errorf("%+v, %v", running, err)
	}
	r.wantKept(t, 1)
	if r.show(t).Diverged {
		t.Error("still said to differ")
	}
}

// An apply whose record is written when the node begins to end is refused, and the record put back: by the apply, or if
// that fails by the end, or else the log says what the next start will find.
func TestRecordIsRestoredWhenCommitFails(t *testing.T) {
	t.Parallel()
	a, b := named(t, "a"), named(t, "b")
	for name, c := range map[string]struct {
		failing int // writes of the old record
		kept    int64
	}{"by the apply": {0, 1}, "by the end": {1, 1}, "not": {2, 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newFixture(t)
			r.options.repairDelay = time.Hour
			disk := withFaultyDisk(r)
			r.write(t, r.text("p1", a.Address(), ""))
			d, stop := r.start(t)
			second := r.plan(t, r.text("p2", b.Address(), ""))
			creates, stopped := 0, make(chan struct{})
			disk.fail(func(n int, request string) error {
				if request == "create" {
					creates++
				}
				if n == 7 { // the last of the write
					go func() {
						defer close(stopped)
						stop()
					}()
					testpeer.Until(t, "the node to be ending", func() bool {
						_, err := d.node.Prepare(t.Context(), d.startConfig, 0)
						return errors.Is(err, node.ErrShuttingDown)
					})
				}
				if request == "create" && creates > 1 && creates <= 1+c.failing {
					return syscall.EDQUOT
				}
				return nil
			})
			_, err := r.apply(t, second)
			wantCode(t, err, admin.CodeShuttingDown, "ending")
			if c.failing > 0 {
				wantCode(t, err, admin.CodeShuttingDown, syscall.EDQUOT.Error())
			}
			testpeer.Receive(t, stopped, "the end")
			r.wantKept(t, c.kept)
			if said := strings.Contains(r.log.String(), "was not brought up to what ran"); said != (c.kept == 2) {
				t.Errorf("said: %v", said)
			}
		})
	}
}

// A daemon that ends while its folder differs tries once more, and says so if that fails too.
func TestShutdownRetriesRepair(t *testing.T) {
	t.Parallel()
	for _, repaired := range []bool{true, false} {
		a, b := named(t, "a"), named(t, "b")
		r := newFixture(t)
		r.options.repairDelay = time.Hour
		disk := withFaultyDisk(r)
		r.write(t, r.text("p1", a.Address(), ""))
		_, stop := r.start(t)
		second := r.plan(t, r.text("p2", b.Address(), ""))
		disk.failAt(7, 8) // the folder's sync, and the old record's file
		if _, err := r.apply(t, second); err == nil {
			t.Fatal("no error")
		}
		r.wantKept(t, 2)
		if s := r.show(t); !s.Diverged || s.Serial != 1 {
			t.Errorf("%+v", s)
		}
		if !repaired {
			disk.failAll("", syscall.EROFS)
		}
		stop()
		if repaired {
			r.wantKept(t, 1)
		} else if !strings.Contains(r.log.String(), "was not brought up to what ran") {
			t.Error("not said")
		}
	}
}
