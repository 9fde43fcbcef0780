package state_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"damsontrestle/internal/state"
	"damsontrestle/internal/state/statetest"
)

// errnos are temporary errors of a file system.
var errnos = []error{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT, syscall.EROFS, syscall.EMFILE}

// savedRecord is a record and the content of its file, which Load accepts.
type savedRecord struct {
	record *state.Record
	text   string
}

// records are indexed by serial, 1 to 4, and made only once, as that reads a configuration file.
var (
	records [5]savedRecord
	once    sync.Once
)

func makeRecords(t *testing.T) {
	f, err := state.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for serial := 1; serial < len(records); serial++ {
		r := state.NewRecord(t, int64(serial))
		if err := f.Save(r); err != nil {
			t.Fatal(err)
		}
		if back, err := f.Load(r.Node); err != nil || !reflect.DeepEqual(back, r) {
			t.Fatalf("%+v, %v", back, err)
		}
		text, err := os.ReadFile(f.Path())
		if err != nil {
			t.Fatal(err)
		}
		records[serial] = savedRecord{record: r, text: string(text)}
	}
}

// faultScript makes file operations fail by their number and records all operations.
type faultScript struct {
	faults     map[int]error // by number of the operation, from 1
	operations []string      // such as "sync /path"
}

func (s *faultScript) intercept(operation, path string) error {
	s.operations = append(s.operations, operation+" "+path)
	return s.faults[len(s.operations)]
}

// failed reports whether an operation of that name has failed.
func (s *faultScript) failed(operation string) bool {
	for i := range s.faults {
		if i <= len(s.operations) && strings.HasPrefix(s.operations[i-1], operation+" ") {
			return true
		}
	}
	return false
}

// restart sets the faults and numbers operations from 1 again.
func (s *faultScript) restart(faults map[int]error) { s.operations, s.faults = nil, faults }

// newFaultyFolder returns a folder that holds serial 1, with its file system and the script of its faults.
func newFaultyFolder(t *testing.T) (*state.Folder, *statetest.FileSystem, *faultScript) {
	t.Helper()
	once.Do(func() { makeRecords(t) })
	s := &faultScript{}
	files := &statetest.FileSystem{Intercept: s.intercept}
	f, err := state.OpenOn(files, filepath.Join(t.TempDir(), "state"))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Save(records[1].record); err != nil {
		t.Fatal(err)
	}
	return f, files, s
}

// operationsPerSave returns the number of file operations of a Save without faults.
func operationsPerSave(t *testing.T) int {
	f, _, s := newFaultyFolder(t)
	s.restart(nil)
	if err := f.Save(records[2].record); err != nil {
		t.Fatal(err)
	}
	if len(s.operations) < 8 {
		t.Fatalf("a save makes %d operations, want at least 8: %v", len(s.operations), s.operations)
	}
	return len(s.operations)
}

// recordedSerial returns the serial that a new process finds, and fails the test unless the record is complete.
func recordedSerial(t *testing.T, f *state.Folder) int {
	t.Helper()
	next, err := state.Open(filepath.Dir(f.Path()))
	if err != nil {
		t.Fatal(err)
	}
	if err := next.Sweep(); err != nil {
		t.Fatal(err)
	}
	if left, _ := os.ReadDir(filepath.Dir(f.Path())); len(left) != 1 {
		t.Fatalf("files left behind: %v", left)
	}
	text, err := os.ReadFile(f.Path())
	if err != nil {
		t.Fatal(err)
	}
	serial := slices.IndexFunc(records[:], func(k savedRecord) bool { return k.text == string(text) })
	if serial < 1 {
		t.Fatalf("incomplete record: %s", text)
	}
	return serial
}

// wantErrnoAndPath checks that an error wraps the errno and names a path of the folder.
func wantErrnoAndPath(t *testing.T, f *state.Folder, err, errno error) {
	t.Helper()
	if !errors.Is(err, errno) || !strings.Contains(err.Error(), filepath.Dir(f.Path())) {
		t.Errorf("got %v, want %v with a path of the folder", err, errno)
	}
}

// syncedTwice returns the first sync of a temporary file that was tried twice, or "".
func syncedTwice(operations []string) string {
	seen := map[string]bool{}
	for _, operation := range operations {
		if strings.HasPrefix(operation, "sync ") && strings.Contains(operation, state.TemporaryPrefix) {
			if seen[operation] {
				return operation
			}
			seen[operation] = true
		}
	}
	return ""
}

