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

// SampleEvery is the interval at which the state of the servers is sampled.
const SampleEvery = 20 * time.Millisecond

// Sample is the state of all servers at an instant, by server index.
type Sample struct {
	At          time.Duration
	Working     []int
	Waiting     []int
	Connections []int
	Down        []bool // crashed, lost or hung: not expected to take load
}

// RecordSample records a sample of the servers.
func (a *Audit) RecordSample(s Sample) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.samples = append(a.samples, s)
}

// Metrics are the results of a run over the measured period.
type Metrics struct {
	Calls       int     // a request and its client retries count as one
	InAim       float64 // fraction of requests served within their latency objective
	Worth       float64 // InAim, weighted by priority weight
	Served      float64 // fraction of all requests, as the five below
	Refused     float64
	Failed      float64
	NotTaken    float64
	Late        float64 // served after the latency objective
	Left        float64 // clients that disconnected before a response
	Cold        float64 // maximum work that arrived at a server in slow start in a second, relative to what the rule allows
	Attempts    float64 // per request
	Crossings   float64 // fraction of attempts sent to another zone
	P50, P90    time.Duration
	P99, P999   time.Duration // latency of served requests
	Utilisation float64       // mean fraction of busy slots
	Waiting     float64       // mean queued requests per slot
	Spread      Spread
	Connections float64  // mean open connections per server
	MostConns   float64  // at the server with most, relative to the mean
	BySecond    []Second // from the first request on
	Series      []Point  // over the whole run
	Latency     []byte   // of served requests, in microseconds: an HdrHistogram in V2 compressed encoding
}

// Point is the state of the servers over 100 ms.
type Point struct {
	At      time.Duration
	Working float64 // fraction of slots
	Waiting float64 // requests per slot
	Idle    float64 // free slots while requests are queued elsewhere, as a fraction of all slots
}

// Second holds the outcomes of the requests sent in one second.
type Second struct {
	Calls  int
	InAim  float64
	Failed float64 // neither served nor refused
}

// Spread describes how evenly the servers were loaded. See docs/operate/faultbench.md for the definitions.
type Spread struct {
	Variation       float64           // coefficient of variation of requests per slot across servers, averaged over samples
	IdleWhileQueued float64           // free slots while requests are queued elsewhere, as a fraction of all slots
	Windows         map[string]Window // by window length
	Counts          []int             // requests that arrived at each server
	LongestIdle     time.Duration     // longest time a server that was up received no request
}

// Window compares the requests that servers received within windows of one length, relative to their share of the capacity.
type Window struct {
	Most, Least             float64 // at the servers with most and least, relative to the mean; averaged over windows
	ChanceMost, ChanceLeast float64 // bounds that random selection exceeds at some server in 5% of windows
	Within                  float64 // fraction of windows in which all servers are within these bounds
}

var windows = []struct {
	name string
	len  time.Duration
}{{"100ms", 100 * time.Millisecond}, {"1s", time.Second}, {"10s", 10 * time.Second}}

// Capacity is the capacity of a server.
type Capacity struct {
	Slots int
	Speed float64 // requests per second of one slot
}

// Capacities returns the capacities of an experiment's servers, by server index.
func Capacities(e *experiment.Experiment) (c []Capacity) {
	for _, g := range e.Servers {
		for range g.Count {
			c = append(c, Capacity{Slots: g.Slots, Speed: 1 / g.Service.Seconds()})
		}
	}
	return c
}

// requestChain is a client's first request with its retries.
type requestChain struct {
	first    *Request
	requests []*Request
}

// requestChains groups the requests by the ID of the first request. The caller must hold mu.
func (a *Audit) requestChains() map[string]*requestChain {
	chains := map[string]*requestChain{}
	for _, c := range a.requests {
		first := cmp.Or(c.FirstID, c.ID)
		if chains[first] == nil {
			chains[first] = &requestChain{first: a.requests[first]}
		}
		chains[first].requests = append(chains[first].requests, c)
	}
	return chains
}

// final returns the request that was served, or else the last one that was sent.
func (t *requestChain) final() *Request {
	last := t.requests[0]
	for _, c := range t.requests {
		if c.Outcome == Served || last.Outcome != Served && c.At > last.At {
			last = c
		}
	}
	return last
}

// ClassMetrics are the results of the requests of a class or another group over a period.
type ClassMetrics struct {
	Calls      int
	InAim      float64 // fraction served within the latency objective
	Unanswered float64 // fraction without a response until the time limit
}

// ByClass returns the metrics of each class, in the order of the experiment.
func (a *Audit) ByClass(from, to time.Duration, classes int) []ClassMetrics {
	by := a.ByGroup(from, to, func(c Request) string { return strconv.Itoa(c.Class) })
	out := make([]ClassMetrics, classes)
	for i := range out {
		out[i] = by[strconv.Itoa(i)]
	}
	return out
}

// ByGroup returns the metrics of each group of requests. A client's retries belong to the group of its first request.
func (a *Audit) ByGroup(from, to time.Duration, group func(Request) string) map[string]ClassMetrics {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]ClassMetrics{}
	for _, chain := range a.requestChains() {
		if chain.first.At < from || chain.first.At >= to {
			continue
		}
		name := group(*chain.first)
		metrics, last := out[name], chain.final()
		metrics.Calls++
		if last.Outcome == Served && last.OutcomeAt-chain.first.At <= chain.first.LatencyObjective {
			metrics.InAim++
		}
		if last.Outcome == NoResponse {
			metrics.Unanswered++
		}
		out[name] = metrics
	}
	for name, metrics := range out {
		n := float64(metrics.Calls)
		metrics.InAim, metrics.Unanswered = metrics.InAim/n, metrics.Unanswered/n
		out[name] = metrics
	}
	return out
}

