package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// wallClockCalls are the functions and methods that create or use a time without its monotonic reading.
var wallClockCalls = map[string]bool{"Unix": true, "UnixNano": true, "UnixMilli": true, "UnixMicro": true, "UTC": true, "Local": true,
	"Truncate": true, "Round": true, "Date": true, "Parse": true, "ParseInLocation": true}

// readsWallClock reports whether a call may create or use a time without its monotonic reading. It decides by the name, as no type
// information is available.
func readsWallClock(call *ast.CallExpr) bool {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !wallClockCalls[method.Sel.Name] {
		return false
	}
	receiver := ""
	if name, ok := method.X.(*ast.Ident); ok {
		receiver = name.Name
	}
	switch method.Sel.Name {
	case "Parse":
		return receiver == "time"
	case "Round":
		return receiver != "math"
	case "Local", "UTC":
		return len(call.Args) == 0
	}
	return true
}

// docs/design/clocks.md names each file of the program that reads wall time or creates a time without a monotonic reading.
func TestWallClockReadsAreDocumented(t *testing.T) {
	const root = "../.."
	page, err := os.ReadFile(filepath.Join(root, "docs/design/clocks.md"))
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	check := func(path string, d fs.DirEntry, err error) error {
		name := strings.TrimPrefix(filepath.ToSlash(path), root+"/")
		switch {
		case err != nil:
			return err
		case d.IsDir() && (name == "internal/faultbench" || name == "internal/testpeer"): // not part of the program
			return fs.SkipDir
		case d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go"):
			return nil
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok && readsWallClock(call) {
				found++
				if !strings.Contains(string(page), "`"+name+"`") {
					t.Errorf("%v: uses wall time, but docs/design/clocks.md does not name this file", files.Position(call.Pos()))
				}
			}
			return true
		})
		return nil
	}
	for _, folder := range []string{"internal", "cmd/damsontrestle"} {
		if err := filepath.WalkDir(filepath.Join(root, folder), check); err != nil {
			t.Fatal(err)
		}
	}
	if found < 10 {
		t.Errorf("found %d uses of wall time, want at least 10: the check misses some", found)
	}
}
