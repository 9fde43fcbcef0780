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

// wantRecorded checks the serial that a start would find.
func (r *fixture) wantRecorded(t *testing.T, serial int64) {
	t.Helper()
	if got, err := r.recordedSerial(); err != nil || got != serial {
		t.Errorf("the state folder holds serial %d (%v), want %d", got, err, serial)
	}
}

func (r *fixture) recordedSerial() (int64, error) {
	folder, err := state.Open(filepath.Join(r.dir, "state"))
	if err != nil {
		return 0, err
	}
	record, err := folder.Load("n1")
	if err != nil {
		return 0, err
	}
	return record.Running.Serial, nil
}

// startIdle starts a daemon without running it, and returns a function that closes it at once.
func (r *fixture) startIdle(t *testing.T) (d *Daemon, closeDaemon func()) {
	t.Helper()
	d = r.open(t)
	closeDaemon = sync.OnceFunc(func() {
		d.stopChanges()
		d.adminServer.Close()
		d.node.Close()
		testpeer.Until(t, "the admin socket to be gone", func() bool {
			_, err := os.Stat(r.socket)
			return errors.Is(err, fs.ErrNotExist)
		})
	})
	t.Cleanup(closeDaemon)
	return d, closeDaemon
}

// planFor returns an encoded plan from the configuration of a daemon that does not run to the one in text.
func (r *fixture) planFor(t *testing.T, d *Daemon, text string) []byte {
	t.Helper()
	cfg, problems := config.Parse([]byte(text), "planned.hcl")
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	s := d.Show()
	enc, err := plan.New(s.Running, s.Config, cfg, plan.Source{}, r.socket, time.Now()).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return enc
}

// discardSteps ignores the steps of an apply.
func discardSteps(string, time.Duration) {}

// startError returns the error of a start.
func (r *fixture) startError() error {
	o := r.options
	o.File, o.Log = r.file, slog.New(slog.NewTextHandler(r.log, nil))
	d, err := Start(o)
	if err == nil {
		d.node.Close()
	}
	return err
}

// An apply on a full disk fails with the errno and the path. The previous configuration stays in place and, since the record
// is unchanged, no divergence is reported.
func TestFullDiskRejectsApplyWithoutDivergence(t *testing.T) {
	t.Parallel()
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	fx := newFixture(t)
	disk := withFaultyDisk(fx)
	fx.writeFile(t, fx.configText("p1", serverA.Address(), ""))
	fx.start(t)
	second := fx.encodePlan(t, fx.configText("p2", serverB.Address(), ""))
	for _, operation := range []string{"create", "write", "sync", "close"} {
		disk.failAll(operation, syscall.ENOSPC)
		_, err := fx.apply(t, second)
		wantCode(t, err, admin.CodeFailed, filepath.Join(fx.dir, "state"))
		wantCode(t, err, admin.CodeFailed, syscall.ENOSPC.Error())
		if s := fx.show(t); s.Diverged || s.Serial != 1 || s.LastChange == nil || s.LastChange.Error == "" {
			t.Errorf("%s: %+v", operation, s)
		}
		fx.wantServed(t, "a")
		fx.wantRecorded(t, 1)
	}
	disk.succeed()
	if running, err := fx.apply(t, second); err != nil || running.Serial != 2 {
		t.Errorf("%+v, %v", running, err)
	}
	fx.wantServed(t, "b")
	fx.wantRecorded(t, 2)
}

