package config

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// MaxFileSize is the maximum size of a configuration file in bytes.
const MaxFileSize = 16 << 20

// maxNesting bounds the depth of nested brackets: the parser recurses, and a stack overflow would end the process.
const maxNesting = 32

// maxTokenProblems bounds the problems that checkTokens reports.
const maxTokenProblems = 100

// Load reads and checks an HCL file. It returns all problems at once, with their lines. The Config is nil if one of them is an
// error; otherwise they are all warnings.
func Load(path string) (*Config, Problems) {
	text, err := opener(openFile).read(path, MaxFileSize+1)
	return parseReadResult(text, err, path)
}

// Reload is Load for a process that already runs a configuration: it retries a failed read for two seconds.
func Reload(path string) (*Config, Problems) {
	text, err := opener(openFile).readWithRetry(path, MaxFileSize+1)
	return parseReadResult(text, err, path)
}

// parseReadResult parses the text of a file, or returns the error of its read as a problem.
func parseReadResult(text []byte, err error, path string) (*Config, Problems) {
	if err != nil {
		message := err.Error()
		for _, operation := range []string{"open ", "read "} {
			message = strings.Replace(message, operation+path+": ", "", 1)
		}
		return nil, Problems{{File: path, Message: message}}
	}
	return Parse(text, path)
}

// Parse parses and checks the text of an HCL file. The name is used in messages.
func Parse(text []byte, name string) (*Config, Problems) {
	r := &reader{file: name, ranges: map[string]hcl.Range{}, unread: map[string]bool{}}
	if len(text) > MaxFileSize {
		return nil, Problems{{File: name, Message: fmt.Sprintf("the file is longer than %v", Size(MaxFileSize))}}
	}
	if r.checkTokens(text); len(r.problems) > 0 {
		return nil, r.problems
	}
	file, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if diags.HasErrors() {
		for _, d := range diags {
			r.diagnostic(d)
		}
		r.problems.sort()
		return nil, r.problems
	}
	c := r.config(file.Body.(*hclsyntax.Body))
	for _, p := range c.Check() {
		if !r.isUnread(p.Path) {
			r.locate(&p)
			r.problems = append(r.problems, p)
		}
	}
	r.problems.sort()
	if r.problems.Err() != nil {
		return nil, r.problems
	}
	return c, r.problems
}

// reader converts a file into a Config and records the position of each field and block.
type reader struct {
	file     string
	ranges   map[string]hcl.Range // of blocks and fields, by path
	unread   map[string]bool      // paths of blocks and fields that could not be read; problems that Check finds there are dropped
	problems Problems
}

// isUnread reports whether a field or a block around it could not be read.
func (r *reader) isUnread(path string) bool {
	for path != "" {
		if r.unread[path] {
			return true
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return false
}

func (r *reader) fail(pos hcl.Range, path, format string, args ...any) {
	r.problems = append(r.problems, Problem{File: r.file, Line: pos.Start.Line, Column: pos.Start.Column, Path: path,
		Message: fmt.Sprintf(format, args...)})
}

func (r *reader) diagnostic(d *hcl.Diagnostic) {
	pos := hcl.Range{Start: hcl.InitialPos}
	if d.Subject != nil {
		pos = *d.Subject
	}
	detail := strings.Join(strings.Fields(d.Detail), " ")
	r.fail(pos, "", "%s: %s", strings.ToLower(d.Summary[:1])+d.Summary[1:], detail)
}

// locate sets the position of a problem to that of its field, or of the nearest enclosing block in the file.
func (r *reader) locate(p *Problem) {
	p.File = r.file
	for path := p.Path; path != ""; {
		if at, ok := r.ranges[path]; ok {
			p.Line, p.Column = at.Start.Line, at.Start.Column
			return
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			break
		}
		path = path[:i]
	}
	p.Line, p.Column = 1, 1
}

// checkTokens checks the file's tokens before they are parsed: a configuration holds literal values without expressions, and is
// not nested deeply.
func (r *reader) checkTokens(text []byte) {
	tokens, diags := hclsyntax.LexConfig(text, r.file, hcl.InitialPos)
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			r.diagnostic(d)
		}
	}
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack:
			if depth++; depth == maxNesting+1 {
				r.fail(t.Range, "", "brackets are nested more than %d deep", maxNesting)
				return
			}
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack:
			depth--
		case hclsyntax.TokenTemplateInterp, hclsyntax.TokenTemplateControl:
			r.fail(t.Range, "", "found %q; allowed: plain text: templates are not supported; write \"$${\" or \"%%%%{\" for the characters themselves", string(t.Bytes))
		case hclsyntax.TokenIdent, hclsyntax.TokenNumberLit, hclsyntax.TokenOQuote, hclsyntax.TokenCQuote, hclsyntax.TokenQuotedLit,
			hclsyntax.TokenOHeredoc, hclsyntax.TokenCHeredoc, hclsyntax.TokenStringLit, hclsyntax.TokenEqual, hclsyntax.TokenComma,
			hclsyntax.TokenComment, hclsyntax.TokenNewline, hclsyntax.TokenEOF, hclsyntax.TokenTemplateSeqEnd:
		default:
			r.fail(t.Range, "", "found %q; allowed: blocks, and fields with literal values: quoted strings, numbers, true, false, lists", string(t.Bytes))
			if len(r.problems) > maxTokenProblems {
				return
			}
		}
	}
}
