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

// wallReads are the functions and methods that make or take a time without its monotonic part.
var wallClockCalls = map[string]bool{"Unix": true, "UnixNano": true, "UnixMilli": true, "UnixMicro": true, "UTC": true, "Local": true,
	"Truncate": true, "Round": true, "Date": true, "Parse": true, "ParseInLocation": true}

// readsWall says that a call may make or take a time without its monotonic part: by its name, as the types are not known here.
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

// Wherever the program reads a wall time, or makes a time of which only that is left, the page on clocks says why.
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
		case d.IsDir() && (name == "internal/faultbench" || name == "internal/testpeer"): // no part of the program
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
					t.Errorf("%v: a wall time that docs/design/clocks.md does not name", files.Position(call.Pos()))
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
		t.Errorf("%d wall times were found: the check looks at too little", found)
	}
}
