package config

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// MaxFileSize is how long a file may be.
const MaxFileSize = 16 << 20

// maxNesting bounds brackets within brackets. The parser recurses, and the stack that it may fill is the
// process's.
const maxNesting = 32

// Load reads and checks a file of our own. All problems are returned at once, with their lines; the Config is nil if one
// of them is an error, and comes with warnings otherwise.
func Load(path string) (*Config, Problems) {
	text, err := opener(openFile).read(path, MaxFileSize+1)
	return parseReadResult(text, err, path)
}

// Reload is Load where a configuration runs: a read that fails is retried for two seconds.
func Reload(path string) (*Config, Problems) {
	text, err := opener(openFile).readWithRetry(path, MaxFileSize+1)
	return parseReadResult(text, err, path)
}

// parseReadResult is Parse of a file that was read, or could not be.
func parseReadResult(text []byte, err error, path string) (*Config, Problems) {
	if err != nil {
		message := err.Error()
		for _, doing := range []string{"open ", "read "} {
			message = strings.Replace(message, doing+path+": ", "", 1)
		}
		return nil, Problems{{File: path, Message: message}}
	}
	return Parse(text, path)
}

// Parse reads and checks the text of a file of our own, in HCL. The name is for the messages.
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

// reader turns a file into a Config and remembers the line of each part.
type reader struct {
	file     string
	ranges   map[string]hcl.Range // of blocks and fields, by their paths
	unread   map[string]bool      // paths of what could not be read: what Check says of them is dropped
	problems Problems
}

// isUnread says that a field could not be read, or the block round it.
func (r *reader) isUnread(path string) bool {
	for path != "" {
		if r.unread[path] {
			return true
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return false
}

func (r *reader) fail(at hcl.Range, path, format string, args ...any) {
	r.problems = append(r.problems, Problem{File: r.file, Line: at.Start.Line, Column: at.Start.Column, Path: path,
		Message: fmt.Sprintf(format, args...)})
}

func (r *reader) diagnostic(d *hcl.Diagnostic) {
	at := hcl.Range{Start: hcl.InitialPos}
	if d.Subject != nil {
		at = *d.Subject
	}
	detail := strings.Join(strings.Fields(d.Detail), " ")
	r.fail(at, "", "%s: %s", strings.ToLower(d.Summary[:1])+d.Summary[1:], detail)
}

// locate gives a problem the place of its field, or of the nearest block round it that the file has.
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

// checkTokens looks at the file's tokens before the parser does: a configuration holds plain values, with nothing to
// compute, and is not nested deeply.
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
			r.fail(t.Range, "", "found %q; allowed: plain text: nothing is filled in here; write \"$${\" or \"%%%%{\" for the characters themselves", string(t.Bytes))
		case hclsyntax.TokenIdent, hclsyntax.TokenNumberLit, hclsyntax.TokenOQuote, hclsyntax.TokenCQuote, hclsyntax.TokenQuotedLit,
			hclsyntax.TokenOHeredoc, hclsyntax.TokenCHeredoc, hclsyntax.TokenStringLit, hclsyntax.TokenEqual, hclsyntax.TokenComma,
			hclsyntax.TokenComment, hclsyntax.TokenNewline, hclsyntax.TokenEOF, hclsyntax.TokenTemplateSeqEnd:
		default:
			r.fail(t.Range, "", "found %q; allowed: blocks, and fields with plain values: text in quotes, numbers, true, false, lists", string(t.Bytes))
			if len(r.problems) > 100 {
				return
			}
		}
	}
}
