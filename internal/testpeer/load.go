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

// Heard is what a client heard of a request.
type Heard int

// What clients hear.
const (
	HeardServed Heard = iota
	HeardRefused
	HeardFailed
	HeardNotTaken // no connection came up, or it ended with nothing said
	HeardWrong    // an answer that is none to this request
)

// Audit compares what clients heard with what servers ran.
type Audit struct {
	mu    sync.Mutex
	heard map[string][]Heard
	notes map[string]bool // ids of requests that must not run twice
	wrong []string
	late  []time.Duration
}

// NewAudit returns an Audit that knows nothing yet.
func NewAudit() *Audit { return &Audit{heard: map[string][]Heard{}, notes: map[string]bool{}} }

func (a *Audit) note(id string, unsafe bool, h Heard, took time.Duration, what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heard[id] = append(a.heard[id], h)
	if unsafe {
		a.notes[id] = true
	}
	if h == HeardWrong {
		a.wrong = append(a.wrong, what)
	}
	if h == HeardServed {
		a.late = append(a.late, took)
	}
}

// Verdict is what an Audit finds.
type Verdict struct {
	Calls, Served, Refused, Failed, NotTaken int
	Wrong                                    []string // what broke a rule, in words
	Times                                    []time.Duration
}

// Heard is what clients heard, with no look at what servers ran.
func (a *Audit) Heard() Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tally()
}

// tally counts what clients heard. The caller holds mu.
func (a *Audit) tally() (v Verdict) {
	v.Wrong = append(v.Wrong, a.wrong...)
	v.Times = append(v.Times, a.late...)
	for _, heard := range a.heard {
		v.Calls++
		switch heard[0] {
		case HeardServed:
			v.Served++
		case HeardRefused:
			v.Refused++
		case HeardFailed:
			v.Failed++
		case HeardNotTaken:
			v.NotTaken++
		}
	}
	return v
}

// Judge holds what clients heard against what servers ran: every request was heard of once, what was served ran,
// what was refused or not taken has not run unless it may run again, and nothing unsafe ran twice.
func (a *Audit) Judge(servers ...*Box) Verdict {
	ran := map[string]int{}
	for _, b := range servers {
		for id, n := range b.Ran() {
			ran[id] += n
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.tally()
	fault := func(format string, args ...any) { v.Wrong = append(v.Wrong, fmt.Sprintf(format, args...)) }
	for id, heard := range a.heard {
		n := ran[id]
		switch {
		case len(heard) != 1:
			fault("%s was heard of %d times", id, len(heard))
		case heard[0] == HeardServed && n == 0:
			fault("%s was served and no box ran it", id)
		case heard[0] == HeardRefused && a.notes[id] && n > 0:
			fault("%s was refused though it ran, and must not run twice", id)
		case heard[0] == HeardNotTaken && n > 0:
			fault("%s ran, and its caller heard nothing", id)
		}
		if a.notes[id] && n > 1 {
			fault("%s ran %d times", id, n)
		}
	}
	for id := range ran {
		if a.heard[id] == nil {
			fault("%s ran and nobody asked for it", id)
		}
	}
	return v
}

// Load has clients ask for views and notes until ctx ends, each one request at a time on a connection that it
// keeps, and notes in an Audit what they hear.
type Load struct {
	Audit     *Audit
	Callers   int
	Addresses func() []string // where listeners are now
	Notes     float64         // share of requests that are notes, which must not run twice; the rest are views
	Deadline  time.Duration
	Pause     time.Duration // mean, between the requests of one client
	Seed      uint64
	Prefix    string // of ids
	View      string // class of the requests that may be repeated; empty: view
	Note      string // class of those that may not; empty: note
}

// One sends one view and returns the answer as it came.
func (l Load) One() (string, error) {
	nc, err := net.Dial("tcp", l.Addresses()[0])
	if err != nil {
		return "", err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(l.Deadline + 10*time.Second))
	c := &Caller{nc, bufio.NewReader(nc)}
	c.Send("GET", "/"+cmp.Or(l.View, "view")+"/k", fmt.Sprintf("%sone-%d", l.Prefix, time.Now().UnixNano()), "", fmt.Sprint(l.Deadline.Seconds()))
	r, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s\n%s\n", r.Status, body), nil
}

// Run returns once every client has heard of its last call.
func (l Load) Run(ctx context.Context) {
	var all sync.WaitGroup
	for i := range l.Callers {
		all.Add(1)
		go func() {
			defer all.Done()
			l.caller(ctx, i)
		}()
	}
	all.Wait()
}

func (l Load) caller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(l.Seed, uint64(n)))
	var c *Caller
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for k := 0; ctx.Err() == nil; k++ {
		id := fmt.Sprintf("%s%d-%d", l.Prefix, n, k)
		unsafe := rng.Float64() < l.Notes
		begin := time.Now()
		h, what := HeardNotTaken, ""
		// A connection may be closed between requests; what crosses that is sent once more on a new one.
		for kept := c != nil; ; kept = false {
			if c == nil {
				addresses := l.Addresses()
				nc, err := net.Dial("tcp", addresses[rng.IntN(len(addresses))])
				if err != nil {
					break
				}
				c = &Caller{nc, bufio.NewReader(nc)}
			}
			var open bool
			if h, what, open = l.ask(c, id, unsafe); !open {
				c.Close()
				c = nil
			}
			if h != HeardNotTaken || !kept {
				break
			}
		}
		l.Audit.note(id, unsafe, h, time.Since(begin), what)
		if l.Pause > 0 {
			time.Sleep(time.Duration(rng.Float64() * 2 * float64(l.Pause)))
		}
	}
}

// ask sends a request and tells what is heard of it, and whether the connection is of further use.
func (l Load) ask(c *Caller, id string, unsafe bool) (h Heard, what string, open bool) {
	c.SetDeadline(time.Now().Add(l.Deadline + 10*time.Second))
	method, target, body := "GET", "/"+cmp.Or(l.View, "view")+"/k", ""
	if unsafe {
		method, target, body = "POST", "/"+cmp.Or(l.Note, "note")+"/k", "body of "+id
	}
	c.Send(method, target, id, body, fmt.Sprint(l.Deadline.Seconds()))
	r, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return HeardWrong, id + ": no answer within its time", false
		}
		return HeardNotTaken, "", false
	}
	got, err := io.ReadAll(r.Body)
	if err != nil {
		return HeardFailed, "", false
	}
	switch {
	case r.StatusCode == 200 && strings.HasSuffix(string(got), " "+id):
		return HeardServed, "", !r.Close
	case r.StatusCode == 200:
		return HeardWrong, fmt.Sprintf("%s: served with %.40q", id, got), false
	case r.StatusCode == 503 || r.StatusCode == 429:
		if r.Header.Get("Retry-After") == "" {
			return HeardWrong, id + ": refused with no word of when to come back", false
		}
		return HeardRefused, "", !r.Close
	case r.StatusCode >= 500:
		return HeardFailed, "", !r.Close
	}
	return HeardWrong, fmt.Sprintf("%s: %d %.60q", id, r.StatusCode, got), false
}
