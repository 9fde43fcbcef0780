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

// errnos are what a file system answers for a while.
var errnos = []error{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT, syscall.EROFS, syscall.EMFILE}

// known is a record, and its file's text, which Load takes.
type known struct {
	record *state.Record
	text   string
}

// records are those of serials 1 to 4, made once: that reads a configuration's file.
var (
	records [5]known
	once    sync.Once
)

func makeRecords(t *testing.T) {
	f, err := state.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for serial := 1; serial < len(records); serial++ {
		r := state.RecordOfSerial(t, int64(serial))
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
		records[serial] = known{record: r, text: string(text)}
	}
}

// script is what becomes of the requests of a folder, by their number.
type script struct {
	fails map[int]error
	calls []string // those made, "sync /path"
}

func (s *script) ask(request, path string) error {
	s.calls = append(s.calls, request+" "+path)
	return s.fails[len(s.calls)]
}

// failed says whether a request of that name has failed.
func (s *script) failed(request string) bool {
	for i := range s.fails {
		if i <= len(s.calls) && strings.HasPrefix(s.calls[i-1], request+" ") {
			return true
		}
	}
	return false
}

// begin starts the count anew.
func (s *script) begin(fails map[int]error) { s.calls, s.fails = nil, fails }

// faulty is a folder on the disk that holds serial 1, on files that go by a script.
func faulty(t *testing.T) (*state.Folder, *statetest.Files, *script) {
	t.Helper()
	once.Do(func() { makeRecords(t) })
	s := &script{}
	files := &statetest.Files{Ask: s.ask}
	f, err := state.OpenOn(files, filepath.Join(t.TempDir(), "state"))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Save(records[1].record); err != nil {
		t.Fatal(err)
	}
	return f, files, s
}

// callsOfASave counts the requests of a write with no fault.
func callsOfASave(t *testing.T) int {
	f, _, s := faulty(t)
	s.begin(nil)
	if err := f.Save(records[2].record); err != nil {
		t.Fatal(err)
	}
	if len(s.calls) < 8 {
		t.Fatalf("calls: %v", s.calls)
	}
	return len(s.calls)
}

// held is the serial that a new process finds in a complete record.
func held(t *testing.T, f *state.Folder) int {
	t.Helper()
	next, err := state.Open(filepath.Dir(f.Path()))
	if err != nil {
		t.Fatal(err)
	}
	if err := next.Sweep(); err != nil {
		t.Fatal(err)
	}
	if left, _ := os.ReadDir(filepath.Dir(f.Path())); len(left) != 1 {
		t.Fatalf("left behind: %v", left)
	}
	text, err := os.ReadFile(f.Path())
	if err != nil {
		t.Fatal(err)
	}
	serial := slices.IndexFunc(records[:], func(k known) bool { return k.text == string(text) })
	if serial < 1 {
		t.Fatalf("a record that is not complete: %s", text)
	}
	return serial
}

// isTelling checks that an error has the errno and a path of the folder.
func isTelling(t *testing.T, f *state.Folder, err, errno error) {
	t.Helper()
	if !errors.Is(err, errno) || !strings.Contains(err.Error(), filepath.Dir(f.Path())) {
		t.Errorf("no errno or no path: %v", err)
	}
}

// syncedTwice names a file whose sync was tried twice.
func syncedTwice(requests []string) string {
	seen := map[string]bool{}
	for _, request := range requests {
		if strings.HasPrefix(request, "sync ") && strings.Contains(request, state.TemporaryPrefix) {
			if seen[request] {
				return request
			}
			seen[request] = true
		}
	}
	return ""
}

// Each request of a write fails in turn, with each errno, alone or with each of the requests behind it: after each of the
// writes the folder holds the old record or the new one, complete, the error says which request failed and where, and
// says "untouched" only if the old one is there; no other file is left unless its removal failed; the next write goes through, in another file.
func TestWriteFaultsLeaveOneCompleteRecord(t *testing.T) {
	n := callsOfASave(t)
	for first := 1; first <= n; first++ {
		for second := first; second <= first+n; second++ {
			errno, errno2 := errnos[first%len(errnos)], errnos[second%len(errnos)]
			t.Run(fmt.Sprintf("%d and %d", first, second), func(t *testing.T) {
				f, _, s := faulty(t)
				s.begin(map[int]error{first: errno, second: errno2})
				serial := 1
				for try := 2; try <= 4; try++ {
					before := len(s.calls)
					err := f.Save(records[try].record)
					if left, _ := os.ReadDir(filepath.Dir(f.Path())); len(left) != 1 && !s.failed("remove") {
						t.Errorf("left behind: %v; calls: %v", left, s.calls)
					}
					now := held(t, f)
					var write *state.WriteError
					switch {
					case err == nil && now != try:
						t.Fatalf("written without an error, and serial %d is there, not %d", now, try)
					case err != nil && now != try && now != serial:
						t.Fatalf("serial %d, neither %d nor %d", now, serial, try)
					case err != nil && !errors.As(err, &write):
						t.Fatalf("%T", err)
					case err != nil && write.Untouched && now != serial:
						t.Fatalf("serial %d is there, and the error says that nothing was written", now)
					}
					if err != nil {
						at := first
						if first <= before {
							at = second
						}
						isTelling(t, f, err, s.fails[at])
					}
					serial = now
				}
				if serial != 4 {
					t.Errorf("serial %d after the faults are over; calls: %v", serial, s.calls)
				}
				if again := syncedTwice(s.calls); again != "" {
					t.Errorf("tried again: %s", again)
				}
			})
		}
	}
}

