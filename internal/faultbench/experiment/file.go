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
const MaxFileBytes = 1 << 20

// Bounds of an experiment.
const (
	maxProcesses = 1000
	maxServers   = 5000
	maxDuration  = time.Hour
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
type Resolver func(name string) (text []byte, path string, err error)

// Parse reads and checks the text of a file; name is for the messages. Where it says that it is like another, beside finds
// that one, and each kind of block that the file has takes the place of the other's; nil: it may not say so. The error is
// Problems.
func Parse(text []byte, name string, beside Resolver) (*Experiment, error) {
	r := &reader{}
	f := r.decode(text, name)
	r.resolveBase(f, beside, 0)
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
const maxBaseDepth = 4

// like fills up what a file leaves to another, if it is like one.
func (r *reader) resolveBase(f *file, beside Resolver, depth int) {
	if f == nil || f.Experiment == nil || f.Experiment.Like == "" {
		return
	}
	b := block{r, f.Experiment.Body, "experiment." + f.Experiment.Name}
	if beside == nil || !validName(f.Experiment.Like) {
		b.errorf("like", "found %q; allowed: the name of an experiment whose file lies beside this one", f.Experiment.Like)
		return
	}
	text, path, err := beside(f.Experiment.Like)
	if err != nil {
		b.errorf("like", "%v", err)
		return
	}
	if depth >= maxBaseDepth {
		b.errorf("like", "found %q; allowed: up to %d files that are like one another, and none like itself", f.Experiment.Like, maxBaseDepth)
		return
	}
	base := r.decode(text, path)
	if base == nil || base.Experiment == nil {
		b.errorf("like", "found %q, which can't be read", f.Experiment.Like)
		return
	}
	r.resolveBase(base, beside, depth+1)
	f.inherit(base)
}

// over gives a file all that it does not have itself of another.
func (f *file) inherit(base *file) {
	inheritList(&f.Zones, base.Zones)
	inheritList(&f.Nodes, base.Nodes)
	inheritList(&f.Servers, base.Servers)
	inheritList(&f.Classes, base.Classes)
	inheritList(&f.Links, base.Links)
	inheritList(&f.Faults, base.Faults)
	f.Callers, f.Registry = cmp.Or(f.Callers, base.Callers), cmp.Or(f.Registry, base.Registry)
	e, o := f.Experiment, base.Experiment
	e.Fresh = cmp.Or(e.Fresh, o.Fresh)
	e.Seed, e.WarmUp, e.Measure, e.Peers = cmp.Or(e.Seed, o.Seed), cmp.Or(e.WarmUp, o.WarmUp), cmp.Or(e.Measure, o.Measure), cmp.Or(e.Peers, o.Peers)
}

func inheritList[T any](list *[]T, base []T) {
	if len(*list) == 0 {
		*list = base
	}
}

// form reads a text into the form of a file; nil, with what is wrong noted, if that can't be.
func (r *reader) decode(text []byte, name string) *file {
	if len(text) > MaxFileBytes {
		r.problems = append(r.problems, fmt.Sprintf("%s: the file has %d bytes; allowed: %d", name, len(text), MaxFileBytes))
		return nil
	}
	if r.checkNesting(text, name); len(r.problems) > 0 { // the parser recurses
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
		r.errorAt(at, "", "%s: %s", d.Summary, strings.Join(strings.Fields(d.Detail), " "))
	}
	if diags.HasErrors() {
		return nil
	}
	return &f
}
