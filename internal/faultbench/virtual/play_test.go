package virtual

import (
	"path/filepath"
	"testing"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
)

const folder = "../../../deploy/experiments"

// load reads an example.
func load(t testing.TB, name string) *experiment.Experiment {
	t.Helper()
	e, err := experiment.Load(filepath.Join(folder, name+".hcl"))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// smaller has a quarter of an example's nodes and servers.
func shrink(e *experiment.Experiment) *experiment.Experiment {
	for i := range e.Nodes {
		e.Nodes[i].Count = max(1, e.Nodes[i].Count/4)
	}
	for i := range e.Servers {
		e.Servers[i].Count = max(3, e.Servers[i].Count/4)
	}
	return e
}

func play(t testing.TB, e *experiment.Experiment, p experiment.Policy, tune Tune) audit.Metrics {
	t.Helper()
	a, f, err := Play(e, p, tune)
	if err != nil {
		t.Fatal(err)
	}
	if p == experiment.Program {
		for _, b := range a.Breaches(0) {
			t.Errorf("%s: %v", e.Name, b)
		}
	}
	return f
}

// At three quarters of what servers can do, few requests may wait while others are idle: by own counts and latencies they
// wait half as often as by chance, and where servers are asked a quarter as often; then the idle slots beside them are
// at most half of chance's. Seeds are fixed, and time is virtual.
func TestFewWaitWhileOthersAreIdle(t *testing.T) {
	chance := play(t, load(t, "even"), experiment.Random, nil)
	own := play(t, load(t, "even"), experiment.Program, nil)
	words := play(t, load(t, "even-reports"), experiment.Program, nil)
	asked := play(t, load(t, "even-asks"), experiment.Program, nil)
	best := play(t, load(t, "even"), experiment.JSQ, nil)
	for name, c := range map[string]struct{ got, most float64 }{
		"own counts":     {own.Waiting, 0.65 * chance.Waiting},
		"servers' words": {words.Waiting, 0.55 * chance.Waiting},
		"servers asked":  {asked.Waiting, 0.2 * chance.Waiting},
		"all known now":  {best.Waiting, 0.02 * chance.Waiting},
		"idle, asked":    {asked.Spread.IdleWhileQueued, 0.5 * chance.Spread.IdleWhileQueued},
	} {
		if c.got > c.most {
			t.Errorf("%s: %.3f; want at most %.3f", name, c.got, c.most)
		}
	}
	for name, f := range map[string]audit.Metrics{"own counts": own, "servers' words": words, "servers asked": asked} {
		if w := f.Spread.Windows["10s"]; w.Least < w.ChanceLeast || w.Most > w.ChanceMost {
			t.Errorf("%s: calls at a server lie between %.2f and %.2f of the mean, chance alone explains %.2f to %.2f", name, w.Least, w.Most, w.ChanceLeast, w.ChanceMost)
		}
		if f.MostConns > 1.25 {
			t.Errorf("%s: one server has %.2f times the mean of connections", name, f.MostConns)
		}
	}
}

// The four rules hold on every example that virtual time can play, whatever fails.
func TestRulesHoldOnTheExamples(t *testing.T) {
	for _, name := range []string{"restarts", "errors", "hang", "cold", "replaced", "lists", "recount", "one-way", "zone-silent", "zone-lost", "impatient"} {
		e := shrink(load(t, name))
		least := 0.8
		if name == "impatient" { // whose clients wait for two mean times of service
			least = 0.6
		}
		if f := play(t, e, experiment.Program, nil); f.Calls == 0 || f.Served < least {
			t.Errorf("%s: %.3f of %d calls were served", name, f.Served, f.Calls)
		}
	}
}

// One seed, one history.
func TestOneSeedOneHistory(t *testing.T) {
	first, again := play(t, shrink(load(t, "hang")), experiment.Program, nil), play(t, shrink(load(t, "hang")), experiment.Program, nil)
	if first.P999 != again.P999 || first.Served != again.Served || first.Spread.Variation != again.Spread.Variation {
		t.Errorf("%+v and %+v", first, again)
	}
}

// A fault that virtual time can't play is refused rather than left out.
func TestWhatCantBePlayedIsRefused(t *testing.T) {
	if _, _, err := Play(load(t, "ragged"), experiment.Program, nil); err == nil {
		t.Error("resets and losses were left out in silence")
	}
}

func BenchmarkPlay(b *testing.B) {
	for name, asks := range map[string]int{"own": 0, "asks=4": 4} {
		b.Run(name, func(b *testing.B) {
			e := load(b, "even-reports")
			for b.Loop() {
				f := play(b, e, experiment.Program, func(s *balancer.Settings) { s.PollChoices = asks })
				b.ReportMetric(f.Spread.IdleWhileQueued, "idle-while-queued")
				b.ReportMetric(f.Waiting, "waiting/slot")
			}
		})
	}
}