// Two or three file operations fail: in the write of an apply, in the write of the old record that follows, and in the
// repair. Each apply fails with the errno and the path, and the previous configuration stays in place. The folder holds its
// record, or else the divergence is shown and logged, and is repaired without an apply once writes succeed.
func TestDivergedFolderIsRepaired(t *testing.T) {
	t.Parallel()
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	fx := newFixture(t)
	fx.options.repairDelay = time.Millisecond
	disk := withFaultyDisk(fx)
	fx.writeFile(t, fx.configText("p1", serverA.Address(), ""))
	fx.start(t)
	disk.succeed()
	second := fx.encodePlan(t, fx.configText("p2", serverB.Address(), ""))
	if _, err := fx.apply(t, second); err != nil {
		t.Fatal(err)
	}
	operations := disk.operationsMade()
	if n := len(operations); n != 7 {
		t.Fatalf("a write makes %d operations, want 7: %v", n, operations)
	}
	if _, err := fx.client().Rollback(t.Context(), fx.show(t).Running, testpeer.Limit, nil); err != nil {
		t.Fatal(err)
	}
	second = fx.encodePlan(t, fx.configText("p2", serverB.Address(), ""))
	divergences, rename := 0, 1+slices.Index(operations, "rename")
	for first := 1; first <= len(operations); first++ {
		for restore := 1; restore <= len(operations); restore++ {
			for _, repair := range []int{0, 1, 3, 7} {
				if first < rename && restore+repair > 1 {
					continue // the record is unchanged, so it is not written again
				}
				disk.failAt(first, first+restore, first+restore+repair)
				_, err := fx.apply(t, second)
				wantCode(t, err, admin.CodeFailed, syscall.EIO.Error())
				wantCode(t, err, admin.CodeFailed, filepath.Join(fx.dir, "state"))
				if s := fx.show(t); s.Serial != 3 || s.Config.Pools[0].Name != "p1" {
					t.Fatalf("%+v", s)
				} else if s.Diverged {
					divergences++
				}
				testpeer.Until(t, "the folder to be repaired", func() bool { return !fx.show(t).Diverged })
				disk.succeed()
				fx.wantRecorded(t, 3)
			}
		}
	}
	fx.wantServed(t, "a")
	if divergences == 0 || strings.Count(fx.log.String(), "state folder may differ from the running configuration") < divergences ||
		strings.Count(fx.log.String(), "state folder repaired; it holds the running configuration") < divergences {
		t.Errorf("%d divergences shown; log: %s", divergences, fx.log)
	}
	// The target of a rollback survives a rollback that can't be recorded, so that the next one succeeds.
	disk.failAll("sync", syscall.ENOSPC)
	now := fx.show(t).Running
	_, err := fx.client().Rollback(t.Context(), now, testpeer.Limit, nil)
	wantCode(t, err, admin.CodeFailed, syscall.ENOSPC.Error())
	fx.wantServed(t, "a")
	disk.succeed()
	if running, err := fx.client().Rollback(t.Context(), now, testpeer.Limit, nil); err != nil || running.Serial != 4 {
		t.Errorf("%+v, %v", running, err)
	}
	fx.wantServed(t, "b")
	fx.wantRecorded(t, 4)
}

// A temporary error of writing the first record, or the file's record in place of an earlier one, does not prevent a start:
// it is logged and shown, and the record is written as soon as possible. A permanent error, such as missing permission to
// write to the folder, makes the start fail.
func TestStartWithUnwritableFolder(t *testing.T) {
	t.Parallel()
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	fx := newFixture(t)
	fx.options.repairDelay = time.Millisecond
	fx.options.FromFile = true
	disk := withFaultyDisk(fx)
	for i, by := range []string{"a", "b"} {
		address := map[string]string{"a": serverA.Address(), "b": serverB.Address()}[by]
		fx.writeFile(t, fx.configText("p"+by, address, ""))
		for _, operation := range []string{"create", "sync", "rename"} {
			disk.failAll(operation, syscall.EACCES)
			if err := fx.startError(); !errors.Is(err, syscall.EACCES) || !strings.Contains(err.Error(), filepath.Join(fx.dir, "state")) {
				t.Errorf("%s: %v", operation, err)
			}
		}
		disk.failAll([]string{"create", "rename"}[i], syscall.ENOSPC)
		_, stop := fx.start(t)
		fx.wantServed(t, by)
		if s := fx.show(t); !s.Diverged || s.Serial != int64(i+1) {
			t.Errorf("%+v", s)
		}
		if log := fx.log.String(); !strings.Contains(log, "state folder may differ from the running configuration") || !strings.Contains(log, syscall.ENOSPC.Error()) {
			t.Errorf("not logged: %s", log)
		}
		disk.succeed()
		testpeer.Until(t, "the record to be written", func() bool { return !fx.show(t).Diverged })
		fx.wantRecorded(t, int64(i+1))
		stop()
	}
}

// A start that can't read the folder because of a temporary error retries and finds the applied configuration.
func TestStartRetriesRead(t *testing.T) {
	t.Parallel()
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	fx := newFixture(t)
	disk := withFaultyDisk(fx)
	fx.writeFile(t, fx.configText("p1", serverA.Address(), ""))
	d, end := fx.startIdle(t)
	if _, err := d.Apply(fx.planFor(t, d, fx.configText("p2", serverB.Address(), "")), 0, discardSteps); err != nil {
		t.Fatal(err)
	}
	end()
	for _, operation := range []string{"open", "read"} {
		failures := 0
		disk.failWith(func(_ int, made string) error {
			if made == operation && failures < 3 {
				failures++
				return syscall.EMFILE
			}
			return nil
		})
		d, end := fx.startIdle(t)
		if s := d.Show(); s.Serial != 2 || s.Config.Pools[0].Name != "p2" || failures != 3 {
			t.Errorf("%s: %d failures, %+v", operation, failures, s)
		}
		end()
	}
}

