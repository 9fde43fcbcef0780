package experiment

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"damsontrestle/internal/zonestate"
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

// The form of the file; gohcl reads it.
type (
	file struct {
		Experiment *experimentBlock `hcl:"experiment,block"`
		Zones      []zoneBlock      `hcl:"zone,block"`
		Nodes      []nodesBlock     `hcl:"nodes,block"`
		Servers    []serversBlock   `hcl:"servers,block"`
		Classes    []classBlock     `hcl:"class,block"`
		Callers    *callersBlock    `hcl:"callers,block"`
		Links      []linkBlock      `hcl:"link,block"`
		Registry   *registryBlock   `hcl:"registry,block"`
		Faults     []faultBlock     `hcl:"fault,block"`
	}
	experimentBlock struct {
		Name    string   `hcl:"name,label"`
		Like    string   `hcl:"like,optional"`
		Note    string   `hcl:"note,optional"`
		Seed    uint64   `hcl:"seed,optional"`
		WarmUp  string   `hcl:"warm_up,optional"`
		Measure string   `hcl:"measure,optional"`
		Peers   string   `hcl:"peers,optional"`
		Fresh   string   `hcl:"fresh,optional"`
		Body    hcl.Body `hcl:",body"`
	}
	zoneBlock struct {
		Name   string   `hcl:"name,label"`
		Region string   `hcl:"region,optional"`
		Body   hcl.Body `hcl:",body"`
	}
	nodesBlock struct {
		Name  string   `hcl:"name,label"`
		Count int      `hcl:"count"`
		Zones []string `hcl:"zones,optional"`
		Times *float64 `hcl:"times,optional"`
		Asks  int      `hcl:"asks,optional"`
		Body  hcl.Body `hcl:",body"`
	}
	serversBlock struct {
		Name    string     `hcl:"name,label"`
		Count   int        `hcl:"count"`
		Zones   []string   `hcl:"zones,optional"`
		Slots   int        `hcl:"slots"`
		Queue   int        `hcl:"queue"`
		Service string     `hcl:"service"`
		Draw    string     `hcl:"draw,optional"`
		Size    float64    `hcl:"size,optional"`
		Reports bool       `hcl:"reports,optional"`
		Cold    *coldBlock `hcl:"cold,block"`
		Body    hcl.Body   `hcl:",body"`
	}
	coldBlock struct {
		From float64  `hcl:"from"`
		Over string   `hcl:"over"`
		Body hcl.Body `hcl:",body"`
	}
	classBlock struct {
		Name     string   `hcl:"name,label"`
		Effect   string   `hcl:"effect"`
		Aim      string   `hcl:"aim"`
		Deadline string   `hcl:"deadline"`
		Share    float64  `hcl:"share"`
		Worth    *float64 `hcl:"worth,optional"`
		Body     hcl.Body `hcl:",body"`
	}
	callersBlock struct {
		Rate        float64  `hcl:"rate,optional"`
		Utilisation float64  `hcl:"utilisation,optional"`
		Retries     int      `hcl:"retries,optional"`
		Wait        string   `hcl:"wait,optional"`
		Patience    string   `hcl:"patience,optional"`
		Body        hcl.Body `hcl:",body"`
	}
	linkBlock struct {
		From   string   `hcl:"from,label"`
		To     string   `hcl:"to,label"`
		Delay  string   `hcl:"delay"`
		Jitter string   `hcl:"jitter,optional"`
		Body   hcl.Body `hcl:",body"`
	}
	registryBlock struct {
		Lag     string   `hcl:"lag,optional"`
		LagMost string   `hcl:"lag_most,optional"`
		Body    hcl.Body `hcl:",body"`
	}
	faultBlock struct {
		Name      string   `hcl:"name,label"`
		Kind      string   `hcl:"kind"`
		From      string   `hcl:"from"`
		To        string   `hcl:"to"`
		Over      string   `hcl:"over,optional"`
		Near      []string `hcl:"near,optional"`
		Far       []string `hcl:"far,optional"`
		Both      bool     `hcl:"both,optional"`
		Part      *float64 `hcl:"part,optional"`
		Group     string   `hcl:"group,optional"`
		Count     int      `hcl:"count,optional"`
		Factor    float64  `hcl:"factor,optional"`
		Offset    string   `hcl:"offset,optional"`
		Delay     string   `hcl:"delay,optional"`
		Jitter    string   `hcl:"jitter,optional"`
		Loss      float64  `hcl:"loss,optional"`
		Double    float64  `hcl:"double,optional"`
		Reorder   float64  `hcl:"reorder,optional"`
		Bandwidth int64    `hcl:"bandwidth,optional"`
		Body      hcl.Body `hcl:",body"`
	}
)

