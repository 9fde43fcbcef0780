// Package report reads results of the fault bench and compares two sets of runs, paired by seed, in a table with confidence
// intervals and in a self-contained HTML page with plots.
package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"

	"gonum.org/v1/gonum/stat"

	"damsontrestle/internal/faultbench"
)

// MaxResult is the maximum size of a result file, in bytes.
const MaxResult = 64 << 20

// Load reads a result file. It rejects results of another version, whose figures may have another meaning.
func Load(path string) (*faultbench.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("result: %w", err)
	}
	r, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Parse parses a result in JSON.
func Parse(text []byte) (*faultbench.Result, error) {
	if len(text) > MaxResult {
		return nil, fmt.Errorf("result: found %d bytes; allowed: %d", len(text), MaxResult)
	}
	var version struct{ Version int }
	if err := json.Unmarshal(text, &version); err != nil {
		return nil, fmt.Errorf("result: %w", err)
	}
	if version.Version != faultbench.ResultVersion {
		return nil, fmt.Errorf("result: found version %d; allowed: %d, which this build writes", version.Version, faultbench.ResultVersion)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	r := &faultbench.Result{}
	if err := d.Decode(r); err != nil {
		return nil, fmt.Errorf("result: %w", err)
	}
	if r.Experiment == "" || r.Policy == "" {
		return nil, fmt.Errorf("result: no experiment or no policy given")
	}
	return r, nil
}

// Row is the comparison of one figure between two sets of runs.
type Row struct {
	Name, Unit string
	A, B       float64 // means over the pairs
	Difference float64 // mean of B - A over the pairs
	Low, High  float64 // 95 % bootstrap interval of Difference; both equal it if there is one pair
}

// comparedFigure is a figure of a result that Compare compares.
type comparedFigure struct {
	name, unit string
	value      func(*faultbench.Result) float64
}

var comparedFigures = []comparedFigure{
	{"served within the aim", "share", func(r *faultbench.Result) float64 { return r.Figures.InAim }},
	{"worth, within the aim", "share", func(r *faultbench.Result) float64 { return r.Figures.Worth }},
	{"served", "share", func(r *faultbench.Result) float64 { return r.Figures.Served }},
	{"refused", "share", func(r *faultbench.Result) float64 { return r.Figures.Refused }},
	{"failed or not taken", "share", func(r *faultbench.Result) float64 { return r.Figures.Failed + r.Figures.NotTaken }},
	{"clients that left", "share", func(r *faultbench.Result) float64 { return r.Figures.Left }},
	{"peak on cold server", "of the rule", func(r *faultbench.Result) float64 { return r.Figures.Cold }},
	{"latency, median", "ms", func(r *faultbench.Result) float64 { return r.Figures.P50.Seconds() * 1e3 }},
	{"latency, p99", "ms", func(r *faultbench.Result) float64 { return r.Figures.P99.Seconds() * 1e3 }},
	{"busy slots", "share", func(r *faultbench.Result) float64 { return r.Figures.Utilisation }},
	{"waiting per slot", "", func(r *faultbench.Result) float64 { return r.Figures.Waiting }},
	{"idle while queued", "share", func(r *faultbench.Result) float64 { return r.Figures.Spread.IdleWhileQueued }},
	{"server variation", "", func(r *faultbench.Result) float64 { return r.Figures.Spread.Variation }},
	{"most requests in 1 s", "of mean", func(r *faultbench.Result) float64 { return r.Figures.Spread.Windows["1s"].Most }},
	{"most requests in 10 s", "of mean", func(r *faultbench.Result) float64 { return r.Figures.Spread.Windows["10s"].Most }},
	{"fewest requests, 10 s", "of mean", func(r *faultbench.Result) float64 { return r.Figures.Spread.Windows["10s"].Least }},
	{"longest idle time", "s", func(r *faultbench.Result) float64 { return r.Figures.Spread.LongestIdle.Seconds() }},
	{"connections to a server", "", func(r *faultbench.Result) float64 { return r.Figures.Connections }},
	{"most connections", "of mean", func(r *faultbench.Result) float64 { return r.Figures.MostConns }},
	{"attempts per request", "", func(r *faultbench.Result) float64 { return r.Figures.Attempts }},
	{"attempts to other zones", "share", func(r *faultbench.Result) float64 { return r.Figures.Crossings }},
	{"CPU time per request", "ms", func(r *faultbench.Result) float64 { return r.Cost.CPUPerCall.Seconds() * 1e3 }},
	{"rule breaches", "", func(r *faultbench.Result) float64 { return float64(len(r.Breaches)) }},
}

// Pair holds two results of the same experiment and seed.
type Pair struct{ A, B *faultbench.Result }

// Pairs pairs the results of two sets by experiment and seed. Results without a counterpart, and pairs with a run on a machine that
// was too slow, are excluded; excluded lists them with the reason.
func Pairs(a, b []*faultbench.Result) (pairs []Pair, excluded []string) {
	type day struct {
		experiment string
		seed       uint64
	}
	byDay := map[day]*faultbench.Result{}
	for _, r := range b {
		byDay[day{r.Experiment, r.Seed}] = r
	}
	used := map[day]bool{}
	for _, r := range a {
		k := day{r.Experiment, r.Seed}
		other := byDay[k]
		switch {
		case used[k] || other == nil:
			excluded = append(excluded, fmt.Sprintf("%s, seed %d: no partner", r.Experiment, r.Seed))
		case r.Slow != "" || other.Slow != "":
			excluded = append(excluded, fmt.Sprintf("%s, seed %d: the machine was too slow", r.Experiment, r.Seed))
		default:
			pairs = append(pairs, Pair{r, other})
		}
		used[k] = true
	}
	for _, r := range b {
		if !used[day{r.Experiment, r.Seed}] {
			excluded = append(excluded, fmt.Sprintf("%s, seed %d: no partner", r.Experiment, r.Seed))
		}
	}
	return pairs, excluded
}

// bootstrapResamples is the number of resamples for an interval.
const bootstrapResamples = 2000

// Compare compares every figure over the pairs.
func Compare(pairs []Pair) (rows []Row) {
	for _, f := range comparedFigures {
		var as, bs, ds []float64
		for _, p := range pairs {
			x, y := f.value(p.A), f.value(p.B)
			as, bs, ds = append(as, x), append(bs, y), append(ds, y-x)
		}
		if len(ds) == 0 {
			continue
		}
		low, high := bootstrap(ds)
		rows = append(rows, Row{f.name, f.unit, stat.Mean(as, nil), stat.Mean(bs, nil), stat.Mean(ds, nil), low, high})
	}
	return rows
}

// bootstrap returns the 95 % interval of the mean by bootstrap resampling (Efron 1979). The random seed is fixed, so results are
// reproducible.
func bootstrap(values []float64) (low, high float64) {
	rng := rand.New(rand.NewPCG(1, uint64(len(values))))
	means := make([]float64, bootstrapResamples)
	for i := range means {
		var sum float64
		for range values {
			sum += values[rng.IntN(len(values))]
		}
		means[i] = sum / float64(len(values))
	}
	slices.Sort(means)
	at := func(q float64) float64 { return means[int(math.Round(q*float64(bootstrapResamples-1)))] }
	return at(0.025), at(0.975)
}
