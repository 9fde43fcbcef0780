package federation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run records the execution of a request by a server.
type Run struct {
	ID, Key, Class, Path, Server string
	Partner                      int
	At                           time.Duration
	Dropped                      bool // duplicate of its idempotency key; not executed
}

// Outcome is the result of one attempt of a client.
type Outcome struct {
	Request    string // identifies the request across attempts: its key, or the ID of its first attempt
	ID         string // of this attempt
	Gateway    string
	Status     int // 0 if the connection broke or no response arrived
	Settled    bool
	Body       string
	Error      string // error text, if the attempt failed
	NotSent    bool   // the connection was not established
	RetryAfter time.Duration
	At         time.Duration
	Latency    time.Duration
}

// Auditor compares the runs of servers with the outcomes seen by clients.
type Auditor struct {
	mu        sync.Mutex
	runs      map[string][]Run // by idempotency key, or by the ID of the first attempt
	originals map[string]string
	outcomes  map[string][]Outcome
	cells     map[[2]int]*cell
	holds     map[string]*hold
	rules     []rule
	allRuns   []Run
}

type hold struct {
	received chan string
	release  chan struct{}
}

// rule forbids a partner's servers to run some requests from a point in time on.
type rule struct {
	from    time.Duration
	partner int // whose servers must not run them
	reason  string
	forbids func(Run) bool
}

func newAuditor() *Auditor {
	return &Auditor{runs: map[string][]Run{}, originals: map[string]string{}, outcomes: map[string][]Outcome{}, cells: map[[2]int]*cell{}, holds: map[string]*hold{}}
}

func (a *Auditor) cellOf(partner, n int) *cell {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := [2]int{partner, n}
	if a.cells[k] == nil {
		a.cells[k] = &cell{responses: map[string]string{}, inProgress: map[string]chan struct{}{}}
	}
	return a.cells[k]
}

// recordRun records a run and returns the number of runs of its request so far.
func (a *Auditor) recordRun(r Run) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := r.Key
	if k == "" {
		k = r.ID
		if first := a.originals[r.ID]; first != "" {
			k = first
		}
	}
	a.runs[k] = append(a.runs[k], r)
	a.allRuns = append(a.allRuns, r)
	return len(a.runs[k])
}

// Runs returns the runs of a request, given the ID of its first attempt or its key.
func (a *Auditor) Runs(request string) []Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.runs[request])
}

// Hold makes servers delay the request with the given ID until release is called. Each server that receives it sends its name on
// received.
func (a *Auditor) Hold(id string) (got <-chan string, release func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := &hold{make(chan string, 16), make(chan struct{})}
	a.holds[id] = h
	return h.received, sync.OnceFunc(func() {
		a.mu.Lock()
		delete(a.holds, id)
		a.mu.Unlock()
		close(h.release)
	})
}

func (a *Auditor) holdFor(id string) *hold {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holds[id]
}

// recordOriginal records that an attempt belongs to an earlier request.
func (a *Auditor) recordOriginal(id, first string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.originals[id] = first
}

func (a *Auditor) recordOutcome(h Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outcomes[h.Request] = append(a.outcomes[h.Request], h)
}

// Forbid adds a rule: from the given time on, a partner's servers must not start the requests that forbids matches.
func (a *Auditor) Forbid(from time.Duration, partner int, words string, forbids func(Run) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rules = append(a.rules, rule{from, partner, words, forbids})
}

// Breaches returns all violations: an unsafe request or a key that was executed twice, different settled responses to the same
// request, a settled success that no server produced, and a request that a rule forbids.
func (a *Auditor) Breaches() (out []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for request, runs := range a.runs {
		done := 0
		for _, r := range runs {
			if !r.Dropped {
				done++
			}
		}
		if runs[0].Class != "view" && done > 1 {
			report("%s: the %s request ran %d times: %s; outcomes: %s", request, runs[0].Class, done, summarize(runs), summarize(a.outcomes[request]))
		}
		for _, r := range runs {
			for _, f := range a.rules {
				if r.Partner == f.partner && r.At >= f.from && f.forbids(r) {
					report("%s: ran at %s at %v: %s", request, r.Server, r.At, f.reason)
				}
			}
		}
	}
	for request, all := range a.outcomes {
		first := -1
		for i, h := range all {
			if !h.Settled || h.Status == 503 {
				continue // a rejected request may be sent as a new one
			}
			if first < 0 {
				first = i
			}
			if h.Status != all[first].Status || h.Status == 200 && h.Body != all[first].Body {
				report("%s: settled responses differ: %d %q at %s, %d %q at %s", request, all[first].Status, all[first].Body, all[first].Gateway, h.Status, h.Body, h.Gateway)
			}
			if h.Status == 200 && !slices.ContainsFunc(a.runs[request], func(r Run) bool { return strings.HasPrefix(h.Body, r.Server+" ran ") }) {
				report("%s: response %q at %s was not produced by any server", request, h.Body, h.Gateway)
			}
		}
	}
	slices.Sort(out)
	return out
}

// summarize formats the first few elements of a list and the last one.
func summarize[T any](list []T) string {
	const first = 12
	if len(list) <= first+1 {
		return fmt.Sprintf("%+v", list)
	}
	return fmt.Sprintf("%+v ... %d more ... %+v", list[:first], len(list)-first-1, list[len(list)-1])
}

// CountRuns returns the number of runs of a class that started in [from, to).
func (a *Auditor) CountRuns(class string, from, to time.Duration) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.allRuns {
		if r.Class == class && r.At >= from && r.At < to {
			n++
		}
	}
	return n
}

// MaxInWindow returns the maximum number of runs of a class that started within any window of the given length, and the start of
// that window.
func (a *Auditor) MaxInWindow(class string, window time.Duration) (most int, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var times []time.Duration
	for _, r := range a.allRuns {
		if r.Class == class {
			times = append(times, r.At)
		}
	}
	slices.SortFunc(times, func(x, y time.Duration) int { return cmp.Compare(x, y) })
	from := 0
	for i, t := range times {
		for t-times[from] > window {
			from++
		}
		if i-from+1 > most {
			most, at = i-from+1, times[from]
		}
	}
	return most, at
}
