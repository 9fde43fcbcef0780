package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Problems lists the validation errors of a file, one line each: file, line, column, field, the value found and the values
// allowed.
type Problems []string

func (p Problems) Error() string { return strings.Join(p, "\n") }

// reader converts a decoded file to an Experiment and collects the validation errors.
type reader struct{ problems Problems }

func (r *reader) errorAt(at hcl.Range, field, format string, args ...any) {
	if field != "" {
		field += ": "
	}
	r.problems = append(r.problems, fmt.Sprintf("%s:%d:%d: %s%s", at.Filename, at.Start.Line, at.Start.Column, field, fmt.Sprintf(format, args...)))
}

// checkNesting reports an error if brackets are nested more than maxNesting deep.
func (r *reader) checkNesting(text []byte, name string) {
	tokens, _ := hclsyntax.LexConfig(text, name, hcl.InitialPos)
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenTemplateInterp:
			if depth++; depth > maxNesting {
				r.errorAt(t.Range, "", "brackets are nested more than %d deep", maxNesting)
				return
			}
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenTemplateSeqEnd:
			depth--
		}
	}
}

// block is one block of the file, with its path for error messages.
type block struct {
	*reader
	body hcl.Body
	path string
}

// rangeOf returns the source range of a field, or that of the block if the field is absent.
func (b block) rangeOf(field string) hcl.Range {
	body, ok := b.body.(*hclsyntax.Body)
	if !ok {
		return b.body.MissingItemRange()
	}
	if a := body.Attributes[field]; a != nil {
		return a.Range()
	}
	return body.SrcRange
}

func (b block) errorf(field, format string, args ...any) {
	b.errorAt(b.rangeOf(field), b.path+"."+field, format, args...)
}

// duration parses a duration and checks its bounds. It returns 0 for an empty or invalid text.
func (b block) duration(field, text string, least, most time.Duration) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < least || d > most {
		b.errorf(field, "found %q; allowed: %v to %v, with a unit, such as \"250ms\"", text, least, most)
		return 0
	}
	return d
}

func (b block) inRange(field string, v, least, most float64) {
	if !(v >= least && v <= most) {
		b.errorf(field, "found %v; allowed: %v to %v", v, least, most)
	}
}

func (b block) oneOf(field, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		b.errorf(field, "found %q; allowed: %s", v, strings.Join(allowed, ", "))
	}
}

func validName(name string) bool {
	return name != "" && len(name) <= 64 && strings.Trim(strings.ToLower(name), "abcdefghijklmnopqrstuvwxyz0123456789-_") == ""
}

// zoneNames checks names against the known zones. An empty list selects all of them.
func (b block) zoneNames(field string, names, known []string) []string {
	for _, n := range names {
		b.oneOf(field, n, known...)
	}
	if len(names) == 0 {
		return known
	}
	return names
}