// Each file operation of a save fails in turn, with different errnos, alone or together with each later operation. After
// each save the folder holds the old record or the new one, complete. The error names the errno and the path, and reports
// Untouched only if the old record is in place. No other file remains unless its removal failed. A later save succeeds with
// a new file.
func TestWriteFaultsLeaveOneCompleteRecord(t *testing.T) {
	n := operationsPerSave(t)
	for first := 1; first <= n; first++ {
		for second := first; second <= first+n; second++ {
			errno, errno2 := errnos[first%len(errnos)], errnos[second%len(errnos)]
			t.Run(fmt.Sprintf("%d and %d", first, second), func(t *testing.T) {
				f, _, s := newFaultyFolder(t)
				s.restart(map[int]error{first: errno, second: errno2})
				serial := 1
				for try := 2; try <= 4; try++ {
					before := len(s.operations)
					err := f.Save(records[try].record)
					if left, _ := os.ReadDir(filepath.Dir(f.Path())); len(left) != 1 && !s.failed("remove") {
						t.Errorf("files left behind: %v; operations: %v", left, s.operations)
					}
					now := recordedSerial(t, f)
					var write *state.WriteError
					switch {
					case err == nil && now != try:
						t.Fatalf("save succeeded, but the folder holds serial %d, want %d", now, try)
					case err != nil && now != try && now != serial:
						t.Fatalf("the folder holds serial %d, want %d or %d", now, serial, try)
					case err != nil && !errors.As(err, &write):
						t.Fatalf("error is a %T, want a *state.WriteError", err)
					case err != nil && write.Untouched && now != serial:
						t.Fatalf("the error reports Untouched, but the folder holds serial %d, want %d", now, serial)
					}
					if err != nil {
						at := first
						if first <= before {
							at = second
						}
						wantErrnoAndPath(t, f, err, s.faults[at])
					}
					serial = now
				}
				if serial != 4 {
					t.Errorf("serial %d after the faults, want 4; operations: %v", serial, s.operations)
				}
				if again := syncedTwice(s.operations); again != "" {
					t.Errorf("synced the same file twice: %s", again)
				}
			})
		}
	}
}

// The process is killed at each file operation of a save, or of the save after a failed one; a write that is interrupted
// leaves half of the data. After that, and also if power is lost too, the next start finds a complete record, which is the
// newest one if its save had succeeded.
func TestKillsLeaveOneCompleteRecord(t *testing.T) {
	n := operationsPerSave(t)
	for _, power := range []string{"stays", "lost with the names", "lost without the names"} {
		for fails := 0; fails <= n; fails++ {
			for kill := fails + 1; kill <= fails+n; kill++ {
				t.Run(fmt.Sprintf("power %s, fails %d, kill %d", power, fails, kill), func(t *testing.T) {
					f, files, s := newFaultyFolder(t)
					s.restart(map[int]error{fails: syscall.EIO, kill: statetest.ErrKilled})
					possible := []int{1}
					for try := 2; try <= 3; try++ {
						if f.Save(records[try].record) == nil {
							possible = nil
						}
						possible = append(possible, try)
					}
					if power != "stays" {
						if err := files.SimulatePowerLoss(power == "lost without the names"); err != nil {
							t.Fatal(err)
						}
					}
					if now := recordedSerial(t, f); !slices.Contains(possible, now) {
						t.Errorf("the folder holds serial %d, want one of %v", now, possible)
					}
				})
			}
		}
	}
}

// A record whose save succeeded is in place after a loss of power.
func TestSavedRecordSurvivesPowerLoss(t *testing.T) {
	for _, namesStay := range []bool{false, true} {
		f, files, _ := newFaultyFolder(t)
		if err := f.Save(records[2].record); err != nil {
			t.Fatal(err)
		}
		if err := files.SimulatePowerLoss(namesStay); err != nil {
			t.Fatal(err)
		}
		if now := recordedSerial(t, f); now != 2 {
			t.Errorf("the folder holds serial %d, want 2", now)
		}
	}
}

// Temporary files that failed saves could not remove are removed by the next successful save, so that they do not
// accumulate.
func TestLeftoverFilesAreSweptLater(t *testing.T) {
	f, files, _ := newFaultyFolder(t)
	files.Intercept = func(operation, _ string) error {
		if operation == "sync" || operation == "remove" {
			return syscall.EIO
		}
		return nil
	}
	for range 3 {
		if err := f.Save(records[2].record); !errors.Is(err, syscall.EIO) {
			t.Fatal(err)
		}
	}
	files.Intercept = nil
	if err := f.Save(records[3].record); err != nil {
		t.Fatal(err)
	}
	if left, _ := os.ReadDir(filepath.Dir(f.Path())); len(left) != 1 {
		t.Errorf("files left behind: %v", left)
	}
}

