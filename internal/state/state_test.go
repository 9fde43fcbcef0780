package state

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/config"
)

func loadExample(t testing.TB) *config.Config {
	t.Helper()
	c, problems := config.Load("../../deploy/damsontrestle.hcl")
	if problems.Err() != nil {
		t.Fatal(problems)
	}
	return c
}

// newRecord returns a record of the example configuration with a number of attempts that depends on the serial.
func newRecord(t testing.TB, serial int64) *Record {
	newEntry := func(serial int64) Entry {
		c := loadExample(t)
		c.Pools[0].MaxAttempts = 1 + int(serial)%10
		return Entry{Serial: serial, Fingerprint: c.Fingerprint(), By: "apply", At: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), Config: c}
	}
	previous := newEntry(serial - 1)
	return &Record{Node: "annot-1", Lineage: "l", Running: newEntry(serial), Previous: &previous}
}

func newFolder(t testing.TB) *Folder {
	t.Helper()
	f, err := Open(filepath.Join(t.TempDir(), "a", "state"))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestRecordRoundTrip(t *testing.T) {
	f := newFolder(t)
	if _, err := f.Load("annot-1"); !errors.Is(err, ErrNoRecord) {
		t.Errorf("%v", err)
	}
	for serial := int64(2); serial < 5; serial++ {
		if err := f.Save(newRecord(t, serial)); err != nil {
			t.Fatal(err)
		}
		r, err := f.Load("annot-1")
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(r, newRecord(t, serial)) {
			t.Errorf("got %+v", r)
		}
	}
	info, err := os.Stat(f.Path())
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info.Mode(), err)
	}
}

