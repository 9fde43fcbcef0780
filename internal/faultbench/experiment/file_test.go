package experiment

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

const folder = "../../../deploy/experiments"

// Every example experiment is valid, and its name is that of its file.
func TestExampleFilesAreValid(t *testing.T) {
	paths, err := filepath.Glob(folder + "/*.hcl")
	if err != nil || len(paths) < 10 {
		t.Fatalf("found %d examples, error %v", len(paths), err)
	}
	for _, p := range paths {
		e, err := Load(p)
		if err != nil {
			t.Error(err)
		} else if e.Name+".hcl" != filepath.Base(p) || e.Note == "" {
			t.Errorf("%s has the name %q and the note %q; want the name of the file and a note", p, e.Name, e.Note)
		}
	}
}

const good = `experiment "x" {
  seed    = 7
  measure = "10s"
}
zone "a" {}
zone "b" {}
nodes "front" {
  count = 3
}
nodes "hot" {
  count = 1
  zones = ["b"]
  times = 6
}
servers "box" {
  count   = 4
  slots   = 2
  queue   = 5
  service = "100ms"
}
class "view" {
  effect   = "safe"
  aim      = "1s"
  deadline = "2s"
  share    = 1
}
callers {
  rate = 3
}
fault "cut" {
  kind = "cut_there"
  from = "1s"
  to   = "4s"
  near = ["a"]
  part = 0.5
}
`

func TestParseComputesNodesRatesAndTargets(t *testing.T) {
	e, err := Parse([]byte(good), "x.hcl", nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := e.NodeZones(), []string{"a", "b", "a", "b"}; !slices.Equal(got, want) {
		t.Errorf("node zones are %v, want %v", got, want)
	}
	if got, want := e.NodeRates(), []float64{4.0 / 3, 4.0 / 3, 4.0 / 3, 8}; !slices.Equal(got, want) {
		t.Errorf("rates are %v, want %v: twelve in total, six times as many at the hot node", got, want)
	}
	f := e.Faults[0]
	if f.Kind != CutForward || f.To != 4*time.Second || !slices.Equal(f.NodeZones, []string{"a"}) || !slices.Equal(f.ServerZones, []string{"a", "b"}) {
		t.Errorf("parsed fault is %+v", f)
	}
	if got := f.Select(e.Seed, 4); len(got) != 2 || !slices.Equal(got, f.Select(e.Seed, 4)) {
		t.Errorf("selected targets are %v, want the same two for the same seed", got)
	}
	e.Clients = Clients{Utilisation: 0.5}
	var all float64
	for _, r := range e.NodeRates() {
		all += r
	}
	if all < 39.9 || all > 40.1 {
		t.Errorf("total rate is %v requests a second, want 40: half of eight slots that serve ten each", all)
	}
}

// A file with a base experiment takes each kind of block that it lacks from the base. Errors in the base carry the position
// in the base file.
func TestBaseExperiment(t *testing.T) {
	resolver := func(text string) Resolver {
		return func(name string) ([]byte, string, error) {
			if name != "x" {
				return nil, "", os.ErrNotExist
			}
			return []byte(text), "x.hcl", nil
		}
	}
	const like = `experiment "y" {
  like = "x"
  seed = 9
}
nodes "few" {
  count = 2
}
callers {
  rate     = 1
  patience = "300ms"
}
fault "deaf" {
  kind = "cut"
  from = "1s"
  to   = "2s"
  far  = ["registry"]
}
`
	e, err := Parse([]byte(like), "y.hcl", resolver(good))
	if err != nil {
		t.Fatal(err)
	}
	if e.Name != "y" || e.Seed != 9 || e.Measure != 10*time.Second || len(e.NodeZones()) != 2 || e.TotalSlots() != 8 || len(e.Faults) != 1 ||
		!slices.Equal(e.Faults[0].ServerZones, []string{RegistryZone}) || e.Clients.Patience != 300*time.Millisecond {
		t.Errorf("got %+v", e)
	}
	for _, c := range []struct {
		text, want string
		resolve    Resolver
	}{
		{like, `y.hcl:2:3: experiment.y.like: found "x"; allowed: the name of an experiment in the same folder`, nil},
		{strings.Replace(like, `"x"`, `"../x"`, 1), `found "../x"; allowed: the name of an experiment`, resolver(good)},
		{strings.Replace(like, `"x"`, `"z"`, 1), `experiment.y.like: file does not exist`, resolver(good)},
		{like, `allowed: a chain of at most 4 base experiments without a cycle`, resolver(strings.Replace(like, "seed = 9", "seed = 8", 1))},
		{like, `x.hcl:17:3: servers.box.slots: found 0`, resolver(strings.Replace(good, "slots   = 2", "slots   = 0", 1))},
		{like, `x.hcl:1:`, resolver("{")},
	} {
		if _, err := Parse([]byte(c.text), "y.hcl", c.resolve); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("got error %v, want %q", err, c.want)
		}
	}
}

