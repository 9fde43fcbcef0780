package codestyle

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// productFiles parses the Go files of the program, without tests and packages for tests.
func productFiles(t *testing.T) (files []*ast.File) {
	t.Helper()
	for _, top := range []string{"cmd/damsontrestle", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() {
				folder, err := filepath.Rel(root, path)
				if err == nil && isTestOnly(module+"/"+filepath.ToSlash(folder)) {
					return fs.SkipDir
				}
				return err
			}
			if filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err == nil {
				files = append(files, file)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// declarations returns the names that a file declares at package level, as package.Name or, for methods, package.Type.Name.
func declarations(file *ast.File) map[string]bool {
	names := map[string]bool{}
	prefix := file.Name.Name + "."
	for _, d := range file.Decls {
		switch d := d.(type) {
		case *ast.FuncDecl:
			name := d.Name.Name
			if d.Recv != nil {
				name = receiverName(d.Recv.List[0].Type) + "." + name
			}
			names[prefix+name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				for _, name := range declaredBy(spec) {
					names[prefix+name.Name] = true
				}
			}
		}
	}
	return names
}

func receiverName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.StarExpr:
		return receiverName(e.X)
	case *ast.IndexExpr:
		return receiverName(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

// qualifiedName matches a declaration of a package in the text of a page.
var qualifiedName = regexp.MustCompile("`([a-z][a-z0-9]*\\.[A-Z]\\w*(?:\\.[A-Z]\\w*)?)`")

func TestArchitecturePageNamesWhatTheCodeDeclares(t *testing.T) {
	page, err := os.ReadFile(root + "/docs/ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	declared := map[string]bool{}
	for _, file := range productFiles(t) {
		maps.Copy(declared, declarations(file))
	}
	named := qualifiedName.FindAllStringSubmatch(string(page), -1)
	if len(named) < 30 {
		t.Errorf("the page names %d declarations, want at least 30", len(named))
	}
	for _, m := range named {
		if !declared[m[1]] {
			t.Errorf("docs/ARCHITECTURE.md names %s, which the code does not declare", m[1])
		}
	}
}

// texts returns the string literals and the JSON field names of a file.
func texts(file *ast.File) map[string]bool {
	found := map[string]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.BasicLit:
			if text, err := strconv.Unquote(n.Value); err == nil && n.Kind == token.STRING {
				found[text] = true
			}
		case *ast.Field:
			if n.Tag != nil {
				tag, _ := strconv.Unquote(n.Tag.Value)
				name, _, _ := strings.Cut(reflect.StructTag(tag).Get("json"), ",")
				found[name] = true
			}
		}
		return true
	})
	return found
}

// Every log message, log attribute and metric in the second column of the on-call page's symptom tables exists in the program.
func TestOnCallPageQuotesLogLinesAndMetricsThatExist(t *testing.T) {
	page, err := os.ReadFile(root + "/docs/operate/on-call.md")
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	for _, file := range productFiles(t) {
		maps.Copy(known, texts(file))
	}
	_, symptoms, _ := strings.Cut(string(page), "\n## Symptoms\n")
	symptoms, _, _ = strings.Cut(symptoms, "\n## ")
	checked := 0
	for line := range strings.Lines(symptoms) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 6 { // four columns between bars
			continue
		}
		for _, span := range codeSpan.FindAllStringSubmatch(cells[2], -1) {
			checked++
			if !known[span[1]] {
				t.Errorf("docs/operate/on-call.md quotes %q, which is not a text of the program", span[1])
			}
		}
	}
	if checked < 30 {
		t.Errorf("the symptom tables quote %d texts, want at least 30", checked)
	}
}