// Problems are all that is wrong with a file, a line for each: file, line, column, field, what was found and what is
// allowed.
type Problems []string

func (p Problems) Error() string { return strings.Join(p, "\n") }

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

// reader turns the form into an Experiment and collects what is wrong.
type reader struct{ problems Problems }

func (r *reader) fail(at hcl.Range, field, format string, args ...any) {
	if field != "" {
		field += ": "
	}
	r.problems = append(r.problems, fmt.Sprintf("%s:%d:%d: %s%s", at.Filename, at.Start.Line, at.Start.Column, field, fmt.Sprintf(format, args...)))
}

// deep refuses brackets that are nested too deeply.
func (r *reader) deep(text []byte, name string) {
	tokens, _ := hclsyntax.LexConfig(text, name, hcl.InitialPos)
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenTemplateInterp:
			if depth++; depth > maxNesting {
				r.fail(t.Range, "", "brackets are nested more than %d deep", maxNesting)
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
func (b block) at(field string) hcl.Range {
	body, ok := b.body.(*hclsyntax.Body)
	if !ok {
		return b.body.MissingItemRange()
	}
	if a := body.Attributes[field]; a != nil {
		return a.Range()
	}
	return body.SrcRange
}

func (b block) bad(field, format string, args ...any) {
	b.fail(b.at(field), b.path+"."+field, format, args...)
}

// duration reads a length of time, within bounds.
func (b block) duration(field, text string, least, most time.Duration) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < least || d > most {
		b.bad(field, "found %q; allowed: %v to %v, with a unit, such as \"250ms\"", text, least, most)
		return 0
	}
	return d
}

func (b block) number(field string, v, least, most float64) {
	if !(v >= least && v <= most) {
		b.bad(field, "found %v; allowed: %v to %v", v, least, most)
	}
}

func (b block) word(field, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		b.bad(field, "found %q; allowed: %s", v, strings.Join(allowed, ", "))
	}
}

func goodName(name string) bool {
	return name != "" && len(name) <= 64 && strings.Trim(strings.ToLower(name), "abcdefghijklmnopqrstuvwxyz0123456789-_") == ""
}

// within checks names of zones; all stands for none.
func (b block) within(field string, names, known []string) []string {
	for _, n := range names {
		b.word(field, n, known...)
	}
	if len(names) == 0 {
		return known
	}
	return names
}