// The process is killed at each request of a write, or of the write after one that failed; a write in hand is half done.
// Then, or with the power lost too, the next start finds a complete record, and the newest if its write was over.
func TestKillsLeaveOneCompleteRecord(t *testing.T) {
	n := callsOfASave(t)
	for _, power := range []string{"stays", "lost with the names", "lost without the names"} {
		for fails := 0; fails <= n; fails++ {
			for kill := fails + 1; kill <= fails+n; kill++ {
				t.Run(fmt.Sprintf("power %s, fails %d, kill %d", power, fails, kill), func(t *testing.T) {
					f, files, s := faulty(t)
					s.begin(map[int]error{fails: syscall.EIO, kill: statetest.ErrEnded})
					possible := []int{1}
					for try := 2; try <= 3; try++ {
						if f.Save(records[try].record) == nil {
							possible = nil
						}
						possible = append(possible, try)
					}
					if power != "stays" {
						if err := files.LosePower(power == "lost without the names"); err != nil {
							t.Fatal(err)
						}
					}
					if now := held(t, f); !slices.Contains(possible, now) {
						t.Errorf("serial %d, want one of %v", now, possible)
					}
				})
			}
		}
	}
}

// A write that was over is there after a loss of power.
func TestSavedRecordSurvivesPowerLoss(t *testing.T) {
	for _, namesStay := range []bool{false, true} {
		f, files, _ := faulty(t)
		if err := f.Save(records[2].record); err != nil {
			t.Fatal(err)
		}
		if err := files.LosePower(namesStay); err != nil {
			t.Fatal(err)
		}
		if now := held(t, f); now != 2 {
			t.Errorf("serial %d", now)
		}
	}
}

// Files that writes left behind since they could not be removed either are removed by the next write that can; they
// don't pile up.
func TestLeftoverFilesAreSweptLater(t *testing.T) {
	f, files, _ := faulty(t)
	files.Ask = func(request, _ string) error {
		if request == "sync" || request == "remove" {
			return syscall.EIO
		}
		return nil
	}
	for range 3 {
		if err := f.Save(records[2].record); !errors.Is(err, syscall.EIO) {
			t.Fatal(err)
		}
	}
	files.Ask = nil
	if err := f.Save(records[3].record); err != nil {
		t.Fatal(err)
	}
	if left, _ := os.ReadDir(filepath.Dir(f.Path())); len(left) != 1 {
		t.Errorf("left behind: %v", left)
	}
}

// Sweep removes what it can: neither a path with a pattern's characters nor a file that stays keeps it from the rest.
func TestSweepContinuesAfterErrors(t *testing.T) {
	stays := ""
	files := &statetest.Files{Ask: func(request, path string) error {
		if request == "remove" && path == stays {
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
		t.Errorf("left: %v", left)
	}
	stays = ""
	if err := f.Sweep(); err != nil {
		t.Error(err)
	}
	if left, _ := os.ReadDir(folder); len(left) != 0 {
		t.Errorf("left: %v", left)
	}
}

// A damaged record that can't be set aside is not written over: the next write sets it aside first, or fails.
func TestDamagedRecordIsNeverOverwritten(t *testing.T) {
	f, files, _ := faulty(t)
	if err := os.WriteFile(f.Path(), []byte("{half"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, request := range []string{"lstat", "rename"} {
		files.Ask = func(made, _ string) error {
			if made == request {
				return syscall.EIO
			}
			return nil
		}
		if _, err := f.Load("annot-1"); !errors.Is(err, state.ErrDamaged) || !errors.Is(err, syscall.EIO) {
			t.Errorf("%s: %v", request, err)
		}
		var write *state.WriteError
		if err := f.Save(records[2].record); !errors.Is(err, syscall.EIO) || !errors.As(err, &write) || !write.Untouched {
			t.Errorf("%s: %v", request, err)
		}
		if text, _ := os.ReadFile(f.Path()); string(text) != "{half" {
			t.Errorf("%s: written over: %s", request, text)
		}
	}
	files.Ask = nil
	if err := f.Save(records[2].record); err != nil {
		t.Fatal(err)
	}
	if text, _ := os.ReadFile(f.Path() + ".damaged-0"); string(text) != "{half" {
		t.Errorf("set aside: %q", text)
	}
	if text, _ := os.ReadFile(f.Path()); string(text) != records[2].text {
		t.Errorf("the record: %s", text)
	}
}

// A folder that was made is there after a loss of power: every name on the way to it was synced before a write was over,
// also where that fails at first. One that can't be made for a while is made by the write.
func TestCreatedFolderSurvivesPowerLoss(t *testing.T) {
	once.Do(func() { makeRecords(t) })
	root := t.TempDir()
	path := filepath.Join(root, "a", "b", "state")
	files := &statetest.Files{}
	failing, synced := 0, []string{}
	files.Ask = func(request, path string) error {
		if (request == "mkdir" || request == "sync" && !strings.Contains(path, state.TemporaryPrefix)) && failing < 4 {
			failing++
			return syscall.ENOSPC
		}
		if request == "sync" {
			synced = append(synced, path)
		}
		return nil
	}
	f, err := state.OpenOn(files, path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Load("annot-1"); !errors.Is(err, state.ErrNone) {
		t.Errorf("%v", err)
	}
	for f.Save(records[1].record) != nil {
		if failing > 4 {
			t.Fatal("fails for ever")
		}
	}
	for at := path; at != root; at = filepath.Dir(at) {
		if !slices.Contains(synced, filepath.Dir(at)) {
			t.Errorf("%s may be lost: synced %v", at, synced)
		}
	}
	if failing != 4 {
		t.Errorf("%d failures", failing)
	}
}
