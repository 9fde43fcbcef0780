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

// MaxFileBytes is the maximum size of an experiment file.
const MaxFileBytes = 1 << 20

// Limits of an experiment.
const (
	maxProcesses = 1000
	maxServers   = 5000
	maxDuration  = time.Hour
	maxNesting   = 16
)

// Load reads and validates an experiment file. Base experiments are looked up in the folder of the file.
func Load(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(text, path, func(like string) ([]byte, string, error) {
		basePath := filepath.Join(filepath.Dir(path), like+".hcl")
		text, err := os.ReadFile(basePath)
		return text, basePath, err
	})
}

// Resolver returns the text of the named experiment and the path that error messages give for it.
type Resolver func(name string) (text []byte, path string, err error)

// Parse decodes and validates the text of a file; name identifies it in error messages. If the file names a base experiment
// in like, resolve loads it, and each kind of block that the file has replaces that of the base. A nil resolve disallows
// like. Validation errors are of type Problems.
func Parse(text []byte, name string, resolve Resolver) (*Experiment, error) {
	r := &reader{}
	f := r.decode(text, name)
	r.resolveBase(f, resolve, 0)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	e := r.experiment(f, hcl.Range{Filename: name, Start: hcl.InitialPos})
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return e, nil
}

// maxBaseDepth is the maximum length of a chain of base experiments.
const maxBaseDepth = 4

// resolveBase completes a file with the settings of its base experiment, if it names one.
func (r *reader) resolveBase(f *file, resolve Resolver, depth int) {
	if f == nil || f.Experiment == nil || f.Experiment.Like == "" {
		return
	}
	b := block{r, f.Experiment.Body, "experiment." + f.Experiment.Name}
	if resolve == nil || !validName(f.Experiment.Like) {
		b.errorf("like", "found %q; allowed: the name of an experiment in the same folder", f.Experiment.Like)
		return
	}
	text, path, err := resolve(f.Experiment.Like)
	if err != nil {
		b.errorf("like", "%v", err)
		return
	}
	if depth >= maxBaseDepth {
		b.errorf("like", "found %q; allowed: a chain of at most %d base experiments without a cycle", f.Experiment.Like, maxBaseDepth)
		return
	}
	base := r.decode(text, path)
	if base == nil || base.Experiment == nil {
		b.errorf("like", "found %q, which can't be decoded", f.Experiment.Like)
		return
	}
	r.resolveBase(base, resolve, depth+1)
	f.inherit(base)
}

// inherit takes the blocks and settings that the file lacks from its base.
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

// decode parses text into a file. On failure it records the errors and returns nil.
func (r *reader) decode(text []byte, name string) *file {
	if len(text) > MaxFileBytes {
		r.problems = append(r.problems, fmt.Sprintf("%s: the file has %d bytes; allowed: at most %d", name, len(text), MaxFileBytes))
		return nil
	}
	if r.checkNesting(text, name); len(r.problems) > 0 { // bounds the recursion of the parser
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
