package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Problems are all that is wrong with a file, a line for each: file, line, column, field, what was found and what is
// allowed.
type Problems []string

func (p Problems) Error() string { return strings.Join(p, "\n") }

// reader turns the form into an Experiment and collects what is wrong.
type reader struct{ problems Problems }

func (r *reader) errorAt(at hcl.Range, field, format string, args ...any) {
	if field != "" {
		field += ": "
	}
	r.problems = append(r.problems, fmt.Sprintf("%s:%d:%d: %s%s", at.Filename, at.Start.Line, at.Start.Column, field, fmt.Sprintf(format, args...)))
}

// deep refuses brackets that are nested too deeply.
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

// block is one block of the file: where its fields stand, and what it is called.
type block struct {
	*reader
	body hcl.Body
	path string
}

// at is where a field stands, or its block.
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

// duration reads a length of time, within bounds.
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

// within checks names of zones; all stands for none.
func (b block) zoneNames(field string, names, known []string) []string {
	for _, n := range names {
		b.oneOf(field, n, known...)
	}
	if len(names) == 0 {
		return known
	}
	return names
}