// Sweep removes all temporary files that it can, even if the path contains glob characters or a file can't be removed.
func TestSweepContinuesAfterErrors(t *testing.T) {
	stays := ""
	files := &statetest.FileSystem{Intercept: func(operation, path string) error {
		if operation == "remove" && path == stays {
			return syscall.EIO
		}
		return nil
	}}
	f, err := state.OpenOn(files, filepath.Join(t.TempDir(), "[a", "*"))
	if err != nil {
		t.Fatal(err)
	}
	folder := filepath.Dir(f.Path())
	for _, name := range []string{"1", "2", "3"} {
		if err := os.WriteFile(filepath.Join(folder, state.TemporaryPrefix+name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	stays = filepath.Join(folder, state.TemporaryPrefix+"1")
	if err := f.Sweep(); !errors.Is(err, syscall.EIO) || !strings.Contains(err.Error(), stays) {
		t.Errorf("%v", err)
	}
	if left, _ := os.ReadDir(folder); len(left) != 1 {
		t.Errorf("files left: %v, want only the one that can't be removed", left)
	}
	stays = ""
	if err := f.Sweep(); err != nil {
		t.Error(err)
	}
	if left, _ := os.ReadDir(folder); len(left) != 0 {
		t.Errorf("files left: %v, want none", left)
	}
}

// A damaged record that can't be renamed is not overwritten: the next save renames it first, or fails.
func TestDamagedRecordIsNeverOverwritten(t *testing.T) {
	f, files, _ := newFaultyFolder(t)
	if err := os.WriteFile(f.Path(), []byte("{half"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, operation := range []string{"lstat", "rename"} {
		files.Intercept = func(made, _ string) error {
			if made == operation {
				return syscall.EIO
			}
			return nil
		}
		if _, err := f.Load("annot-1"); !errors.Is(err, state.ErrDamaged) || !errors.Is(err, syscall.EIO) {
			t.Errorf("%s: %v", operation, err)
		}
		var write *state.WriteError
		if err := f.Save(records[2].record); !errors.Is(err, syscall.EIO) || !errors.As(err, &write) || !write.Untouched {
			t.Errorf("%s: %v", operation, err)
		}
		if text, _ := os.ReadFile(f.Path()); string(text) != "{half" {
			t.Errorf("%s: the damaged record was overwritten: %s", operation, text)
		}
	}
	files.Intercept = nil
	if err := f.Save(records[2].record); err != nil {
		t.Fatal(err)
	}
	if text, _ := os.ReadFile(f.Path() + ".damaged-0"); string(text) != "{half" {
		t.Errorf("the renamed file holds %q, want the damaged record", text)
	}
	if text, _ := os.ReadFile(f.Path()); string(text) != records[2].text {
		t.Errorf("got record %s, want serial 2", text)
	}
}

// A folder that was created exists after a loss of power: every ancestor is synced before a save succeeds, even if the
// syncs fail at first. A folder that Open can't create because of a temporary error is created by Save.
func TestCreatedFolderSurvivesPowerLoss(t *testing.T) {
	once.Do(func() { makeRecords(t) })
	root := t.TempDir()
	path := filepath.Join(root, "a", "b", "state")
	files := &statetest.FileSystem{}
	failing, synced := 0, []string{}
	files.Intercept = func(operation, path string) error {
		if (operation == "mkdir" || operation == "sync" && !strings.Contains(path, state.TemporaryPrefix)) && failing < 4 {
			failing++
			return syscall.ENOSPC
		}
		if operation == "sync" {
			synced = append(synced, path)
		}
		return nil
	}
	f, err := state.OpenOn(files, path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Load("annot-1"); !errors.Is(err, state.ErrNoRecord) {
		t.Errorf("%v", err)
	}
	for f.Save(records[1].record) != nil {
		if failing > 4 {
			t.Fatal("save still fails after the faults")
		}
	}
	for at := path; at != root; at = filepath.Dir(at) {
		if !slices.Contains(synced, filepath.Dir(at)) {
			t.Errorf("the name of %s was not synced, only %v", at, synced)
		}
	}
	if failing != 4 {
		t.Errorf("%d operations failed, want 4", failing)
	}
}
