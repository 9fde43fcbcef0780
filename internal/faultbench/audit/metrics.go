package audit

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"damsontrestle/internal/faultbench/experiment"
)

// SampleEvery is how often the servers are looked at.
const SampleEvery = 20 * time.Millisecond

// Sample is how all servers stand at an instant, in the order of their places.
type Sample struct {
	At          time.Duration
	Working     []int
	Waiting     []int
	Connections []int
	Down        []bool // crashed, lost or hung: no load is meant for it
}

// Sample notes how the servers stand.
func (a *Audit) RecordSample(s Sample) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.samples = append(a.samples, s)
}

// Figures are what a run comes to, over the stretch that is measured.
type Metrics struct {
	Calls       int     // a client's tries are one
	InAim       float64 // share of requests that were served within their latency objective
	Worth       float64 // of what all requests are worth, the share that was served within the latency objective
	Served      float64 // shares of all requests
	Refused     float64
	Failed      float64
	NotTaken    float64
	Late        float64 // served after the latency objective
	Left        float64 // clients that left with nothing
	Cold        float64 // most work that came to a server in slow start in a second, of what the rule allows
	Attempts    float64 // a request
	Crossings   float64 // share of attempts that left their zone
	P50, P90    time.Duration
	P99, P999   time.Duration // of those served
	Utilisation float64       // slots that worked
	Waiting     float64       // requests that waited, for each slot
	Spread      Spread
	Connections float64  // open to a server, on average
	MostConns   float64  // at the server that had most, against the mean
	BySecond    []Second // since the first request
	Series      []Point  // of the whole run
	Latency     []byte   // of those served, in microseconds: an HdrHistogram, encoded as version 2
}

// Point is how the servers stood over a tenth of a second.
type Point struct {
	At      time.Duration
	Working float64 // share of slots
	Waiting float64 // requests, for each slot
	Idle    float64 // free slots while requests wait elsewhere, as a share of all slots
}

// Second is what became of the requests of a second.
type Second struct {
	Calls  int
	InAim  float64
	Failed float64 // neither served nor refused
}

// Spread says how evenly servers were loaded. See docs/operate/faultbench.md for the definitions.
type Spread struct {
	Variation       float64           // coefficient of variation of requests a slot over servers, by instant, averaged
	IdleWhileQueued float64           // free slots while requests wait elsewhere, as a share of all slots
	Windows         map[string]Window // by length
	Counts          []int             // requests that came to each place
	LongestIdle     time.Duration     // that a server which was up went without a request
}

// Window compares servers by the requests that came to them within windows of one length, against their part of capacity.
type Window struct {
	Most, Least             float64 // of the server with most and with least, against the mean; averaged over windows
	ChanceMost, ChanceLeast float64 // beyond which one server goes in one window of twenty by chance alone
	Within                  float64 // share of windows in which all servers lie within these
}

var windows = []struct {
	name string
	len  time.Duration
}{{"100ms", 100 * time.Millisecond}, {"1s", time.Second}, {"10s", 10 * time.Second}}

// Capacity is what each server's place can do: slots, and how its speed compares.
type Capacity struct {
	Slots int
	Speed float64 // requests a second that one slot works off
}

// Capacities are those of an experiment's servers, in the order of their places.
func Capacities(e *experiment.Experiment) (c []Capacity) {
	for _, g := range e.Servers {
		for range g.Count {
			c = append(c, Capacity{Slots: g.Slots, Speed: 1 / g.Service.Seconds()})
		}
	}
	return c
}

// tries are all that one client asked for one thing.
type requestChain struct {
	first    *Request
	requests []*Request
}

// tries are the requests by the first of each client's. The caller holds mu.
func (a *Audit) requestChains() map[string]*requestChain {
	all := map[string]*requestChain{}
	for _, c := range a.requests {
		first := cmp.Or(c.FirstID, c.ID)
		if all[first] == nil {
			all[first] = &requestChain{first: a.requests[first]}
		}
		all[first].requests = append(all[first].requests, c)
	}
	return all
}

// last is the try that was served, or the last one that was made.
func (t *requestChain) final() *Request {
	last := t.requests[0]
	for _, c := range t.requests {
		if c.Outcome == Served || last.Outcome != Served && c.At > last.At {
			last = c
		}
	}
	return last
}

// ClassFigures are what became of the requests of a class, or of another group, over a stretch.
type ClassMetrics struct {
	Calls      int
	InAim      float64 // share that was served within the latency objective
	Unanswered float64 // share that heard nothing until the time was up
}

// ByClass works them out for each class, in the order of the experiment.
func (a *Audit) ByClass(from, to time.Duration, classes int) []ClassMetrics {
	by := a.ByGroup(from, to, func(c Request) string { return strconv.Itoa(c.Class) })
	out := make([]ClassMetrics, classes)
	for i := range out {
		out[i] = by[strconv.Itoa(i)]
	}
	return out
}

