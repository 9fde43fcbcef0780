package faultbench

import (
	"slices"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/child"
	"damsontrestle/internal/faultbench/experiment"
)

var program child.Builder

func TestMain(m *testing.M) { program.RunTests(m) }

// play runs an experiment with processes and returns its result. Breaches that depend on timing fail the test only if the
// fault bench kept up.
func play(t *testing.T, text string) *Result {
	t.Helper()
	path, err := program.Path()
	if err != nil {
		t.Fatal(err)
	}
	e, err := experiment.Parse([]byte(text), t.Name(), nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := Run(t.Context(), e, Options{Policy: experiment.Program, Binary: path, ParallelStarts: 4, Log: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range res.Breaches {
		if res.Slow == "" || b.Rule == "once" || b.Rule == "age" || b.Rule == "crash" || strings.Contains(b.Words, "wrong response") || strings.Contains(b.Words, "wrongly") {
			t.Errorf("%v", b)
		}
	}
	if res.Slow != "" {
		t.Log(res.Slow)
	}
	return res
}

const dozenNodes = `experiment "dozen" {
  seed    = 3
  warm_up = "1s"
  measure = "8s"
}
zone "a" {}
zone "b" {}
zone "c" {}
nodes "front" {
  count = 12
}
servers "box" {
  count   = 12
  slots   = 8
  queue   = 100
  service = "40ms"
  draw    = "uniform"
}
class "view" {
  effect   = "safe"
  aim      = "2s"
  deadline = "4s"
  share    = 0.6
}
class "note" {
  effect   = "unsafe"
  aim      = "2s"
  deadline = "4s"
  share    = 0.4
}
callers {
  rate = 5
}
`

// For three seconds nothing from the nodes of one zone reaches the servers of another: the rules hold, most requests are
// served, and all servers carry their part of the load.
func TestZoneCutOffInOneDirection(t *testing.T) {
	res := play(t, dozenNodes+`
fault "cut" {
  kind = "cut_there"
  from = "3s"
  to   = "6s"
  near = ["a"]
  far  = ["b"]
}
`)
	f := res.Figures
	if f.Calls < 300 {
		t.Fatalf("%d calls were made", f.Calls)
	}
	if f.Served < 0.8 {
		t.Errorf("%.3f of the calls were served; a third of the nodes cannot reach a third of the servers for a third of the time", f.Served)
	}
	mean := 0
	for _, n := range f.Spread.Counts {
		mean += n
	}
	mean /= len(f.Spread.Counts)
	for i, n := range f.Spread.Counts {
		if n < mean/4 || n > 3*mean {
			t.Errorf("server %d got %d calls where the mean is %d: %v", i, n, mean, f.Spread.Counts)
		}
	}
}

// withLoadPolls makes nodes poll the load of three servers before each request.
func withLoadPolls(text string) string {
	return strings.NewReplacer("count = 12\n}", "count = 12\n  asks  = 3\n}", "queue   = 100", "queue   = 100\n  reports = true").Replace(text)
}

// The rules hold when nodes stopped during server replacement resume with an old list, the nodes of a zone cannot reach the
// registry, others are killed or restarted gracefully, and one has a clock that is an hour off.
func TestNodesStoppedKilledAndRestarted(t *testing.T) {
	res := play(t, withLoadPolls(dozenNodes)+`
fault "asleep" {
  kind  = "stop"
  from  = "2s"
  to    = "4s"
  count = 2
}
fault "new" {
  kind = "replace"
  from = "2500ms"
  to   = "5s"
  over = "1s"
  part = 0.5
}
fault "dead" {
  kind  = "kill"
  from  = "3s"
  to    = "4s"
  count = 2
}
fault "rolled" {
  kind  = "restart"
  from  = "4500ms"
  to    = "7s"
  over  = "500ms"
  count = 3
}
fault "off" {
  kind   = "skew"
  from   = "1s"
  to     = "8s"
  count  = 1
  offset = "-1h"
}
fault "deaf" {
  kind = "cut"
  from = "2s"
  to   = "4s"
  near = ["a"]
  far  = ["registry"]
}
fault "recount" {
  kind  = "recount"
  from  = "6s"
  to    = "7s"
  part  = 0.5
  count = 30
}
`)
	if res.Cost.Asks < res.Figures.Calls {
		t.Errorf("servers received %d load polls for %d requests", res.Cost.Asks, res.Figures.Calls)
	}
	if f := res.Figures; f.Served < 0.6 || res.Cost.Processes != 12 {
		t.Errorf("share served: %.3f; processes at the end: %d, want 12", f.Served, res.Cost.Processes)
	}
}

// Twelve processes discover one another by datagrams. One is killed, and later a zone is cut off from the others for a while:
// the others detect the death, the two sides of the cut see each other as dead, and in the end every node sees every other as
// alive, the killed one in a later incarnation.
func TestNodesDetectDeathsAndPartitions(t *testing.T) {
	text := strings.NewReplacer(`measure = "8s"`, "measure = \"23s\"\n  peers   = \"200ms\"\n  fresh   = \"2s\"", `rate = 5`, `rate = 1`).Replace(dozenNodes)
	res := play(t, text+`
fault "dead" {
  kind  = "kill"
  from  = "3s"
  to    = "9s"
  count = 1
}
fault "cut" {
  kind = "cut"
  from = "10s"
  to   = "16s"
  near = ["a"]
  far  = ["b", "c"]
  both = true
}
`)
	const n = 12
	before := res.Statuses(n, 3*time.Second)
	for i := range n {
		for j := range n {
			if i != j && before[i][j] != "alive" && res.Slow == "" {
				t.Fatalf("after three seconds n%d sees n%d as %q, want alive", i, j, before[i][j])
			}
		}
	}
	if d := res.DeathDetection(n); res.Slow == "" && (d.Struck != 1 || d.Known < 1 || d.Most > 7*time.Second) {
		t.Errorf("death detection of one node killed for six seconds: %+v", d)
	}
	atRestart := res.Statuses(n, 9*time.Second)
	for j := range n {
		for i := range n {
			if atRestart[i][j] == "dead" && j != res.Strikes[0].Node && res.Slow == "" {
				t.Errorf("n%d is alive but n%d sees it as dead", j, i)
			}
		}
	}
	detections := 0
	for _, s := range res.Sights {
		if s.At > 10*time.Second && s.At < 17*time.Second && s.Status == "dead" && (s.Node%3 == 0) != (s.Of%3 == 0) {
			detections++
		}
	}
	if detections < 32 && res.Slow == "" { // half of the 64 directed pairs: 4 x 8 in each direction
		t.Errorf("%d of 64 directed pairs across the cut detected the other as dead, want at least 32", detections)
	}
	// Zone state is fresh before and after the cut, not fresh across it once older than the limit, and never older than
	// reported (play checks this).
	for _, c := range []struct {
		from, to    time.Duration
		least, most float64
	}{{time.Second, 9 * time.Second, 0.9, 1}, {14 * time.Second, 16 * time.Second, 0, 0.7}, {19 * time.Second, 24 * time.Second, 0.9, 1}} {
		if k := res.Freshness(n, c.from, c.to); res.Slow == "" && (k.Share < c.least || k.Share > c.most) {
			t.Errorf("from %v to %v zone state was fresh for %.3f of the time", c.from, c.to, k.Share)
		}
	}
	end := res.Statuses(n, time.Hour)
	for i := range n {
		for j := range n {
			if i != j && end[i][j] != "alive" && res.Slow == "" {
				t.Errorf("at the end n%d sees n%d as %q, want alive", i, j, end[i][j])
			}
		}
	}
}

// A result whose fault bench was too slow reports the lateness, so that the command does not judge it.
func TestResultReportsSlowFaultBench(t *testing.T) {
	e, err := experiment.Parse([]byte(dozenNodes), "dozen", nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		lates []time.Duration
		slow  bool
	}{{nil, false}, {[]time.Duration{time.Millisecond, 2 * time.Millisecond}, false}, {[]time.Duration{time.Millisecond, lateMostLimit + 1}, true},
		{slices.Repeat([]time.Duration{lateP99Limit + time.Millisecond}, 10), true}} {
		f := &fleet{experiment: e, audit: audit.New()}
		f.setStart(time.Now())
		for _, late := range c.lates {
			f.recordLateness(late)
		}
		if got := f.result(Cost{}).Slow; (got != "") != c.slow {
			t.Errorf("result with lateness %v: Slow = %q", c.lates, got)
		}
	}
}

// The fault bench's own policies are checked by the same auditor and need no processes.
func TestBuiltInPolicies(t *testing.T) {
	e, err := experiment.Parse([]byte(strings.NewReplacer(`"8s"`, `"1s"`, `"1s"`, `"200ms"`).Replace(dozenNodes)), "dozen", nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range []experiment.Policy{experiment.Random, experiment.JSQ} {
		res, err := Run(t.Context(), e, Options{Policy: p})
		if err != nil {
			t.Fatal(err)
		}
		if res.Figures.Calls < 20 || res.Figures.Served < 0.9 || res.Cost.Processes != 0 {
			t.Errorf("%s: %d calls, %.3f served, %d processes", p, res.Figures.Calls, res.Figures.Served, res.Cost.Processes)
		}
		for _, b := range res.Breaches {
			if res.Slow == "" {
				t.Errorf("%s: %v", p, b)
			}
		}
	}
}
