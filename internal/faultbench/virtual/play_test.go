package virtual

import (
	"path/filepath"
	"testing"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
)

const folder = "../../../deploy/experiments"

// load loads an example experiment.
func load(t testing.TB, name string) *experiment.Experiment {
	t.Helper()
	e, err := experiment.Load(filepath.Join(folder, name+".hcl"))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// shrink reduces an experiment to a quarter of its nodes and servers.
func shrink(e *experiment.Experiment) *experiment.Experiment {
	for i := range e.Nodes {
		e.Nodes[i].Count = max(1, e.Nodes[i].Count/4)
	}
	for i := range e.Servers {
		e.Servers[i].Count = max(3, e.Servers[i].Count/4)
	}
	return e
}

func play(t testing.TB, e *experiment.Experiment, policy experiment.Policy, tune Tune) audit.Metrics {
	t.Helper()
	a, metrics, err := Play(e, policy, tune)
	if err != nil {
		t.Fatal(err)
	}
	if policy == experiment.Program {
		for _, b := range a.Breaches(0) {
			t.Errorf("%s: %v", e.Name, b)
		}
	}
	return metrics
}

// At three quarters of the capacity, few requests may be queued while other servers are idle. Relative to random selection,
// about half as many wait by the node's own counts and latencies, and a quarter as many if servers are polled; polling also
// at least halves the slots that are idle meanwhile. Seeds are fixed and time is virtual.
func TestBalancerQueuesFewerRequestsThanRandom(t *testing.T) {
	random := play(t, load(t, "even"), experiment.Random, nil)
	local := play(t, load(t, "even"), experiment.Program, nil)
	reported := play(t, load(t, "even-reports"), experiment.Program, nil)
	polled := play(t, load(t, "even-asks"), experiment.Program, nil)
	jsq := play(t, load(t, "even"), experiment.JSQ, nil)
	for name, c := range map[string]struct{ got, most float64 }{
		"local counts":      {local.Waiting, 0.65 * random.Waiting},
		"load reports":      {reported.Waiting, 0.55 * random.Waiting},
		"polling":           {polled.Waiting, 0.2 * random.Waiting},
		"exact state":       {jsq.Waiting, 0.02 * random.Waiting},
		"idle with polling": {polled.Spread.IdleWhileQueued, 0.5 * random.Spread.IdleWhileQueued},
	} {
		if c.got > c.most {
			t.Errorf("%s: got %.3f, want at most %.3f", name, c.got, c.most)
		}
	}
	for name, f := range map[string]audit.Metrics{"local counts": local, "load reports": reported, "polling": polled} {
		if w := f.Spread.Windows["10s"]; w.Least < w.ChanceLeast || w.Most > w.ChanceMost {
			t.Errorf("%s: requests per server are between %.2f and %.2f of the mean, outside the chance bounds %.2f and %.2f", name, w.Least, w.Most, w.ChanceLeast, w.ChanceMost)
		}
		if f.MostConns > 1.25 {
			t.Errorf("%s: one server has %.2f times the mean number of connections", name, f.MostConns)
		}
	}
}

// The four rules of the audit hold for all examples that are supported in virtual time.
func TestExamplesHaveNoBreaches(t *testing.T) {
	for _, name := range []string{"restarts", "errors", "hang", "cold", "replaced", "lists", "recount", "one-way", "zone-silent", "zone-lost", "impatient"} {
		e := shrink(load(t, name))
		minServed := 0.8
		if name == "impatient" { // its clients wait for two mean service times only
			minServed = 0.6
		}
		if f := play(t, e, experiment.Program, nil); f.Calls == 0 || f.Served < minServed {
			t.Errorf("%s: %.3f of %d requests were served", name, f.Served, f.Calls)
		}
	}
}

// Runs with the same seed have the same results.
func TestPlayIsDeterministic(t *testing.T) {
	first, again := play(t, shrink(load(t, "hang")), experiment.Program, nil), play(t, shrink(load(t, "hang")), experiment.Program, nil)
	if first.P999 != again.P999 || first.Served != again.Served || first.Spread.Variation != again.Spread.Variation {
		t.Errorf("two runs with the same seed differ: %+v and %+v", first, again)
	}
}

// Faults that are not supported in virtual time are an error and are not ignored.
func TestUnsupportedFaultsAreRejected(t *testing.T) {
	if _, _, err := Play(load(t, "ragged"), experiment.Program, nil); err == nil {
		t.Error("Play accepted an experiment with resets and losses")
	}
}

func BenchmarkPlay(b *testing.B) {
	for name, pollChoices := range map[string]int{"own": 0, "asks=4": 4} {
		b.Run(name, func(b *testing.B) {
			e := load(b, "even-reports")
			for b.Loop() {
				f := play(b, e, experiment.Program, func(s *balancer.Settings) { s.PollChoices = pollChoices })
				b.ReportMetric(f.Spread.IdleWhileQueued, "idle-while-queued")
				b.ReportMetric(f.Waiting, "waiting/slot")
			}
		})
	}
}