// By works them out for each group of requests, by the first of each client's.
func (a *Audit) ByGroup(from, to time.Duration, group func(Request) string) map[string]ClassMetrics {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]ClassMetrics{}
	for _, t := range a.requestChains() {
		if t.first.At < from || t.first.At >= to {
			continue
		}
		name := group(*t.first)
		f, last := out[name], t.final()
		f.Calls++
		if last.Outcome == Served && last.OutcomeAt-t.first.At <= t.first.LatencyObjective {
			f.InAim++
		}
		if last.Outcome == NoResponse {
			f.Unanswered++
		}
		out[name] = f
	}
	for name, f := range out {
		n := float64(f.Calls)
		f.InAim, f.Unanswered = f.InAim/n, f.Unanswered/n
		out[name] = f
	}
	return out
}

// Figures works them out over a stretch, of requests that were made in it.
func (a *Audit) Metrics(from, to time.Duration, capacity []Capacity) Metrics {
	a.mu.Lock()
	defer a.mu.Unlock()
	var f Metrics
	times := NewHistogram()
	var seconds []Second
	var attempts, crossings int
	var weight, asked float64
	for _, all := range a.requestChains() {
		c, last := all.first, all.final()
		sec := int(c.At / time.Second)
		for len(seconds) <= sec {
			seconds = append(seconds, Second{})
		}
		took := last.OutcomeAt - c.At
		inAim := last.Outcome == Served && took <= c.LatencyObjective
		seconds[sec].Calls++
		if inAim {
			seconds[sec].InAim++
		}
		if last.Outcome != Served && last.Outcome != Refused && last.Outcome != ClientLeft {
			seconds[sec].Failed++
		}
		if c.At < from || c.At >= to {
			continue
		}
		f.Calls++
		asked += c.PriorityWeight
		if inAim {
			weight += c.PriorityWeight
		}
		for _, t := range all.requests {
			attempts += len(t.attempts)
			for _, one := range t.attempts {
				if one.CrossZone {
					crossings++
				}
			}
		}
		switch last.Outcome {
		case Served:
			f.Served++
			times.RecordValue(max(1, took.Microseconds()))
			if inAim {
				f.InAim++
			} else {
				f.Late++
			}
		case Refused:
			f.Refused++
		case NotAccepted:
			f.NotTaken++
		case ClientLeft:
			f.Left++
		default:
			f.Failed++
		}
	}
	n := float64(max(1, f.Calls))
	for _, share := range []*float64{&f.InAim, &f.Served, &f.Refused, &f.Failed, &f.NotTaken, &f.Late, &f.Left} {
		*share /= n
	}
	f.Worth, f.Cold = weight/max(asked, 1e-9), a.slowStartLoad
	f.Attempts, f.Crossings = float64(attempts)/n, float64(crossings)/float64(max(1, attempts))
	for i := range seconds {
		k := float64(max(1, seconds[i].Calls))
		seconds[i].InAim, seconds[i].Failed = seconds[i].InAim/k, seconds[i].Failed/k
	}
	f.BySecond = seconds
	at := func(q float64) time.Duration { return time.Duration(times.ValueAtQuantile(q)) * time.Microsecond }
	f.P50, f.P90, f.P99, f.P999 = at(50), at(90), at(99), at(99.9)
	a.addLoadMetrics(&f, from, to, capacity)
	if text, err := times.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err == nil {
		f.Latency = text
	}
	f.Spread.Counts = make([]int, len(capacity))
	for _, r := range a.arrivals {
		if r.at >= from && r.at < to {
			f.Spread.Counts[r.index]++
		}
	}
	f.Spread.Windows = map[string]Window{}
	for _, w := range windows {
		if to-from >= w.len {
			f.Spread.Windows[w.name] = a.compareWindows(from, to, w.len, capacity)
		}
	}
	f.Spread.LongestIdle = a.longestIdle(from, to, len(capacity))
	return f
}

