package codestyle

import (
	"bufio"
	"flag"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// allowList is the file with the number of retired words that each package may still have, one package per line. The numbers
// may only decrease. They include names of the wire protocol and of stored records that a package has to use.
const allowList = "testdata/retired.txt"

var update = flag.Bool("update", false, "lower the numbers in "+allowList+" to the current counts; no number is raised")

func readAllowList(t *testing.T) map[string]int {
	t.Helper()
	file, err := os.Open(allowList)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	allowed := map[string]int{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		folder, number, _ := strings.Cut(lines.Text(), " ")
		count, err := strconv.Atoi(number)
		if err != nil || count < 1 {
			t.Fatalf("%s: %q is not a folder followed by a count of at least 1", allowList, lines.Text())
		}
		allowed[folder] = count
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return allowed
}

// findingsByPackage returns the retired words of all Go files, including tests, by folder relative to the root.
func findingsByPackage(t *testing.T) map[string][]finding {
	t.Helper()
	g := readGlossary(t)
	found := map[string][]finding{}
	for _, top := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			folder, err := filepath.Rel(root, filepath.Dir(path))
			if err != nil {
				return err
			}
			if folder != "internal/codestyle" { // its tests contain the words as samples
				found[folder] = append(found[folder], g.fileFindings(t, path)...)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return found
}

// A package has no more retired words than the allow list permits. The number of a package with fewer is lowered by -update.
func TestNoRetiredWordsAreAdded(t *testing.T) {
	found, allowed := findingsByPackage(t), readAllowList(t)
	for _, folder := range slices.Sorted(maps.Keys(found)) {
		if count := len(found[folder]); count > allowed[folder] {
			t.Errorf("%s has %d words that %s retires, want at most %d:", folder, count, glossary, allowed[folder])
			for _, f := range found[folder] {
				t.Error(f)
			}
		}
	}
	if *update {
		writeAllowList(t, found, allowed)
	}
}

func writeAllowList(t *testing.T, found map[string][]finding, allowed map[string]int) {
	t.Helper()
	var text strings.Builder
	for _, folder := range slices.Sorted(maps.Keys(allowed)) {
		if count := min(len(found[folder]), allowed[folder]); count > 0 {
			fmt.Fprintf(&text, "%s %d\n", folder, count)
		}
	}
	if err := os.WriteFile(allowList, []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