// Save returns an error and leaves no temporary file if the record can't be replaced or the folder is gone. Open returns an
// error if the folder can't be created.
func TestSaveToUnwritableFolderFails(t *testing.T) {
	if os.Getuid() == 0 {
		t.Log("root can write to a read-only folder, so a folder in place of the record makes the rename fail")
	}
	f := newFolder(t)
	if err := os.Mkdir(f.Path(), 0o700); err != nil { // a file can't be renamed over a folder
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(f.Path(), "x"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := f.Save(newRecord(t, 1)); err == nil {
		t.Error("Save over a folder: no error")
	}
	if left, _ := os.ReadDir(filepath.Dir(f.Path())); len(left) != 1 {
		t.Errorf("files left behind: %v", left)
	}
	if _, err := Open(filepath.Join(f.Path(), "x", "y")); err == nil {
		t.Error("Open below a file: no error")
	}
	gone := newFolder(t)
	if err := os.RemoveAll(filepath.Dir(gone.Path())); err != nil {
		t.Fatal(err)
	}
	if err := gone.Save(newRecord(t, 1)); err == nil {
		t.Error("Save to a removed folder: no error")
	}
}

// Load renames a damaged record and reports the new name. It leaves a record in place that a newer program wrote or that
// belongs to another node.
func TestUnusableRecordsAreRejected(t *testing.T) {
	f := newFolder(t)
	if err := f.Save(newRecord(t, 3)); err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(f.Path())
	if err != nil {
		t.Fatal(err)
	}
	replace := func(old, new string) string {
		out := strings.Replace(string(good), old, new, 1)
		if out == string(good) {
			t.Fatalf("the record does not contain %s", old)
		}
		return out
	}
	saved := func(change func(*Record)) string {
		r := newRecord(t, 3)
		change(r)
		other := newFolder(t)
		if err := other.Save(r); err != nil {
			t.Fatal(err)
		}
		text, _ := os.ReadFile(other.Path())
		return string(text)
	}
	for name, c := range map[string]struct {
		text string
		is   error
		node string
	}{
		"empty":                                  {"", ErrDamaged, "annot-1"},
		"truncated":                              {string(good[:len(good)/2]), ErrDamaged, "annot-1"},
		"zeros":                                  {string(make([]byte, 4096)), ErrDamaged, "annot-1"},
		"a changed digit":                        {replace(`"serial":3`, `"serial":2`), ErrDamaged, "annot-1"},
		"format 0":                               {replace(`"format":1`, `"format":0`), ErrDamaged, "annot-1"},
		"a wrong fingerprint":                    {saved(func(r *Record) { r.Running.Fingerprint = "x" }), ErrDamaged, "annot-1"},
		"a previous entry without configuration": {saved(func(r *Record) { r.Previous.Config = nil }), ErrDamaged, "annot-1"},
		"an invalid configuration": {saved(func(r *Record) {
			r.Running.Config.Pools[0].MaxAttempts = 99
			r.Running.Fingerprint = r.Running.Config.Fingerprint()
		}), ErrDamaged, "annot-1"},
		"a newer format":               {replace(`"format":1`, `"format":2`), ErrNewer, "annot-1"},
		"a record of another node":     {string(good), ErrOtherNode, "n2"},
		"a new record of another node": {saved(func(r *Record) { r.Node = "n3" }), ErrOtherNode, "annot-1"},
	} {
		if err := os.WriteFile(f.Path(), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		before, _ := filepath.Glob(f.Path() + ".damaged-*")
		_, err := f.Load(c.node)
		after, _ := filepath.Glob(f.Path() + ".damaged-*")
		_, there := os.Stat(f.Path())
		aside := c.is == ErrDamaged
		if !errors.Is(err, c.is) || (there != nil) != aside || (len(after) > len(before)) != aside {
			t.Errorf("%s: %v; the file is in place: %v, %d renamed", name, err, there == nil, len(after)-len(before))
		}
		if aside && !strings.Contains(err.Error(), "set aside as "+f.Path()+".damaged-") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Sweep removes the temporary files of interrupted writes, and no other files.
func TestSweep(t *testing.T) {
	f := newFolder(t)
	if err := f.Save(newRecord(t, 1)); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{".running.json123", "running.json.damaged-0", "other"} {
		if err := os.WriteFile(filepath.Join(filepath.Dir(f.Path()), name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Sweep(); err != nil {
		t.Fatal(err)
	}
	if left, _ := os.ReadDir(filepath.Dir(f.Path())); len(left) != 3 {
		t.Errorf("files left: %v, want 3", left)
	}
}

// decode does not panic on any input, and a record that it accepts is consistent.
func FuzzRecord(f *testing.F) {
	folder := newFolder(f)
	if err := folder.Save(newRecord(f, 3)); err != nil {
		f.Fatal(err)
	}
	good, _ := os.ReadFile(folder.Path())
	f.Add(good)
	f.Add(good[:len(good)/3])
	for _, s := range []string{"", "{}", `{"format":1,"digest":"","record":null}`, `{"format":2}`, "[]"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := decode(text, "annot-1")
		if err == nil && (r.Running.Config.Check().Err() != nil || r.Running.Fingerprint != r.Running.Config.Fingerprint()) {
			t.Fatal("decode accepted an inconsistent record")
		}
	})
}

// A record that an earlier program wrote is read and saved with the same bytes, so that the earlier program can read it
// again. A change that adds a field changes the bytes; it has to show that the earlier program can read them.
func TestRecordOfEarlierProgramRoundTrips(t *testing.T) {
	earlier, err := os.ReadFile("testdata/running-format1.json")
	if err != nil {
		t.Fatal(err)
	}
	f := newFolder(t)
	if err := os.WriteFile(f.Path(), earlier, 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := f.Load("annot-1")
	if err != nil || r.Running.Serial != 7 || r.Previous.Serial != 6 {
		t.Fatalf("%+v, %v", r, err)
	}
	if err := f.Save(r); err != nil {
		t.Fatal(err)
	}
	if now, err := os.ReadFile(f.Path()); err != nil || !bytes.Equal(now, earlier) {
		t.Errorf("saved bytes differ: %s, %v", now, err)
	}
}
