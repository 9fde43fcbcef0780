package config

import (
	"errors"
	"fmt"
	"math/big"
	"sort"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"damsontrestle/internal/route"
	"damsontrestle/internal/zonestate"
)

// MaxFile is how long a file may be.
const MaxFile = 16 << 20

// maxNesting bounds brackets within brackets. The parser recurses, and the stack that it may fill is the
// process's.
const maxNesting = 32

// Load reads and checks a file of our own. All that is wrong is told at once, as Problems; warnings come with
// a good configuration too.
func Load(path string) (*Config, Problems) {
	text, err := opener(openFile).read(path, MaxFile+1)
	return parseRead(text, err, path)
}

// Reload is Load where a configuration runs: a file that can't be read is tried again for two seconds.
func Reload(path string) (*Config, Problems) {
	text, err := opener(openFile).readAgain(path, MaxFile+1)
	return parseRead(text, err, path)
}

// parseRead is Parse of a file that was read, or could not be.
func parseRead(text []byte, err error, path string) (*Config, Problems) {
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
	if len(text) > MaxFile {
		return nil, Problems{{File: name, Message: fmt.Sprintf("the file is longer than %v", Size(MaxFile))}}
	}
	if r.lex(text); len(r.problems) > 0 {
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
		if !r.broken(p.Path) {
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

// reader turns a file into a Config and notes where each part stands.
type reader struct {
	file     string
	ranges   map[string]hcl.Range // of blocks and fields, by their paths
	unread   map[string]bool      // paths of what could not be read: what Check says of them is no news
	problems Problems
}

// broken says that a field could not be read, or the block round it.
func (r *reader) broken(path string) bool {
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

// lex looks at the file's tokens before the parser does: a configuration holds plain values, with nothing to
// compute, and is not nested deeply.
func (r *reader) lex(text []byte) {
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

// field reads one attribute of a block.
type field struct {
	name     string
	required bool
	set      func(cty.Value) error
}

// block reads one kind of blocks within another.
type block struct {
	kind     string
	labelled bool // by a name
	required bool
	single   bool
	read     func(b *hclsyntax.Body, path, label string)
}

// body reads a block's fields and blocks; what it does not know is refused.
func (r *reader) body(b *hclsyntax.Body, path string, fields []field, blocks []block) {
	known := map[string]bool{}
	at := b.MissingItemRange()
	if was, ok := r.ranges[path]; ok {
		at = was
	}
	join := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	for _, f := range fields {
		known[f.name] = true
		a := b.Attributes[f.name]
		if a == nil {
			if f.required {
				r.fail(at, path, "%s is missing", f.name)
				r.unread[join(f.name)] = true
			}
			continue
		}
		r.ranges[join(f.name)] = a.SrcRange
		v, err := value(a.Expr)
		if err == nil {
			err = f.set(v)
		}
		if err != nil {
			r.fail(a.Expr.Range(), join(f.name), "%v", err)
			r.unread[join(f.name)] = true
		}
	}
	names := make([]string, 0, len(fields)+len(blocks))
	for _, f := range fields {
		names = append(names, f.name)
	}
	kinds := map[string]block{}
	for _, k := range blocks {
		kinds[k.kind] = k
		names = append(names, k.kind+" { }")
	}
	sort.Strings(names)
	for name, a := range b.Attributes {
		if _, isBlock := kinds[name]; isBlock {
			r.fail(a.NameRange, join(name), "found a field; allowed: a block, as in %s { }", name)
		} else if !known[name] {
			r.fail(a.NameRange, join(name), "found an unknown field; allowed here: %s", strings.Join(names, ", "))
		}
	}
	counts := map[string]int{}
	for _, sub := range b.Blocks {
		k, ok := kinds[sub.Type]
		sp := join(sub.Type)
		label := ""
		switch {
		case !ok && known[sub.Type]:
			r.fail(sub.TypeRange, sp, "found a block; allowed: a field, as in %s = ...", sub.Type)
			continue
		case !ok:
			r.fail(sub.TypeRange, sp, "found an unknown block; allowed here: %s", strings.Join(names, ", "))
			continue
		case k.labelled && len(sub.Labels) != 1:
			r.fail(sub.DefRange(), sp, "found %d names; allowed: one, as in %s \"name\" { }", len(sub.Labels), sub.Type)
			r.unread[sp] = true
			counts[sub.Type]++
			continue
		case !k.labelled && len(sub.Labels) != 0:
			r.fail(sub.DefRange(), sp, "found the name %q; allowed: none, as in %s { }", sub.Labels[0], sub.Type)
			continue
		}
		if k.labelled {
			label = sub.Labels[0]
			if sub.Type != "node" { // there is one: its fields are known without its name
				sp += "." + label
			}
		}
		if counts[sub.Type]++; counts[sub.Type] == 2 && k.single {
			r.fail(sub.DefRange(), sp, "found a second block; allowed: one")
			continue
		}
		if _, twice := r.ranges[sp]; !twice || k.single {
			r.ranges[sp] = sub.DefRange()
		}
		k.read(sub.Body, sp, label)
	}
	for _, k := range blocks {
		if k.required && counts[k.kind] == 0 {
			r.fail(at, path, "the block %s { } is missing", k.kind)
			r.unread[join(k.kind)] = true
		}
	}
}

// value takes an expression for the plain value that it must be.
func value(e hclsyntax.Expression) (cty.Value, error) {
	if t, ok := e.(*hclsyntax.ScopeTraversalExpr); ok {
		return cty.NilVal, fmt.Errorf("found the bare name %s; allowed: a plain value: text stands in quotes", t.Traversal.RootName())
	}
	v, diags := e.Value(nil)
	if diags.HasErrors() {
		return cty.NilVal, errors.New(strings.ToLower(diags[0].Summary) + ": " + diags[0].Detail)
	}
	if v.IsNull() || !v.IsWhollyKnown() {
		return cty.NilVal, errors.New("found null; leave the field out instead")
	}
	return v, nil
}

// found describes a value of the wrong kind.
func found(v cty.Value) string {
	switch t := v.Type(); {
	case t == cty.String:
		return fmt.Sprintf("found the text %q", v.AsString())
	case t == cty.Number:
		return "found the number " + v.AsBigFloat().Text('g', 12)
	case t == cty.Bool:
		return fmt.Sprintf("found %v", v.True())
	case t.IsTupleType():
		return "found a list"
	}
	return "found " + v.Type().FriendlyName()
}

func text(to *string) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.String {
			return fmt.Errorf("%s; allowed: text in quotes", found(v))
		}
		*to = v.AsString()
		return nil
	}
}

func words[T ~string](to *T) func(cty.Value) error {
	return func(v cty.Value) error {
		var word string
		err := text(&word)(v)
		*to = T(word)
		return err
	}
}

func texts(to *[]string) func(cty.Value) error {
	return func(v cty.Value) error {
		if !v.Type().IsTupleType() {
			return fmt.Errorf("%s; allowed: a list, as in [\"a\", \"b\"]", found(v))
		}
		for it := v.ElementIterator(); it.Next(); {
			_, e := it.Element()
			if e.IsNull() || e.Type() != cty.String {
				return errors.New("a list's entry is no text in quotes")
			}
			*to = append(*to, e.AsString())
		}
		return nil
	}
}

func flag(to *bool) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.Bool {
			return fmt.Errorf("%s; allowed: true, false", found(v))
		}
		*to = v.True()
		return nil
	}
}

func integer(to *int) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.Number {
			return fmt.Errorf("%s; allowed: a whole number", found(v))
		}
		n, acc := v.AsBigFloat().Int64()
		if acc != big.Exact || int64(int(n)) != n {
			return fmt.Errorf("%s; allowed: a whole number", found(v))
		}
		*to = int(n)
		return nil
	}
}