func (r *reader) experiment(f *file, top hcl.Range) *Experiment {
	e := &Experiment{}
	if f.Experiment == nil || f.Callers == nil || len(f.Zones) == 0 || len(f.Nodes) == 0 || len(f.Servers) == 0 || len(f.Classes) == 0 {
		r.fail(top, "", "allowed: one experiment and one callers block, and at least one each of zone, nodes, servers and class")
		return e
	}
	b := block{r, f.Experiment.Body, "experiment." + f.Experiment.Name}
	e.Name, e.Note, e.Seed = f.Experiment.Name, f.Experiment.Note, f.Experiment.Seed
	e.Peers = b.duration("peers", f.Experiment.Peers, 100*time.Millisecond, time.Minute)
	if e.Fresh = b.duration("fresh", f.Experiment.Fresh, zonestate.MinFresh(zonestate.DefaultDelay), time.Minute); e.Fresh > 0 && e.Peers == 0 {
		b.bad("fresh", "found %q; allowed: with peers", f.Experiment.Fresh)
	}
	e.WarmUp = b.duration("warm_up", f.Experiment.WarmUp, 0, maxLength)
	e.Measure = b.duration("measure", f.Experiment.Measure, 100*time.Millisecond, maxLength)
	if !goodName(e.Name) {
		b.bad("", "found the name %q; allowed: letters, digits, \"-\" and \"_\"", e.Name)
	}
	if e.Seed == 0 || e.Measure == 0 && f.Experiment.Measure == "" {
		b.bad("", "seed or measure is missing; allowed: a seed above 0, and a time")
	}
	var zones []string
	for _, z := range f.Zones {
		zb := block{r, z.Body, "zone." + z.Name}
		if slices.Contains(zones, z.Name) || z.Name == "" || len(z.Name) > 16 || z.Name == RegistrySide {
			zb.bad("", "the name is taken, empty, longer than 16 bytes or %q", RegistrySide)
		}
		zones = append(zones, z.Name)
		e.Zones = append(e.Zones, Zone{z.Name, z.Region})
	}
	r.nodes(e, f, zones)
	r.servers(e, f, zones)
	r.classes(e, f)
	c := block{r, f.Callers.Body, "callers"}
	e.Callers = Callers{Rate: f.Callers.Rate, Utilisation: f.Callers.Utilisation, Retries: f.Callers.Retries,
		Wait: c.duration("wait", f.Callers.Wait, 0, time.Minute), Patience: c.duration("patience", f.Callers.Patience, time.Millisecond, time.Hour)}
	c.number("rate", e.Callers.Rate, 0, 1e4)
	c.number("utilisation", e.Callers.Utilisation, 0, 10)
	c.number("retries", float64(e.Callers.Retries), 0, 10)
	if (e.Callers.Rate == 0) == (e.Callers.Utilisation == 0) {
		c.bad("rate", "allowed: either rate or utilisation, above 0")
	}
	for _, l := range f.Links {
		lb := block{r, l.Body, "link." + l.From + "." + l.To}
		lb.word("", l.From, zones...)
		lb.word("", l.To, zones...)
		e.Links = append(e.Links, Link{l.From, l.To, lb.duration("delay", l.Delay, 0, 10*time.Second), lb.duration("jitter", l.Jitter, 0, 10*time.Second)})
	}
	if f.Registry != nil {
		rb := block{r, f.Registry.Body, "registry"}
		e.Registry.Lag = rb.duration("lag", f.Registry.Lag, 0, time.Minute)
		e.Registry.LagMost = max(e.Registry.Lag, rb.duration("lag_most", f.Registry.LagMost, 0, time.Minute))
	}
	r.faults(e, f, zones)
	return e
}

func (r *reader) nodes(e *Experiment, f *file, zones []string) {
	all := 0
	for i, n := range f.Nodes {
		b := block{r, n.Body, "nodes." + n.Name}
		g := Nodes{Name: n.Name, Count: n.Count, Zones: b.within("zones", n.Zones, zones), Times: 1, Asks: n.Asks}
		if n.Times != nil {
			g.Times = *n.Times
		}
		b.number("count", float64(n.Count), 1, maxProcesses)
		b.number("times", g.Times, 0.001, 1e4)
		b.number("asks", float64(n.Asks), 0, 16)
		if all += max(0, min(n.Count, maxProcesses)); all > maxProcesses {
			b.bad("count", "there are more than %d nodes in all", maxProcesses)
		}
		if slices.ContainsFunc(f.Nodes[:i], func(o nodesBlock) bool { return o.Name == n.Name }) {
			b.bad("", "the name is used twice")
		}
		e.Nodes = append(e.Nodes, g)
	}
}

func (r *reader) servers(e *Experiment, f *file, zones []string) {
	all := 0
	for i, s := range f.Servers {
		b := block{r, s.Body, "servers." + s.Name}
		g := Servers{Name: s.Name, Count: s.Count, Zones: b.within("zones", s.Zones, zones), Slots: s.Slots, Queue: s.Queue,
			Service: b.duration("service", s.Service, 100*time.Microsecond, time.Minute), Draw: Draw(s.Draw), Size: s.Size, Reports: s.Reports, ColdFrom: 1}
		if g.Draw == "" {
			g.Draw = Exponential
		}
		b.word("draw", string(g.Draw), string(Exponential), string(Uniform), string(Constant))
		b.number("count", float64(s.Count), 1, maxServers)
		b.number("slots", float64(s.Slots), 1, 1e4)
		b.number("queue", float64(s.Queue), 0, 1e6)
		b.number("size", s.Size, 0, 1e6)
		if s.Cold != nil {
			cb := block{r, s.Cold.Body, b.path + ".cold"}
			g.ColdFrom, g.ColdOver = s.Cold.From, cb.duration("over", s.Cold.Over, time.Millisecond, maxLength)
			cb.number("from", s.Cold.From, 0.01, 1)
		}
		if all += max(0, min(s.Count, maxServers)); all > maxServers {
			b.bad("count", "there are more than %d servers in all", maxServers)
		}
		if slices.ContainsFunc(f.Servers[:i], func(o serversBlock) bool { return o.Name == s.Name }) {
			b.bad("", "the name is used twice")
		}
		if g.Service == 0 {
			g.Service = time.Second // said above
		}
		e.Servers = append(e.Servers, g)
	}
}