// Metrics computes the metrics of the requests sent within a period.
func (a *Audit) Metrics(from, to time.Duration, capacity []Capacity) Metrics {
	a.mu.Lock()
	defer a.mu.Unlock()
	var m Metrics
	latencies := NewHistogram()
	var seconds []Second
	var attempts, crossings int
	var earned, asked float64
	for _, chain := range a.requestChains() {
		first, last := chain.first, chain.final()
		sec := int(first.At / time.Second)
		for len(seconds) <= sec {
			seconds = append(seconds, Second{})
		}
		took := last.OutcomeAt - first.At
		inAim := last.Outcome == Served && took <= first.LatencyObjective
		seconds[sec].Calls++
		if inAim {
			seconds[sec].InAim++
		}
		if last.Outcome != Served && last.Outcome != Refused && last.Outcome != ClientLeft {
			seconds[sec].Failed++
		}
		if first.At < from || first.At >= to {
			continue
		}
		m.Calls++
		asked += first.PriorityWeight
		if inAim {
			earned += first.PriorityWeight
		}
		for _, req := range chain.requests {
			attempts += len(req.attempts)
			for _, attempt := range req.attempts {
				if attempt.CrossZone {
					crossings++
				}
			}
		}
		switch last.Outcome {
		case Served:
			m.Served++
			latencies.RecordValue(max(1, took.Microseconds()))
			if inAim {
				m.InAim++
			} else {
				m.Late++
			}
		case Refused:
			m.Refused++
		case NotAccepted:
			m.NotTaken++
		case ClientLeft:
			m.Left++
		default:
			m.Failed++
		}
	}
	n := float64(max(1, m.Calls))
	for _, share := range []*float64{&m.InAim, &m.Served, &m.Refused, &m.Failed, &m.NotTaken, &m.Late, &m.Left} {
		*share /= n
	}
	m.Worth, m.Cold = earned/max(asked, 1e-9), a.slowStartLoad
	m.Attempts, m.Crossings = float64(attempts)/n, float64(crossings)/float64(max(1, attempts))
	for i := range seconds {
		k := float64(max(1, seconds[i].Calls))
		seconds[i].InAim, seconds[i].Failed = seconds[i].InAim/k, seconds[i].Failed/k
	}
	m.BySecond = seconds
	at := func(q float64) time.Duration { return time.Duration(latencies.ValueAtQuantile(q)) * time.Microsecond }
	m.P50, m.P90, m.P99, m.P999 = at(50), at(90), at(99), at(99.9)
	a.addLoadMetrics(&m, from, to, capacity)
	if text, err := latencies.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err == nil {
		m.Latency = text
	}
	m.Spread.Counts = make([]int, len(capacity))
	for _, r := range a.arrivals {
		if r.at >= from && r.at < to {
			m.Spread.Counts[r.index]++
		}
	}
	m.Spread.Windows = map[string]Window{}
	for _, w := range windows {
		if to-from >= w.len {
			m.Spread.Windows[w.name] = a.compareWindows(from, to, w.len, capacity)
		}
	}
	m.Spread.LongestIdle = a.longestIdle(from, to, len(capacity))
	return m
}

// addLoadMetrics computes the metrics that are based on samples.
func (a *Audit) addLoadMetrics(m *Metrics, from, to time.Duration, capacity []Capacity) {
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
		m.addPoint(s.At, float64(busy)/float64(slots), float64(wait)/float64(slots), float64(min(free, wait))/float64(slots))
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
	m.Utilisation, m.Waiting = working/n, waiting/n
	m.Spread.Variation, m.Spread.IdleWhileQueued = variation/n, idle/n
	m.Connections, m.MostConns = conns/n, most/n
}

// addPoint adds a sample to the point of its 100 ms interval.
func (f *Metrics) addPoint(at time.Duration, working, waiting, idle float64) {
	at = at.Truncate(100 * time.Millisecond)
	if k := len(f.Series) - 1; k >= 0 && f.Series[k].At == at {
		p := &f.Series[k] // this average favors later samples, which is sufficient for a chart
		p.Working, p.Waiting, p.Idle = (p.Working+working)/2, (p.Waiting+waiting)/2, (p.Idle+idle)/2
		return
	}
	f.Series = append(f.Series, Point{at, working, waiting, idle})
}

// compareWindows compares the servers by the requests that they received within windows of the given length.
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
			expected := total * part
			high, low := chanceBounds(total, part, 0.025/float64(len(capacity)))
			most, least = max(most, v/expected), min(least, v/expected)
			highest, lowest = max(highest, high/expected), min(lowest, low/expected)
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

// chanceBounds returns the bounds on how many of n requests a server selected with probability p receives. Each bound is
// exceeded with at most the given probability.
func chanceBounds(n, p, probability float64) (high, low float64) {
	b := distuv.Binomial{N: n, P: p}
	mean, dev := n*p, math.Sqrt(n*p*(1-p))
	high, low = mean, mean
	step := max(1, math.Floor(dev/8))
	for high < n && b.Survival(math.Floor(high)) > probability {
		high += step
	}
	for low > 0 && b.CDF(math.Ceil(low)-1) > probability {
		low -= step
	}
	return math.Floor(high), max(0, math.Ceil(low))
}

// longestIdle returns the longest time that a server which was up received no request.
func (a *Audit) longestIdle(from, to time.Duration, places int) (longest time.Duration) {
	last := make([]time.Duration, places)
	for i := range last {
		last[i] = from
	}
	for _, s := range a.samples { // the idle time of a server that is down restarts
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