func decimal(to *float64) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.Number {
			return fmt.Errorf("%s; allowed: a number", found(v))
		}
		*to, _ = v.AsBigFloat().Float64()
		return nil
	}
}

func duration(to *Duration) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.String {
			return fmt.Errorf("%s; allowed: a number with a unit in quotes, such as \"250ms\", \"1.5s\" or \"2m\"", found(v))
		}
		return to.UnmarshalText([]byte(v.AsString()))
	}
}

func size(to *Size) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.String {
			return fmt.Errorf("%s; allowed: a whole number with a unit in quotes, such as \"64KiB\" or \"192MiB\"", found(v))
		}
		return to.UnmarshalText([]byte(v.AsString()))
	}
}

// config reads the file.
func (r *reader) config(b *hclsyntax.Body) *Config {
	c := &Config{}
	r.body(b, "", nil, []block{
		{kind: "node", labelled: true, required: true, single: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Node = r.node(b, path, label)
		}},
		{kind: "class", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Classes = append(c.Classes, r.class(b, path, label))
		}},
		{kind: "listener", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Listeners = append(c.Listeners, r.listener(b, path, label))
		}},
		{kind: "pool", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Pools = append(c.Pools, r.pool(b, path, label))
		}},
		{kind: "route", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Routes = append(c.Routes, r.route(b, path, label))
		}},
		{kind: "federation", labelled: true, single: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Federation = r.federation(b, path, label)
		}},
		{kind: "partner", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Partners = append(c.Partners, r.partner(b, path, label))
		}},
		{kind: "export", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Exports = append(c.Exports, r.export(b, path, label))
		}},
		{kind: "quota", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			c.Quotas = append(c.Quotas, r.quota(b, path, label))
		}},
	})
	return c
}

