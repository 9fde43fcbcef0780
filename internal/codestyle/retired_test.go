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

// allowList says how many retired words each package may still have, one package a line. Its numbers only shrink. Names of the wire
// and of stored records that a package maps at its edge stay in it.
const allowList = "testdata/retired.txt"

var update = flag.Bool("update", false, "lower the numbers of "+allowList+" to the present counts; none is raised")

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
			t.Fatalf("%s: %q is not a folder and a count of 1 or more", allowList, lines.Text())
		}
		allowed[folder] = count
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return allowed
}

// findingsByPackage returns the retired words of all Go files, tests among them, by their folder seen from the root.
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
			if folder != "internal/codestyle" { // whose tests have the words as samples
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

// A package has no retired word, or at most as many as the allow-list says. Fewer pass: the number is lowered with the next update.
func TestNoRetiredWordsAreAdded(t *testing.T) {
	found, allowed := findingsByPackage(t), readAllowList(t)
	for _, folder := range slices.Sorted(maps.Keys(found)) {
		if count := len(found[folder]); count > allowed[folder] {
			t.Errorf("%s has %d words that %s retires, at most %d are allowed:", folder, count, glossary, allowed[folder])
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
