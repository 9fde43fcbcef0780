package testpeer

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Outcome is the outcome of a request as its client saw it.
type Outcome int

// Outcomes of requests.
const (
	OutcomeServed Outcome = iota
	OutcomeRefused
	OutcomeFailed
	OutcomeNoResponse // the connection failed, or ended without a response
	OutcomeInvalid    // timeout, unexpected status or body, or a refusal without Retry-After
)

// Audit compares the outcomes that clients saw with the requests that servers ran.
type Audit struct {
	mu         sync.Mutex
	outcomes   map[string][]Outcome
	unsafeIDs  map[string]bool // IDs of requests that must not run twice
	violations []string
	latencies  []time.Duration
}

// NewAudit returns an empty Audit.
func NewAudit() *Audit { return &Audit{outcomes: map[string][]Outcome{}, unsafeIDs: map[string]bool{}} }

func (a *Audit) record(id string, unsafe bool, outcome Outcome, latency time.Duration, violation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outcomes[id] = append(a.outcomes[id], outcome)
	if unsafe {
		a.unsafeIDs[id] = true
	}
	if outcome == OutcomeInvalid {
		a.violations = append(a.violations, violation)
	}
	if outcome == OutcomeServed {
		a.latencies = append(a.latencies, latency)
	}
}

// AuditResult holds the totals and rule violations that an Audit found.
type AuditResult struct {
	Requests, Served, Refused, Failed, NoResponse int
	Violations                                    []string // descriptions of broken rules
	Latencies                                     []time.Duration
}

// Outcomes returns the totals of what clients saw, without comparing them with what servers ran.
func (a *Audit) Outcomes() AuditResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tally()
}

// tally counts the outcomes that clients saw. The caller holds mu.
func (a *Audit) tally() (result AuditResult) {
	result.Violations = append(result.Violations, a.violations...)
	result.Latencies = append(result.Latencies, a.latencies...)
	for _, outcomes := range a.outcomes {
		result.Requests++
		switch outcomes[0] {
		case OutcomeServed:
			result.Served++
		case OutcomeRefused:
			result.Refused++
		case OutcomeFailed:
			result.Failed++
		case OutcomeNoResponse:
			result.NoResponse++
		}
	}
	return result
}