func (r *reader) classes(e *Experiment, f *file) {
	for i, c := range f.Classes {
		b := block{r, c.Body, "class." + c.Name}
		k := Class{Name: c.Name, Effect: c.Effect, Aim: b.duration("aim", c.Aim, time.Millisecond, time.Hour),
			Deadline: b.duration("deadline", c.Deadline, time.Millisecond, time.Hour), Share: c.Share, Worth: 1}
		if c.Worth != nil {
			k.Worth = *c.Worth
		}
		b.number("worth", k.Worth, 0, 1e6)
		b.word("effect", c.Effect, "safe", "unsafe")
		b.number("share", c.Share, 0, 1e6)
		if k.Aim > k.Deadline {
			b.bad("aim", "found %v, beyond the deadline %v", k.Aim, k.Deadline)
		}
		if slices.ContainsFunc(f.Classes[:i], func(o classBlock) bool { return o.Name == c.Name }) {
			b.bad("", "the name is used twice")
		}
		e.Classes = append(e.Classes, k)
	}
}

func (r *reader) faults(e *Experiment, f *file, zones []string) {
	var kinds, nodes, servers []string
	for k := range targets {
		kinds = append(kinds, string(k))
	}
	slices.Sort(kinds)
	for _, n := range e.Nodes {
		nodes = append(nodes, n.Name)
	}
	for _, s := range e.Servers {
		servers = append(servers, s.Name)
	}
	for i, t := range f.Faults {
		b := block{r, t.Body, "fault." + t.Name}
		v := Fault{Name: t.Name, Kind: Kind(t.Kind), From: b.duration("from", t.From, 0, maxLength), To: b.duration("to", t.To, 0, maxLength),
			Over: b.duration("over", t.Over, 0, maxLength), Near: b.within("near", t.Near, zones), Far: zones,
			Both: t.Both, Part: 1, Group: t.Group, Count: t.Count, Factor: t.Factor, Offset: b.duration("offset", t.Offset, -24*time.Hour, 24*time.Hour),
			Delay: b.duration("delay", t.Delay, 0, 10*time.Second), Jitter: b.duration("jitter", t.Jitter, 0, 10*time.Second),
			Loss: t.Loss, Double: t.Double, Reorder: t.Reorder, Bandwidth: t.Bandwidth}
		if len(t.Far) > 0 {
			v.Far = b.within("far", t.Far, append(slices.Clone(zones), RegistrySide))
		}
		if t.Part != nil {
			v.Part = *t.Part
		}
		if t.Both && (v.Kind != Cut || slices.Contains(t.Far, RegistrySide)) {
			b.bad("both", "found with %s of %v; allowed: with cut between zones", v.Kind, t.Far)
		}
		b.word("kind", t.Kind, kinds...)
		b.number("part", v.Part, 0, 1)
		b.number("loss", v.Loss, 0, 1)
		b.number("double", v.Double, 0, 1)
		b.number("reorder", v.Reorder, 0, 1)
		b.number("count", float64(v.Count), 0, 1e6)
		b.number("bandwidth", float64(v.Bandwidth), 0, 1e12)
		if v.To < v.From+v.Over {
			b.bad("to", "found %v; allowed: from + over, %v, or later", v.To, v.From+v.Over)
		}
		if v.Group != "" {
			switch v.Kind.Target() {
			case OfNodes:
				b.word("group", v.Group, nodes...)
			case OfServers:
				b.word("group", v.Group, servers...)
			default:
				b.bad("group", "found %q; allowed: only where nodes or servers are struck", v.Group)
			}
		}
		if (v.Factor != 0) != (v.Kind == Drag) || v.Kind == Drag && !(v.Factor >= 0.01 && v.Factor <= 1000) {
			b.bad("factor", "found %v; allowed: 0.01 to 1000, for drag and only there", v.Factor)
		}
		if v.Kind == Recount && v.Count == 0 {
			b.bad("count", "allowed: how many copies there are said to be")
		}
		if slices.ContainsFunc(f.Faults[:i], func(o faultBlock) bool { return o.Name == t.Name }) {
			b.bad("", "the name is used twice")
		}
		e.Faults = append(e.Faults, v)
	}
	slices.SortStableFunc(e.Faults, func(a, b Fault) int { return int(a.From - b.From) })
}