func (r *reader) node(b *hclsyntax.Body, path, name string) Node {
	n := Node{Name: name, Limits: Limits{Cores: 1}}
	r.body(b, path, []field{
		{"zone", false, text(&n.Zone)},
		{"state_folder", false, text(&n.StateFolder)},
		{"admin_socket", false, text(&n.AdminSocket)},
		{"management", false, text(&n.Management)},
	}, []block{
		{kind: "limits", required: true, single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"memory", true, size(&n.Limits.Memory)},
				{"descriptors", true, integer(&n.Limits.Descriptors)},
				{"cores", false, integer(&n.Limits.Cores)},
			}, nil)
		}},
		{kind: "peers", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			n.Peers.Period, n.Peers.Delay = Duration(time.Second), Duration(zonestate.DefaultDelay)
			r.body(b, path, []field{
				{"listen", true, text(&n.Peers.Listen)},
				{"advertise", false, text(&n.Peers.Advertise)},
				{"key_file", true, text(&n.Peers.KeyFile)},
				{"seeds", false, texts(&n.Peers.Seeds)},
				{"region", false, text(&n.Peers.Region)},
				{"period", false, duration(&n.Peers.Period)},
				{"listen_only", false, flag(&n.Peers.ListenOnly)},
				{"fresh", false, duration(&n.Peers.Fresh)},
				{"delay", false, duration(&n.Peers.Delay)},
			}, nil)
		}},
	})
	return n
}

func (r *reader) class(b *hclsyntax.Body, path, name string) Class {
	c := Class{Name: name, PriorityWeight: 1}
	r.body(b, path, []field{
		{"effect", true, words(&c.Effect)},
		{"key_scope", false, words(&c.KeyScope)},
		{"window", false, duration(&c.Window)},
		{"aim", true, duration(&c.LatencyObjective)},
		{"deadline", true, duration(&c.Deadline)},
		{"late_share", false, decimal(&c.LateShare)},
		{"worth", false, decimal(&c.PriorityWeight)},
	}, []block{
		{kind: "custody", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			c.Replication = &Replication{}
			r.body(b, path, []field{{"when_alone", true, words(&c.Replication.WhenAlone)}}, nil)
		}},
	})
	return c
}

func (r *reader) listener(b *hclsyntax.Body, path, name string) Listener {
	l := Listener{Name: name, Protocol: HTTP1, Paths: StrictPaths}
	r.body(b, path, []field{
		{"address", true, text(&l.Address)},
		{"protocol", false, words(&l.Protocol)},
		{"paths", false, words(&l.Paths)},
	}, nil)
	return l
}

// defaultPool is what a pool has where the file says nothing.
func defaultPool(name string) Pool {
	return Pool{Name: name, Protocol: HTTP1, Attempts: 3, Cancel: true, Tick: Duration(time.Millisecond), RetryAfter: Duration(2 * time.Second),
		Copies: Copies{Count: 1}, Shedding: Shedding{Total: 0.75, WorstClass: 0.25},
		Connections: Connections{Most: 64, Idle: Duration(time.Minute), ConnectTimeout: Duration(time.Second)},
		SlowStart:   SlowStart{From: 1}}
}

