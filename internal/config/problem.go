package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is an error in a configuration or, if Warning is set, a likely mistake.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`   // from 1; 0: the configuration does not come from a file
	Column  int    `json:"column,omitempty"` // from 1, in characters
	Path    string `json:"path,omitempty"`   // the field, as in "pool.a.connections.most"
	Message string `json:"message"`          // what was found and what is allowed
	Warning bool   `json:"warning,omitempty"`
}

// Error formats the problem like a compiler message: file, line, column, field, message.
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

// Problems lists the problems of a configuration in the order of its file.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Errors returns the problems that are not warnings.
func (p Problems) Errors() Problems { return p.filter(false) }

// Warnings returns the problems that are warnings.
func (p Problems) Warnings() Problems { return p.filter(true) }

func (p Problems) filter(warnings bool) (out Problems) {
	for _, problem := range p {
		if problem.Warning == warnings {
			out = append(out, problem)
		}
	}
	return out
}

// Err returns the errors, or nil if all problems are warnings.
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
