package federation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run is a request at a server.
type Run struct {
	ID, Key, Class, Path, Server string
	Partner                      int
	At                           time.Duration
	Dropped                      bool // it was a repeat of its key, and nothing was done
}

// Heard is what a client heard once.
type Outcome struct {
	Request    string // the first id that it was asked for by
	ID         string // of this asking
	Gateway    string
	Status     int // 0: the connection broke, or nothing came
	Settled    bool
	Body       string
	Error      string // of an error
	NotSent    bool   // nobody took it
	RetryAfter time.Duration
	At         time.Duration
	Latency    time.Duration
}

// Audit holds what servers ran against what clients heard.
type Auditor struct {
	mu        sync.Mutex
	runs      map[string][]Run // by what a request is known by: its key, or its first id
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

// rule forbids requests from an instant on.
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

// ran notes a run, and tells how many there were of the request.
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

// Runs are the runs of a request, by its first id or its key.
func (a *Auditor) Runs(request string) []Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.runs[request])
}

// Hold has servers keep the request of an id until release is closed; each server that has it says its name.
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

// asks notes that a request is asked for by another id.
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

// Forbid notes that a partner's servers must not begin some requests from an instant on.
func (a *Auditor) Forbid(from time.Duration, partner int, words string, forbids func(Run) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rules = append(a.rules, rule{from, partner, words, forbids})
}

// Breaches are all that is against the rules: what is unsafe ran twice, a key's work was done twice, two that asked about one
// call heard different settled answers, a settled success that no server ran, a request on a forbidden path.
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
			report("%s: the %s call was run %d times: %s; heard: %s", request, runs[0].Class, done, summarize(runs), summarize(a.outcomes[request]))
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
				continue // what was refused may be asked for anew
			}
			if first < 0 {
				first = i
			}
			if h.Status != all[first].Status || h.Status == 200 && h.Body != all[first].Body {
				report("%s: one heard %d %q at %s, another %d %q at %s", request, all[first].Status, all[first].Body, all[first].Gateway, h.Status, h.Body, h.Gateway)
			}
			if h.Status == 200 && !slices.ContainsFunc(a.runs[request], func(r Run) bool { return strings.HasPrefix(h.Body, r.Server+" ran ") }) {
				report("%s: heard %q at %s, which no box made", request, h.Body, h.Gateway)
			}
		}
	}
	slices.Sort(out)
	return out
}

// some are the first few of a list and the last one, for people.
func summarize[T any](list []T) string {
	const first = 12
	if len(list) <= first+1 {
		return fmt.Sprintf("%+v", list)
	}
	return fmt.Sprintf("%+v ... %d more ... %+v", list[:first], len(list)-first-1, list[len(list)-1])
}

// Count is how many runs of a class began between two times.
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

// Most is the most runs of a class that began within any window, and when that window began.
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
