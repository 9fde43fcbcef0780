package requestids

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"unsafe"
)

// openShared opens the Set in a file.
func openShared(t *testing.T, path string) *Set {
	t.Helper()
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	set, err := Open(file)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// Guards against a request that the other process of an upgrade forwards again: what one adds or removes, the other finds.
func TestProcessesShareIDs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	one, other := openShared(t, path), openShared(t, path)
	one.Add("a")
	if !other.Contains("a") || other.Contains("b") {
		t.Errorf("a: %v, b: %v; want only a", other.Contains("a"), other.Contains("b"))
	}
	other.Remove("a")
	if one.Contains("a") {
		t.Error("a removed id is found")
	}
}

// Guards against ids without end that use up memory or displace recent ones: memory is constant, and the oldest give way.
func TestRecentIDsAreKeptAmongMany(t *testing.T) {
	const recent = sets // far fewer than there are slots
	set := New()
	for i := range 10 * sets * ways {
		set.Add(fmt.Sprint("old", i))
	}
	for i := range recent {
		set.Add(fmt.Sprint("recent", i))
	}
	lost := 0
	for i := range recent {
		if !set.Contains(fmt.Sprint("recent", i)) {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d recent ids are lost", lost, recent)
	}
	if size := len(set.slots) * int(unsafe.Sizeof(slot{})); size != fileBytes {
		t.Errorf("%d bytes, want %d", size, fileBytes)
	}
}

// An id is forgotten after the retention: a client may count anew.
func TestIDIsForgottenAfterRetention(t *testing.T) {
	set := New()
	set.Add("a")
	_, candidates := set.find("a")
	for i := range candidates {
		candidates[i].at -= int64(Retention) + 1
	}
	if set.Contains("a") {
		t.Error("an id is remembered beyond the retention")
	}
}