// A start fails if the folder stays unreadable: the folder may hold an applied configuration, so the file must not be used
// instead. The error names the errno and the path, and does not recommend another folder.
func TestStartFailsOnUnreadableFolder(t *testing.T) {
	fx := newFixture(t)
	disk := withFaultyDisk(fx)
	fx.writeFile(t, fx.configText("p1", newNamedServer(t, "a").Address(), ""))
	_, closeDaemon := fx.startIdle(t)
	closeDaemon()
	disk.failAll("read", syscall.EIO)
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		err := fx.startError()
		if !errors.Is(err, syscall.EIO) || !strings.Contains(err.Error(), filepath.Join(fx.dir, "state", "running.json")) ||
			strings.Contains(err.Error(), "folder of its own") {
			t.Errorf("%v", err)
		}
		if took := time.Since(startedAt); took < maxReadTime/2 || took > maxReadTime {
			t.Errorf("the start failed after %v, want between %v and %v", took, maxReadTime/2, maxReadTime)
		}
	})
}

// The process is killed at different file operations of an apply's write, or of the write of the old record after a failed
// one. The next start runs the old configuration or the new one, and the folder holds the one that runs, even if power is
// lost then.
func TestStartAfterKillRunsRecordedConfiguration(t *testing.T) {
	t.Parallel()
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	for _, kill := range [][]int{{0, 1}, {0, 2}, {0, 3}, {0, 5}, {0, 6}, {0, 7}, {7, 8}, {7, 12}, {7, 13}, {7, 14}} {
		fx := newFixture(t)
		disk := withFaultyDisk(fx)
		files := fx.options.StateFileSystem.(*statetest.FileSystem)
		fx.writeFile(t, fx.configText("p1", serverA.Address(), ""))
		d, end := fx.startIdle(t)
		second := fx.planFor(t, d, fx.configText("p2", serverB.Address(), ""))
		disk.failWith(func(n int, _ string) error {
			switch n {
			case kill[0]:
				return syscall.EIO
			case kill[1]:
				return statetest.ErrKilled
			}
			return nil
		})
		if _, err := d.Apply(second, 0, discardSteps); err == nil {
			t.Errorf("%v: no error", kill)
		}
		end()
		disk.succeed()
		files.RestartProcess()
		d, end = fx.startIdle(t)
		s := d.Show()
		if pool := s.Config.Pools[0].Name; s.Diverged || pool != fmt.Sprint("p", s.Serial) {
			t.Errorf("%v: %+v", kill, s)
		}
		fx.wantRecorded(t, s.Serial)
		if err := files.SimulatePowerLoss(false); err != nil {
			t.Fatal(err)
		}
		fx.wantRecorded(t, s.Serial)
		if left, _ := os.ReadDir(filepath.Join(fx.dir, "state")); len(left) != 1 {
			t.Errorf("%v: files left behind: %v", kill, left)
		}
		end()
	}
}

// A start uses a record that it can't make durable because the folder's sync fails, and the record is saved again later.
func TestStartRewritesUnsyncedRecord(t *testing.T) {
	t.Parallel()
	fx := newFixture(t)
	fx.options.repairDelay = time.Millisecond
	disk := withFaultyDisk(fx)
	fx.writeFile(t, fx.configText("p1", newNamedServer(t, "a").Address(), ""))
	_, end := fx.startIdle(t)
	end()
	disk.failAll("sync", syscall.EIO)
	fx.start(t)
	if s := fx.show(t); !s.Diverged || s.Serial != 1 {
		t.Errorf("%+v", s)
	}
	disk.succeed()
	testpeer.Until(t, "the record to be written", func() bool { return !fx.show(t).Diverged })
	if !slices.Contains(disk.operationsMade(), "rename") {
		t.Errorf("the record was not written again: %v", disk.operationsMade())
	}
	fx.wantRecorded(t, 1)
}