// Check compares the outcomes that clients saw with what servers ran. Each request must have exactly one outcome, a
// served request must have run, a refused one must not have run if it is unsafe, one without a response must not have
// run at all, no unsafe request may have run twice, and servers must not have run a request that no client sent.
func (a *Audit) Check(servers ...*FaultyServer) AuditResult {
	ran := map[string]int{}
	for _, server := range servers {
		for id, runs := range server.Ran() {
			ran[id] += runs
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	result := a.tally()
	addViolation := func(format string, args ...any) {
		result.Violations = append(result.Violations, fmt.Sprintf(format, args...))
	}
	for id, outcomes := range a.outcomes {
		runs := ran[id]
		switch {
		case len(outcomes) != 1:
			addViolation("%s has %d outcomes, want 1", id, len(outcomes))
		case outcomes[0] == OutcomeServed && runs == 0:
			addViolation("%s was served but no server ran it", id)
		case outcomes[0] == OutcomeRefused && a.unsafeIDs[id] && runs > 0:
			addViolation("%s is unsafe and was refused although it ran", id)
		case outcomes[0] == OutcomeNoResponse && runs > 0:
			addViolation("%s ran but its client got no response", id)
		}
		if a.unsafeIDs[id] && runs > 1 {
			addViolation("%s ran %d times", id, runs)
		}
	}
	for id := range ran {
		if a.outcomes[id] == nil {
			addViolation("%s ran but no client sent it", id)
		}
	}
	return result
}

// Load generates load: each client sends safe and unsafe requests, one at a time on a persistent connection, until the
// context of Run ends. Outcomes are recorded in Audit.
type Load struct {
	Audit       *Audit
	Clients     int
	Addresses   func() []string // current listener addresses
	UnsafeShare float64         // share of requests that are unsafe: they must not run twice
	Deadline    time.Duration
	Pause       time.Duration // mean pause between the requests of one client
	Seed        uint64
	IDPrefix    string
	SafeClass   string // class of requests that may be repeated; view if empty
	UnsafeClass string // class of requests that must not be repeated; note if empty
}

// SendOne sends one safe request and returns the status and body of its response.
func (l Load) SendOne() (string, error) {
	nc, err := net.Dial("tcp", l.Addresses()[0])
	if err != nil {
		return "", err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(l.Deadline + 10*time.Second))
	conn := &ClientConn{nc, bufio.NewReader(nc)}
	conn.Send("GET", "/"+cmp.Or(l.SafeClass, "view")+"/k", fmt.Sprintf("%sone-%d", l.IDPrefix, time.Now().UnixNano()), "", fmt.Sprint(l.Deadline.Seconds()))
	response, err := http.ReadResponse(conn.Reader, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s\n%s\n", response.Status, body), nil
}

// Run runs the clients until ctx ends, and returns once each has the outcome of its last request.
func (l Load) Run(ctx context.Context) {
	var all sync.WaitGroup
	for i := range l.Clients {
		all.Add(1)
		go func() {
			defer all.Done()
			l.runClient(ctx, i)
		}()
	}
	all.Wait()
}

func (l Load) runClient(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(l.Seed, uint64(n)))
	var conn *ClientConn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for sequence := 0; ctx.Err() == nil; sequence++ {
		id := fmt.Sprintf("%s%d-%d", l.IDPrefix, n, sequence)
		unsafe := rng.Float64() < l.UnsafeShare
		start := time.Now()
		outcome, violation := OutcomeNoResponse, ""
		// A persistent connection may be closed between requests: a request that got no response on a reused
		// connection is sent again on a new one.
		for reused := conn != nil; ; reused = false {
			if conn == nil {
				addresses := l.Addresses()
				nc, err := net.Dial("tcp", addresses[rng.IntN(len(addresses))])
				if err != nil {
					break
				}
				conn = &ClientConn{nc, bufio.NewReader(nc)}
			}
			var reusable bool
			if outcome, violation, reusable = l.send(conn, id, unsafe); !reusable {
				conn.Close()
				conn = nil
			}
			if outcome != OutcomeNoResponse || !reused {
				break
			}
		}
		l.Audit.record(id, unsafe, outcome, time.Since(start), violation)
		if l.Pause > 0 {
			time.Sleep(time.Duration(rng.Float64() * 2 * float64(l.Pause)))
		}
	}
}

// send sends a request and returns its outcome, the description of an invalid one, and whether the connection can be
// reused.
func (l Load) send(conn *ClientConn, id string, unsafe bool) (outcome Outcome, violation string, reusable bool) {
	conn.SetDeadline(time.Now().Add(l.Deadline + 10*time.Second))
	method, target, body := "GET", "/"+cmp.Or(l.SafeClass, "view")+"/k", ""
	if unsafe {
		method, target, body = "POST", "/"+cmp.Or(l.UnsafeClass, "note")+"/k", "body of "+id
	}
	conn.Send(method, target, id, body, fmt.Sprint(l.Deadline.Seconds()))
	response, err := http.ReadResponse(conn.Reader, nil)
	if err != nil {
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return OutcomeInvalid, id + ": no response before the read deadline", false
		}
		return OutcomeNoResponse, "", false
	}
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return OutcomeFailed, "", false
	}
	switch {
	case response.StatusCode == 200 && strings.HasSuffix(string(responseBody), " "+id):
		return OutcomeServed, "", !response.Close
	case response.StatusCode == 200:
		return OutcomeInvalid, fmt.Sprintf("%s: status 200 with body %.40q", id, responseBody), false
	case response.StatusCode == 503 || response.StatusCode == 429:
		if response.Header.Get("Retry-After") == "" {
			return OutcomeInvalid, id + ": refused without a Retry-After header", false
		}
		return OutcomeRefused, "", !response.Close
	case response.StatusCode >= 500:
		return OutcomeFailed, "", !response.Close
	}
	return OutcomeInvalid, fmt.Sprintf("%s: unexpected status %d with body %.60q", id, response.StatusCode, responseBody), false
}
