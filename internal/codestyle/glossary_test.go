package codestyle

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const (
	root     = "../.."
	glossary = root + "/docs/glossary.md"
)

// retiredWords holds the words that the glossary retires: the code spans in the third column of its table of terms.
type retiredWords struct {
	names map[string]bool // words with a capital letter, such as LetGo: not allowed as whole identifiers
	words map[string]bool // lower-case words: not allowed as words of identifiers, comments and log texts
}

var codeSpan = regexp.MustCompile("`([^`]+)`")

func readGlossary(t *testing.T) retiredWords {
	t.Helper()
	page, err := os.ReadFile(glossary)
	if err != nil {
		t.Fatal(err)
	}
	retired := retiredWords{names: map[string]bool{}, words: map[string]bool{}}
	_, terms, _ := strings.Cut(string(page), "\n## Terms\n")
	terms, _, _ = strings.Cut(terms, "\n## ")
	for line := range strings.Lines(terms) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 5 { // the parts before the first bar and after the last one are empty
			continue
		}
		for _, span := range codeSpan.FindAllStringSubmatch(cells[3], -1) {
			if term := span[1]; strings.ToLower(term) == term {
				retired.words[term] = true
			} else {
				retired.names[term] = true
			}
		}
	}
	if len(retired.words) < 10 || len(retired.names) < 5 {
		t.Fatalf("%s retires %d words and %d names, want at least 10 and 5; its table of terms was probably not parsed", glossary, len(retired.words), len(retired.names))
	}
	return retired
}

var (
	nameWord = regexp.MustCompile(`[A-Z]?[a-z]+|[A-Z]+`)
	textWord = regexp.MustCompile(`[A-Za-z]+`)

	// quoted matches the parts of a text that quote a name of the code, a file or the wire protocol.
	quoted = regexp.MustCompile("`[^`]*`" + `|"[^"]*"|\S*\w[./_]\w\S*`)
)

// inName returns the retired words of an identifier.
func (g retiredWords) inName(name string) (found []string) {
	if g.names[name] {
		return []string{name}
	}
	return g.filter(nameWord.FindAllString(name, -1))
}

// inText returns the retired words of a comment or a log text.
func (g retiredWords) inText(text string) (found []string) {
	return g.filter(textWord.FindAllString(quoted.ReplaceAllString(text, " "), -1))
}

func (g retiredWords) filter(words []string) (found []string) {
	for _, word := range words {
		word = strings.ToLower(word)
		if g.words[word] {
			found = append(found, word)
		}
	}
	return found
}

// finding is a retired word and its position.
type finding struct {
	position token.Position
	kind     string // the kind of text that contains the word, for messages
	word     string
}

func (f finding) String() string {
	return f.position.String() + ": " + f.kind + " has " + strconv.Quote(f.word)
}

// messageFuncs are the functions and methods that write log messages or make errors.
var messageFuncs = map[string]bool{"Debug": true, "Info": true, "Warn": true, "Error": true, "Errorf": true, "New": true}

// fileFindings returns the retired words in the declared names, comments, log messages and errors of a Go file.
func (g retiredWords) fileFindings(t *testing.T, path string) (found []finding) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	report := func(at token.Pos, kind string, words []string) {
		for _, word := range words {
			found = append(found, finding{files.Position(at), kind, word})
		}
	}
	for _, group := range file.Comments {
		for _, comment := range group.List {
			report(comment.Pos(), "comment", g.inText(comment.Text))
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		for _, name := range declaredBy(n) {
			report(name.Pos(), "name "+name.Name, g.inName(name.Name))
		}
		for _, text := range messagesOf(n) {
			report(text.Pos(), "text", g.inText(text.Value))
		}
		return true
	})
	return found
}

// declaredBy returns the names that a syntax node declares.
func declaredBy(n ast.Node) []*ast.Ident {
	switch n := n.(type) {
	case *ast.File:
		return []*ast.Ident{n.Name}
	case *ast.FuncDecl:
		return []*ast.Ident{n.Name}
	case *ast.TypeSpec:
		return []*ast.Ident{n.Name}
	case *ast.ValueSpec:
		return n.Names
	case *ast.Field:
		return n.Names
	case *ast.AssignStmt:
		if n.Tok == token.DEFINE {
			return identifiers(n.Lhs)
		}
	case *ast.RangeStmt:
		if n.Tok == token.DEFINE {
			return identifiers([]ast.Expr{n.Key, n.Value})
		}
	}
	return nil
}

func identifiers(list []ast.Expr) (names []*ast.Ident) {
	for _, e := range list {
		if name, ok := e.(*ast.Ident); ok {
			names = append(names, name)
		}
	}
	return names
}

// messagesOf returns the string literals of a call that writes a log message or makes an error.
func messagesOf(n ast.Node) (texts []*ast.BasicLit) {
	call, ok := n.(*ast.CallExpr)
	if !ok {
		return nil
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !messageFuncs[method.Sel.Name] {
		return nil
	}
	for _, argument := range call.Args {
		texts = append(texts, literalsOf(argument)...)
	}
	return texts
}

// literalsOf returns the unquoted string literals that an argument concatenates.
func literalsOf(argument ast.Expr) (texts []*ast.BasicLit) {
	switch e := argument.(type) {
	case *ast.BinaryExpr:
		return append(literalsOf(e.X), literalsOf(e.Y)...)
	case *ast.BasicLit:
		if unquoted, err := strconv.Unquote(e.Value); err == nil {
			return []*ast.BasicLit{{ValuePos: e.ValuePos, Kind: e.Kind, Value: unquoted}}
		}
	}
	return nil
}

// Retired words are found as whole words only; words that merely contain them are not.
func TestRetiredWordsAreRecognized(t *testing.T) {
	g := retiredWords{names: map[string]bool{"LetGo": true}, words: map[string]bool{"heir": true, "cold": true}}
	for name, want := range map[string]int{"LetGo": 1, "LetGoAll": 0, "heirOf": 1, "coldHeir": 2, "theirs": 0, "scold": 0} {
		if found := g.inName(name); len(found) != want {
			t.Errorf("name %s: found %q, want %d words", name, found, want)
		}
	}
	for text, want := range map[string]int{"// an heir claims": 1, "// theirs": 0, "// see `cold` and docs/cold.md": 0, "// Cold heir": 2} {
		if found := g.inText(text); len(found) != want {
			t.Errorf("text %q: found %q, want %d words", text, found, want)
		}
	}
}

// Retired words are found in every kind of declared name, in comments and in log texts.
func TestRetiredWordsAreFoundInNamesCommentsAndTexts(t *testing.T) {
	g := retiredWords{words: map[string]bool{"heir": true}}
	path := t.TempDir() + "/heir.go"
	source := `package heir // heir
type heirType struct{ heirField int }
func heirFunc(heirParameter []int) {
	heirLocal := 1
	for heirIndex, heirValue := range heirParameter {
	}
	var heirVar = "heir"
	log.Info("the heir " + "heir")
	log.Info("an heir begins", "heir", heirLocal)
}
`
	if err := os.WriteFile(path, []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	found := g.fileFindings(t, path)
	const want = 2 + 2 + 2 + 1 + 2 + 1 + 2 + 2 // by line
	if len(found) != want {
		t.Errorf("%d findings, want %d: %v", len(found), want, found)
	}
}