func (r *reader) pool(b *hclsyntax.Body, path, name string) Pool {
	p := defaultPool(name)
	r.body(b, path, []field{
		{"protocol", false, words(&p.Protocol)},
		{"tier", false, integer(&p.Tier)},
		{"attempts", false, integer(&p.Attempts)},
		{"cancel", false, flag(&p.Cancel)},
		{"tick", false, duration(&p.Tick)},
		{"retry_after", false, duration(&p.RetryAfter)},
	}, []block{
		{kind: "copies", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"count", true, integer(&p.Copies.Count)},
				{"index", true, integer(&p.Copies.Index)},
			}, nil)
		}},
		{kind: "shedding", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"whole", true, decimal(&p.Shedding.Total)},
				{"worst_class", true, decimal(&p.Shedding.WorstClass)},
			}, nil)
		}},
		{kind: "connections", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"most", false, integer(&p.Connections.Most)},
				{"idle", false, duration(&p.Connections.Idle)},
				{"connect_timeout", false, duration(&p.Connections.ConnectTimeout)},
			}, nil)
		}},
		{kind: "slow_start", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"from", true, decimal(&p.SlowStart.From)},
				{"over", true, duration(&p.SlowStart.Over)},
			}, nil)
		}},
		{kind: "load_reports", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			r.body(b, path, []field{
				{"busy", true, text(&p.LoadReports.Busy)},
				{"ask", false, integer(&p.LoadReports.Poll)},
				{"ask_path", false, text(&p.LoadReports.PollPath)},
			}, nil)
			if p.LoadReports.Poll > 0 && p.LoadReports.PollPath == "" {
				p.LoadReports.PollPath = "/stats"
			}
		}},
		{kind: "registry", single: true, read: func(b *hclsyntax.Body, path, _ string) {
			p.Registry = &Registry{Mode: Pushed}
			r.body(b, path, []field{
				{"address", true, text(&p.Registry.Address)},
				{"mode", false, words(&p.Registry.Mode)},
				{"ask_within", false, duration(&p.Registry.PollInterval)},
			}, nil)
		}},
		{kind: "server", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			p.Servers = append(p.Servers, r.server(b, path, label))
		}},
	})
	return p
}

func (r *reader) server(b *hclsyntax.Body, path, name string) Server {
	s := Server{Name: name, Size: 1, State: Ready}
	r.body(b, path, []field{
		{"address", true, text(&s.Address)},
		{"zone", false, text(&s.Zone)},
		{"cell", false, integer(&s.Cell)},
		{"size", false, decimal(&s.Size)},
		{"state", false, words(&s.State)},
	}, nil)
	return s
}

func (r *reader) route(b *hclsyntax.Body, path, name string) route.Route {
	out := route.Route{Name: name}
	pool := ""
	r.body(b, path, []field{
		{"default", false, flag(&out.Default)},
		{"listeners", false, texts(&out.Listeners)},
		{"classes", false, texts(&out.Classes)},
		{"hosts", false, texts(&out.Hosts)},
		{"paths", false, texts(&out.Paths)},
		{"pool", false, text(&pool)},
	}, []block{
		{kind: "header", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			h := route.Header{Name: label}
			var equals string
			r.body(b, path, []field{{"equals", false, text(&equals)}}, nil)
			if b.Attributes["equals"] != nil {
				h.Equals = &equals
			}
			out.Headers = append(out.Headers, h)
		}},
		{kind: "to", labelled: true, read: func(b *hclsyntax.Body, path, label string) {
			t := route.Target{Pool: label}
			r.body(b, path, []field{{"weight", true, integer(&t.Weight)}}, nil)
			out.To = append(out.To, t)
		}},
	})
	r.alias(path+".headers", b.Blocks, "header")
	r.alias(path+".to", b.Blocks, "to")
	switch {
	case pool != "" && len(out.To) > 0:
		r.fail(r.ranges[path+".pool"], path, "it has both pool = %q and to blocks; allowed: one of them", pool)
	case pool != "":
		out.To = []route.Target{{Pool: pool, Weight: 1}}
		r.ranges[path+".to"] = r.ranges[path+".pool"]
	case len(out.To) == 0:
		r.unread[path+".to"] = true
		if b.Attributes["pool"] == nil {
			r.fail(r.ranges[path], path, "it leads to no pool; allowed: pool = \"name\", or to \"name\" { weight = 1 } for each of several")
		}
	}
	return out
}

// alias has a list of a Config stand where the first of its blocks does.
func (r *reader) alias(path string, blocks hclsyntax.Blocks, kind string) {
	for _, b := range blocks {
		if b.Type == kind {
			r.ranges[path] = b.DefRange()
			return
		}
	}
}
