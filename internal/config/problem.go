package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one thing that is wrong with a configuration, or, as a Warning, that is likely not meant.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`   // from 1; 0: the configuration came from no file
	Column  int    `json:"column,omitempty"` // from 1, in characters
	Path    string `json:"path,omitempty"`   // the field, as in "pool.a.connections.most"
	Message string `json:"message"`          // what was found and what is allowed
	Warning bool   `json:"warning,omitempty"`
}

// Error writes it as compilers do: file, line, column, field, message.
func (p Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:", p.File)
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", p.Line, p.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Warning {
		b.WriteString("warning: ")
	}
	if p.Path != "" {
		fmt.Fprintf(&b, "%s: ", p.Path)
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems are all that is wrong with a configuration, in the order of its file.
type Problems []Problem

// Error is a line for each.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Errors are those that are no warnings.
func (p Problems) Errors() Problems { return p.filter(false) }

// Warnings are the others.
func (p Problems) Warnings() Problems { return p.filter(true) }

func (p Problems) filter(warnings bool) (out Problems) {
	for _, one := range p {
		if one.Warning == warnings {
			out = append(out, one)
		}
	}
	return out
}

// Err is nil if nothing but warnings is there.
func (p Problems) Err() error {
	if e := p.Errors(); len(e) > 0 {
		return e
	}
	return nil
}

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Path, b.Path))
	})
}
