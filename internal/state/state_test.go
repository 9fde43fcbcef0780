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

func example(t testing.TB) *config.Config {
	t.Helper()
	c, problems := config.Load("../../deploy/damsontrestle.hcl")
	if problems.Err() != nil {
		t.Fatal(problems)
	}
	return c
}

// record is of a configuration that differs from the example in one figure.
func record(t testing.TB, serial int64) *Record {
	entry := func(serial int64) Entry {
		c := example(t)
		c.Pools[0].MaxAttempts = 1 + int(serial)%10
		return Entry{Serial: serial, Fingerprint: c.Fingerprint(), By: "apply", At: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), Config: c}
	}
	before := entry(serial - 1)
	return &Record{Node: "annot-1", Lineage: "l", Running: entry(serial), Previous: &before}
}

func open(t testing.TB) *Folder {
	t.Helper()
	f, err := Open(filepath.Join(t.TempDir(), "a", "state"))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestRecordRoundTrip(t *testing.T) {
	f := open(t)
	if _, err := f.Load("annot-1"); !errors.Is(err, ErrNone) {
		t.Errorf("%v", err)
	}
	for serial := int64(2); serial < 5; serial++ {
		if err := f.Save(record(t, serial)); err != nil {
			t.Fatal(err)
		}
		r, err := f.Load("annot-1")
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(r, record(t, serial)) {
			t.Errorf("got %+v", r)
		}
	}
	info, err := os.Stat(f.Path())
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info.Mode(), err)
	}
}

// A folder that can't be written, or a full disk, is an error, and the old record stays.
func TestUnwritableFolder(t *testing.T) {
	if os.Getuid() == 0 {
		t.Log("as root a read-only folder can be written: the rename fails on a folder in the record's place")
	}
	f := open(t)
	if err := os.Mkdir(f.Path(), 0o700); err != nil { // nothing can be renamed over it
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(f.Path(), "x"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := f.Save(record(t, 1)); err == nil {
		t.Error("no error")
	}
	if left, _ := os.ReadDir(filepath.Dir(f.Path())); len(left) != 1 {
		t.Errorf("left behind: %v", left)
	}
	if _, err := Open(filepath.Join(f.Path(), "x", "y")); err == nil {
		t.Error("a folder below a file")
	}
	gone := open(t)
	if err := os.RemoveAll(filepath.Dir(gone.Path())); err != nil {
		t.Fatal(err)
	}
	if err := gone.Save(record(t, 1)); err == nil {
		t.Error("no error")
	}
}

// What is damaged is set aside under a name of its own and told; what a newer program wrote, or is another
// node's, stays where it is.
func TestUnusableRecords(t *testing.T) {
	f := open(t)
	if err := f.Save(record(t, 3)); err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(f.Path())
	if err != nil {
		t.Fatal(err)
	}
	replace := func(old, new string) string {
		out := strings.Replace(string(good), old, new, 1)
		if out == string(good) {
			t.Fatalf("no %s", old)
		}
		return out
	}
	resealed := func(change func(*Record)) string {
		r := record(t, 3)
		change(r)
		other := open(t)
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
		"empty":                     {"", ErrDamaged, "annot-1"},
		"cut":                       {string(good[:len(good)/2]), ErrDamaged, "annot-1"},
		"zeros":                     {string(make([]byte, 4096)), ErrDamaged, "annot-1"},
		"a bit":                     {replace(`"serial":3`, `"serial":2`), ErrDamaged, "annot-1"},
		"no format":                 {replace(`"format":1`, `"format":0`), ErrDamaged, "annot-1"},
		"a wrong fingerprint":       {resealed(func(r *Record) { r.Running.Fingerprint = "x" }), ErrDamaged, "annot-1"},
		"one before without config": {resealed(func(r *Record) { r.Previous.Config = nil }), ErrDamaged, "annot-1"},
		"a configuration that does not pass": {resealed(func(r *Record) {
			r.Running.Config.Pools[0].MaxAttempts = 99
			r.Running.Fingerprint = r.Running.Config.Fingerprint()
		}), ErrDamaged, "annot-1"},
		"a newer format":      {replace(`"format":1`, `"format":2`), ErrNewer, "annot-1"},
		"another node's":      {string(good), ErrOtherNode, "n2"},
		"another node's, new": {resealed(func(r *Record) { r.Node = "n3" }), ErrOtherNode, "annot-1"},
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
			t.Errorf("%s: %v; the file is there: %v, %d set aside", name, err, there == nil, len(after)-len(before))
		}
		if aside && !strings.Contains(err.Error(), "set aside as "+f.Path()+".damaged-") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// What a write that was cut short left behind is removed, and nothing else.
func TestSweep(t *testing.T) {
	f := open(t)
	if err := f.Save(record(t, 1)); err != nil {
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
		t.Errorf("left: %v", left)
	}
}

// No file has Load crash, and one that it takes is complete.
func FuzzRecord(f *testing.F) {
	folder := open(f)
	if err := folder.Save(record(f, 3)); err != nil {
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
			t.Fatal("a record that does not hold together was taken")
		}
	})
}

// A record that an earlier program wrote is read, and this program writes the same bytes for it, so that the earlier
// one reads them. (A field that is added later changes the bytes: then show that the earlier program reads them.)
func TestRecordOfEarlierProgramRoundTrips(t *testing.T) {
	earlier, err := os.ReadFile("testdata/running-format1.json")
	if err != nil {
		t.Fatal(err)
	}
	f := open(t)
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
		t.Errorf("written differently now: %s, %v", now, err)
	}
}
