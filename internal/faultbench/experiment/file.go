package experiment

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// MaxFile is how long a file may be.
const MaxFile = 1 << 20

// Bounds of an experiment.
const (
	maxProcesses = 1000
	maxServers   = 5000
	maxLength    = time.Hour
	maxNesting   = 16
)

// Load reads and checks a file.
func Load(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(text, path, func(like string) ([]byte, string, error) {
		beside := filepath.Join(filepath.Dir(path), like+".hcl")
		text, err := os.ReadFile(beside)
		return text, beside, err
	})
}

// Beside finds the text of another experiment by its name, and what it is called in messages.
type Beside func(name string) (text []byte, path string, err error)

// Parse reads and checks the text of a file; name is for the messages. Where it says that it is like another, beside finds
// that one, and each kind of block that the file has takes the place of the other's; nil: it may not say so. The error is
// Problems.
func Parse(text []byte, name string, beside Beside) (*Experiment, error) {
	r := &reader{}
	f := r.form(text, name)
	r.like(f, beside, 0)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	e := r.experiment(f, hcl.Range{Filename: name, Start: hcl.InitialPos})
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return e, nil
}

// maxLike is how many files there may be of which each is like the next.
const maxLike = 4

// like fills up what a file leaves to another, if it is like one.
func (r *reader) like(f *file, beside Beside, depth int) {
	if f == nil || f.Experiment == nil || f.Experiment.Like == "" {
		return
	}
	b := block{r, f.Experiment.Body, "experiment." + f.Experiment.Name}
	if beside == nil || !goodName(f.Experiment.Like) {
		b.bad("like", "found %q; allowed: the name of an experiment whose file lies beside this one", f.Experiment.Like)
		return
	}
	text, path, err := beside(f.Experiment.Like)
	if err != nil {
		b.bad("like", "%v", err)
		return
	}
	if depth >= maxLike {
		b.bad("like", "found %q; allowed: up to %d files that are like one another, and none like itself", f.Experiment.Like, maxLike)
		return
	}
	base := r.form(text, path)
	if base == nil || base.Experiment == nil {
		b.bad("like", "found %q, which can't be read", f.Experiment.Like)
		return
	}
	r.like(base, beside, depth+1)
	f.over(base)
}

// over gives a file all that it does not have itself of another.
func (f *file) over(base *file) {
	fill(&f.Zones, base.Zones)
	fill(&f.Nodes, base.Nodes)
	fill(&f.Servers, base.Servers)
	fill(&f.Classes, base.Classes)
	fill(&f.Links, base.Links)
	fill(&f.Faults, base.Faults)
	f.Callers, f.Registry = cmp.Or(f.Callers, base.Callers), cmp.Or(f.Registry, base.Registry)
	e, o := f.Experiment, base.Experiment
	e.Fresh = cmp.Or(e.Fresh, o.Fresh)
	e.Seed, e.WarmUp, e.Measure, e.Peers = cmp.Or(e.Seed, o.Seed), cmp.Or(e.WarmUp, o.WarmUp), cmp.Or(e.Measure, o.Measure), cmp.Or(e.Peers, o.Peers)
}

func fill[T any](list *[]T, base []T) {
	if len(*list) == 0 {
		*list = base
	}
}

// form reads a text into the form of a file; nil, with what is wrong noted, if that can't be.
func (r *reader) form(text []byte, name string) *file {
	if len(text) > MaxFile {
		r.problems = append(r.problems, fmt.Sprintf("%s: the file has %d bytes; allowed: %d", name, len(text), MaxFile))
		return nil
	}
	if r.deep(text, name); len(r.problems) > 0 { // the parser recurses
		return nil
	}
	parsed, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	var f file
	if !diags.HasErrors() {
		diags = gohcl.DecodeBody(parsed.Body, nil, &f)
	}
	for _, d := range diags {
		at := hcl.Range{Filename: name, Start: hcl.InitialPos}
		if d.Subject != nil {
			at = *d.Subject
		}
		r.fail(at, "", "%s: %s", d.Summary, strings.Join(strings.Fields(d.Detail), " "))
	}
	if diags.HasErrors() {
		return nil
	}
	return &f
}