// A temporary file that can't be removed does not prevent a start; the next write removes it.
func TestStartWithUnsweptFolder(t *testing.T) {
	t.Parallel()
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	fx := newFixture(t)
	disk := withFaultyDisk(fx)
	fx.writeFile(t, fx.configText("p1", serverA.Address(), ""))
	_, end := fx.startIdle(t)
	end()
	left := filepath.Join(fx.dir, "state", ".running.json17")
	if err := os.WriteFile(left, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	disk.failAll("remove", syscall.EROFS)
	fx.start(t)
	if !strings.Contains(fx.log.String(), left) {
		t.Errorf("not logged: %s", fx.log)
	}
	disk.succeed()
	if _, err := fx.apply(t, fx.encodePlan(t, fx.configText("p2", serverB.Address(), ""))); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(left); err == nil {
		t.Error("the temporary file was not removed")
	}
}

// While the folder diverges, an apply of the configuration that already runs succeeds only once the folder holds it.
func TestApplyOfRunningConfigurationFailsWhileFolderDiverges(t *testing.T) {
	t.Parallel()
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	fx := newFixture(t)
	fx.options.repairDelay = time.Hour
	disk := withFaultyDisk(fx)
	fx.writeFile(t, fx.configText("p1", serverA.Address(), ""))
	fx.start(t)
	same, second := fx.encodePlan(t, fx.configText("p1", serverA.Address(), "")), fx.encodePlan(t, fx.configText("p2", serverB.Address(), ""))
	disk.failAt(7, 8) // the folder's sync, and the old record's file
	if _, err := fx.apply(t, second); err == nil {
		t.Fatal("no error")
	}
	fx.wantRecorded(t, 2)
	disk.failAll("", syscall.EDQUOT)
	_, err := fx.apply(t, same)
	wantCode(t, err, admin.CodeFailed, syscall.EDQUOT.Error())
	disk.succeed()
	if running, err := fx.apply(t, same); err != nil || running.Serial != 1 {
		t.Errorf("%+v, %v", running, err)
	}
	fx.wantRecorded(t, 1)
	if fx.show(t).Diverged {
		t.Error("divergence is still reported")
	}
}

// An apply whose record is written just when the shutdown begins fails, and the old record is restored: by the apply, or if
// that fails by the shutdown. If both fail, the log says that the next start may find another configuration.
func TestRecordIsRestoredWhenCommitFails(t *testing.T) {
	t.Parallel()
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	for name, c := range map[string]struct {
		failing int // writes of the old record
		kept    int64
	}{"by the apply": {0, 1}, "by the shutdown": {1, 1}, "not restored": {2, 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fx := newFixture(t)
			fx.options.repairDelay = time.Hour
			disk := withFaultyDisk(fx)
			fx.writeFile(t, fx.configText("p1", serverA.Address(), ""))
			d, stop := fx.start(t)
			second := fx.encodePlan(t, fx.configText("p2", serverB.Address(), ""))
			creates, stopped := 0, make(chan struct{})
			disk.failWith(func(n int, operation string) error {
				if operation == "create" {
					creates++
				}
				if n == 7 { // the last operation of the write
					go func() {
						defer close(stopped)
						stop()
					}()
					testpeer.Until(t, "the node to shut down", func() bool {
						_, err := d.node.Prepare(t.Context(), d.startConfig, 0)
						return errors.Is(err, node.ErrShuttingDown)
					})
				}
				if operation == "create" && creates > 1 && creates <= 1+c.failing {
					return syscall.EDQUOT
				}
				return nil
			})
			_, err := fx.apply(t, second)
			wantCode(t, err, admin.CodeShuttingDown, "ending")
			if c.failing > 0 {
				wantCode(t, err, admin.CodeShuttingDown, syscall.EDQUOT.Error())
			}
			testpeer.Receive(t, stopped, "the daemon to stop")
			fx.wantRecorded(t, c.kept)
			if logged := strings.Contains(fx.log.String(), "state folder repair failed at shutdown"); logged != (c.kept == 2) {
				t.Errorf("failed repair is logged: %v, want %v", logged, c.kept == 2)
			}
		})
	}
}

// A daemon that shuts down while its folder diverges tries to repair it once more, and logs an error if that fails too.
func TestShutdownRetriesRepair(t *testing.T) {
	t.Parallel()
	for _, repaired := range []bool{true, false} {
		serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
		fx := newFixture(t)
		fx.options.repairDelay = time.Hour
		disk := withFaultyDisk(fx)
		fx.writeFile(t, fx.configText("p1", serverA.Address(), ""))
		_, stop := fx.start(t)
		second := fx.encodePlan(t, fx.configText("p2", serverB.Address(), ""))
		disk.failAt(7, 8) // the folder's sync, and the old record's file
		if _, err := fx.apply(t, second); err == nil {
			t.Fatal("no error")
		}
		fx.wantRecorded(t, 2)
		if s := fx.show(t); !s.Diverged || s.Serial != 1 {
			t.Errorf("%+v", s)
		}
		if !repaired {
			disk.failAll("", syscall.EROFS)
		}
		stop()
		if repaired {
			fx.wantRecorded(t, 1)
		} else if !strings.Contains(fx.log.String(), "state folder repair failed at shutdown") {
			t.Error("the failed repair is not logged")
		}
	}
}