// Validation errors give the line, the field and the values allowed.
func TestProblemsHavePositionFieldAndAllowedValues(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`measure = "10s"`, `measure = "ten"`, `x.hcl:3:3: experiment.x.measure: found "ten"; allowed: 100ms to 1h0m0s`},
		{`zones = ["b"]`, `zones = ["c"]`, `x.hcl:12:3: nodes.hot.zones: found "c"; allowed: a, b`},
		{`slots   = 2`, `slots   = 0`, `x.hcl:17:3: servers.box.slots: found 0; allowed: 1 to 10000`},
		{`slots   = 2`, ``, `x.hcl`},
		{`seed    = 7`, ``, `experiment.x.: seed or measure is missing`},
		{`zone "a" {}`, `zone "registry" {}`, `zone.registry.: invalid zone name`},
		{`part = 0.5`, `double = 2`, `x.hcl:35:3: fault.cut.double: found 2; allowed: 0 to 1`},
		{`rate = 3`, ``, `callers.rate: allowed: exactly one of rate and utilisation`},
		{`kind = "cut_there"`, `kind = "cutt"`, `x.hcl:31:3: fault.cut.kind: found "cutt"; allowed: crash, cut, cut_back`},
		{`to   = "4s"`, `to   = "500ms"`, `fault.cut.to: found 500ms; allowed: from + over, 1s, or later`},
		{`part = 0.5`, `both = true`, `fault.cut.both: found with kind cut_there`},
		{`measure = "10s"`, "measure = \"10s\"\n  fresh = \"2s\"", `experiment.x.fresh: found "2s"; allowed: only if peers is set`},
		{`part = 0.5`, `group = "box"`, `fault.cut.group: found "box"; allowed: only for faults of nodes or servers`},
		{`part = 0.5`, `colour = "red"`, `x.hcl:35:3: Unsupported argument`},
		{`seed    = 7`, `seed    = 7 + x`, `x.hcl:2:`},
		{`aim      = "1s"`, `aim      = "3s"`, `class.view.aim: found 3s; allowed: at most the deadline, 2s`},
		{`nodes "hot"`, `nodes "front"`, `nodes.front.: duplicate name`},
		{`seed    = 7`, "seed    = " + strings.Repeat("(", 100), `nested more than 16 deep`},
	} {
		if !strings.Contains(good, c.old) {
			t.Fatalf("the valid file does not contain %q", c.old)
		}
		_, err := Parse([]byte(strings.Replace(good, c.old, c.new, 1)), "x.hcl", nil)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q instead of %q: got error %v, want %q", c.new, c.old, err, c.want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	for _, old := range []string{"{", "\"", "count = 3", "10s"} {
		f.Add([]byte(strings.Replace(good, old, "${x[", 1)))
	}
	paths, _ := filepath.Glob(folder + "/*.hcl")
	for _, p := range paths {
		if text, err := os.ReadFile(p); err == nil {
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := Parse(text, "x", nil)
		if err != nil {
			return
		}
		// A valid experiment has nodes, servers and rates within bounds.
		if n := len(e.NodeZones()); n < 1 || n > maxProcesses || e.TotalSlots() < 1 || len(e.NodeRates()) != n || e.TotalDuration() > 2*maxDuration {
			t.Errorf("Parse accepted %+v", e)
		}
		for _, ft := range e.Faults {
			for _, i := range e.Targets(ft) {
				if i < 0 {
					t.Errorf("%+v has the target %d", ft, i)
				}
			}
		}
	})
}