// load works out the figures of samples.
func (a *Audit) addLoadMetrics(f *Metrics, from, to time.Duration, capacity []Capacity) {
	var n, working, waiting, variation, idle, conns, most float64
	slots := 0
	for _, c := range capacity {
		slots += c.Slots
	}
	for _, s := range a.samples {
		free, wait, busy := 0, 0, 0
		var loads, open []float64
		for i, c := range capacity {
			if s.Down[i] {
				continue
			}
			busy += s.Working[i]
			free += max(0, c.Slots-s.Working[i])
			wait += s.Waiting[i]
			loads = append(loads, float64(s.Working[i]+s.Waiting[i])/float64(c.Slots))
			open = append(open, float64(s.Connections[i]))
		}
		f.addPoint(s.At, float64(busy)/float64(slots), float64(wait)/float64(slots), float64(min(free, wait))/float64(slots))
		if s.At < from || s.At >= to {
			continue
		}
		n++
		working += float64(busy) / float64(slots)
		waiting += float64(wait) / float64(slots)
		idle += float64(min(free, wait)) / float64(slots)
		if len(loads) > 1 {
			mean, dev := stat.MeanStdDev(loads, nil)
			variation += dev / max(mean, 1e-9)
			m := stat.Mean(open, nil)
			conns += m
			most += slices.Max(open) / max(m, 1e-9)
		}
	}
	n = max(n, 1)
	f.Utilisation, f.Waiting = working/n, waiting/n
	f.Spread.Variation, f.Spread.IdleWhileQueued = variation/n, idle/n
	f.Connections, f.MostConns = conns/n, most/n
}

// note adds a sample to the tenth of a second that it lies in.
func (f *Metrics) addPoint(at time.Duration, working, waiting, idle float64) {
	at = at.Truncate(100 * time.Millisecond)
	if k := len(f.Series) - 1; k >= 0 && f.Series[k].At == at {
		p := &f.Series[k] // a mean that leans to the later ones is good enough to look at
		p.Working, p.Waiting, p.Idle = (p.Working+working)/2, (p.Waiting+waiting)/2, (p.Idle+idle)/2
		return
	}
	f.Series = append(f.Series, Point{at, working, waiting, idle})
}

// window compares the servers by the requests that came to them.
func (a *Audit) compareWindows(from, to, length time.Duration, capacity []Capacity) (w Window) {
	count := int((to - from) / length)
	counts := make([][]float64, count)
	for i := range counts {
		counts[i] = make([]float64, len(capacity))
	}
	for _, r := range a.arrivals {
		if k := int((r.at - from) / length); r.at >= from && k < count {
			counts[k][r.index]++
		}
	}
	var all float64
	for _, c := range capacity {
		all += float64(c.Slots) * c.Speed
	}
	var used float64
	for _, byServer := range counts {
		var total float64
		for _, v := range byServer {
			total += v
		}
		if total == 0 {
			continue
		}
		used++
		most, least, highest, lowest, within := 0.0, math.Inf(1), 0.0, math.Inf(1), true
		for i, v := range byServer {
			part := float64(capacity[i].Slots) * capacity[i].Speed / all
			mean := total * part
			high, low := chanceBounds(total, part, 0.025/float64(len(capacity)))
			most, least = max(most, v/mean), min(least, v/mean)
			highest, lowest = max(highest, high/mean), min(lowest, low/mean)
			within = within && v <= high && v >= low
		}
		w.Most, w.Least = w.Most+most, w.Least+least
		w.ChanceMost, w.ChanceLeast = w.ChanceMost+highest, w.ChanceLeast+lowest
		if within {
			w.Within++
		}
	}
	used = max(used, 1)
	return Window{w.Most / used, w.Least / used, w.ChanceMost / used, w.ChanceLeast / used, w.Within / used}
}

// chance is between how many of n requests a server that is drawn with probability p has, but for the given share of
// cases on either side.
func chanceBounds(n, p, share float64) (high, low float64) {
	b := distuv.Binomial{N: n, P: p}
	mean, dev := n*p, math.Sqrt(n*p*(1-p))
	high, low = mean, mean
	step := max(1, math.Floor(dev/8))
	for high < n && b.Survival(math.Floor(high)) > share {
		high += step
	}
	for low > 0 && b.CDF(math.Ceil(low)-1) > share {
		low -= step
	}
	return math.Floor(high), max(0, math.Ceil(low))
}

// longestIdle is the longest that a server which was up went without a request coming to it.
func (a *Audit) longestIdle(from, to time.Duration, places int) (longest time.Duration) {
	last := make([]time.Duration, places)
	for i := range last {
		last[i] = from
	}
	for _, s := range a.samples { // one that is down begins anew
		for i, down := range s.Down {
			if down && s.At >= from && s.At < to {
				last[i] = max(last[i], s.At)
			}
		}
	}
	downAt := slices.Clone(last)
	sorted := slices.Clone(a.arrivals)
	slices.SortStableFunc(sorted, func(x, y arrival) int { return int(x.at - y.at) })
	copy(last, downAt)
	for _, r := range sorted {
		if r.at < from || r.at >= to || r.at < downAt[r.index] {
			continue
		}
		longest = max(longest, r.at-last[r.index])
		last[r.index] = r.at
	}
	for _, at := range last {
		longest = max(longest, to-at)
	}
	return longest
}
