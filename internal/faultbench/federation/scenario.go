package federation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"damsontrestle/internal/faultbench/link"
	"damsontrestle/internal/quota"
)

// Scenario describes the load and the faults of a run.
type Scenario struct {
	Name           string
	Fault          string        // one of Faults
	FaultInterval  time.Duration // between faults
	FaultDuration  time.Duration // of each fault
	Duration       time.Duration
	Rate           float64 // requests per second and gateway
	RemoteShare    float64 // share of requests for another partner
	LoadImbalance  float64 // relative excess of load at odd-numbered partners (first, third, ...), and deficit at the others
	RequestTimeout time.Duration
	AttemptTimeout time.Duration // time without a response after which a client tries another gateway
	Seed           uint64
	NotesBound     func(window time.Duration) float64 // maximum number of notes in a window; nil if there is no quota
}

// Faults lists the values of Scenario.Fault.
var Faults = []string{"none", "kill", "stop", "cut", "one-way", "stall", "keeper", "rules"}

// Figures holds the results of a scenario.
type Figures struct {
	Calls, Served, Refused, Failed, Unanswered int
	FailedBy                                   map[string]int // by class, whether the failure was settled, and whether it was for another partner
	Struck                                     int            // number of faults
	// Requests in progress at a gateway when it was killed or stopped, with at least 1 s left.
	InHand, InHandServed int
	MayRepeat, MayServed int           // those of them that may be retried: safe and keyed requests
	Takeover             time.Duration // median time from the fault to the response at another gateway
	P50, P99             time.Duration
	P99Apart             time.Duration // of requests that neither arrived at a stalled gateway nor went to its partner
	Agree                time.Duration // longest time until the route tables of each partner agreed after a fault or a change
	Disagreed            int           // number of times that this took more than 2 s
	MostIn1s, MostIn10s  int           // notes
	Over                 float64       // maximum ratio of the notes in a window to the quota's bound
	Breaches             []string
	Late                 time.Duration // maximum delay of a request after its scheduled time
	Purses               quota.Counts  // sum over all gateways that run at the end
	Notes                float64       // started per second
}

// openRequest is a request whose client waits for a response.
type openRequest struct {
	class           string
	deadline        time.Time
	gateway         *Gateway
	struckAt        time.Time // time of the fault at its gateway
	affectedByStall bool      // a stalled gateway was, or may have been, on its path
}

// Play runs a scenario on a started federation.
func (l *Federation) Play(ctx context.Context, scenario Scenario) *Figures {
	figures := &Figures{}
	var (
		mu                  sync.Mutex
		requests            = map[string]*openRequest{}
		latencies           []time.Duration
		unaffectedLatencies []time.Duration
		stalledGateway      *Gateway // currently stalled, or nil
		takeovers           []time.Duration
		pending             sync.WaitGroup
	)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin := time.Now()
	markAffected := func(g *Gateway) {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		for _, req := range requests {
			if req.gateway == g && req.struckAt.IsZero() && req.deadline.Sub(now) >= time.Second {
				req.struckAt = now
				figures.InHand++
				if req.class != "note" {
					figures.MayRepeat++
				}
			}
		}
	}
	runRequest := func(rng *rand.Rand, g *Gateway, id string) {
		defer pending.Done()
		req := Request{ID: id, Timeout: scenario.RequestTimeout, AttemptTimeout: scenario.AttemptTimeout}
		switch x := rng.Float64(); {
		case x < 0.4:
			req.Class = "view"
		case x < 0.7:
			req.Class = "note"
		default:
			req.Class, req.Key = "log", "key-"+id
		}
		to := g.Partner
		if rng.Float64() < scenario.RemoteShare {
			to = (to + 1 + rng.IntN(l.options.Partners-1)) % l.options.Partners
		}
		req.Path = PartnerName(to) + "/x"
		open := &openRequest{class: req.Class, deadline: time.Now().Add(scenario.RequestTimeout), gateway: g}
		needsStalled := func() bool {
			return stalledGateway != nil && (stalledGateway == g || to != g.Partner && to == stalledGateway.Partner)
		}
		mu.Lock()
		requests[id] = open
		open.affectedByStall = needsStalled()
		mu.Unlock()
		sent := time.Now()
		var outcome Outcome
		if l.options.Custody != "" {
			outcome, _ = l.SendWithRetry(ctx, g, req)
		} else {
			outcome = l.sendUnreplicated(ctx, g, req)
		}
		mu.Lock()
		defer mu.Unlock()
		delete(requests, id)
		if ctx.Err() != nil {
			return
		}
		figures.Calls++
		inTime := outcome.Status == 200 && time.Since(sent) <= scenario.RequestTimeout+50*time.Millisecond
		switch {
		case inTime:
			figures.Served++
			latencies = append(latencies, time.Since(sent))
			if !open.affectedByStall && !needsStalled() {
				unaffectedLatencies = append(unaffectedLatencies, time.Since(sent))
			}
		case outcome.Status == 503:
			figures.Refused++
		case outcome.Status != 0:
			figures.Failed++
			if figures.FailedBy == nil {
				figures.FailedBy = map[string]int{}
			}
			by := req.Class
			if outcome.Settled {
				by += " settled"
			}
			if to != g.Partner {
				by += " away"
			}
			figures.FailedBy[by]++
		default:
			figures.Unanswered++
		}
		if !open.struckAt.IsZero() {
			if inTime {
				figures.InHandServed++
				if req.Class != "note" {
					figures.MayServed++
				}
				if outcome.Gateway != g.Name {
					takeovers = append(takeovers, time.Since(open.struckAt))
				}
			}
		}
	}
	var streams sync.WaitGroup
	for i, g := range l.Gateways {
		streams.Add(1)
		go func() {
			defer streams.Done()
			rng := rand.New(rand.NewPCG(scenario.Seed, uint64(i)))
			rate := scenario.Rate * (1 + scenario.LoadImbalance)
			if g.Partner%2 == 1 {
				rate = scenario.Rate * (1 - scenario.LoadImbalance)
			}
			due := begin
			for n := 0; ; n++ {
				due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				if due.Sub(begin) > scenario.Duration {
					return
				}
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Until(due)):
				}
				mu.Lock()
				figures.Late = max(figures.Late, time.Since(due))
				mu.Unlock()
				pending.Add(1)
				go runRequest(rand.New(rand.NewPCG(scenario.Seed+uint64(n)<<20, uint64(i))), g, fmt.Sprintf("%s-%d-%d", PartnerName(g.Partner), i, n))
			}
		}()
	}
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		l.injectFaults(ctx, scenario, begin, figures, markAffected, func(g *Gateway) {
			mu.Lock()
			defer mu.Unlock()
			stalledGateway = g
		})
	}()
	streams.Wait()
	<-faults
	pending.Wait()
	slices.Sort(latencies)
	slices.Sort(takeovers)
	if n := len(latencies); n > 0 {
		figures.P50, figures.P99 = latencies[n/2], latencies[n*99/100]
	}
	slices.Sort(unaffectedLatencies)
	if n := len(unaffectedLatencies); n > 0 {
		figures.P99Apart = unaffectedLatencies[n*99/100]
	}
	if n := len(takeovers); n > 0 {
		figures.Takeover = takeovers[n/2]
	}
	for _, g := range l.Gateways {
		req := g.QuotaStatus(ctx).Counts
		figures.Purses.Drawn, figures.Purses.Rejected, figures.Purses.OwnFloor = figures.Purses.Drawn+req.Drawn, figures.Purses.Rejected+req.Rejected, figures.Purses.OwnFloor+req.OwnFloor
		figures.Purses.Wasted, figures.Purses.Granted, figures.Purses.OnTimeRetries = figures.Purses.Wasted+req.Wasted, figures.Purses.Granted+req.Granted, figures.Purses.OnTimeRetries+req.OnTimeRetries
	}
	figures.Notes = float64(l.Auditor.CountRuns("note", begin.Sub(l.startTime), begin.Sub(l.startTime)+scenario.Duration)) / scenario.Duration.Seconds()
	figures.MostIn1s, _ = l.Auditor.MaxInWindow("note", time.Second)
	figures.MostIn10s, _ = l.Auditor.MaxInWindow("note", 10*time.Second)
	if scenario.NotesBound != nil {
		for w, most := range map[time.Duration]int{time.Second: figures.MostIn1s, 10 * time.Second: figures.MostIn10s} {
			// A request reaches its server shortly after its quota draw, so the window of draws may be longer by that delay.
			figures.Over = max(figures.Over, float64(most)/scenario.NotesBound(w+figures.P99))
		}
	}
	figures.Breaches = l.Auditor.Breaches()
	return figures
}

// sendUnreplicated is the client's retry loop without replication: it retries at other gateways only requests that were rejected, or
// that got no response and are not unsafe.
func (l *Federation) sendUnreplicated(ctx context.Context, gateway *Gateway, req Request) Outcome {
	group := l.PartnerGateways(gateway.Partner)
	deadline := time.Now().Add(req.Timeout)
	first, i := req.ID, gateway.Index
	for attempt := 1; ; attempt++ {
		req.Timeout = time.Until(deadline)
		outcome := l.Send(ctx, group[i%len(group)], req)
		retry := outcome.Status == 503 || outcome.Status == 0 && req.Class != "note"
		if !retry || time.Until(deadline) < 20*time.Millisecond || ctx.Err() != nil {
			return outcome
		}
		time.Sleep(max(outcome.RetryAfter, 5*time.Millisecond))
		req.RetryOf, req.OmitRetryOf, req.ID = first, true, fmt.Sprintf("%s-%d", first, attempt)
		i++
	}
}

// injectFaults injects faults until the scenario ends.
func (l *Federation) injectFaults(ctx context.Context, scenario Scenario, begin time.Time, figures *Figures, markAffected, setStalled func(*Gateway)) {
	if scenario.Fault == "none" {
		return
	}
	rng := rand.New(rand.NewPCG(scenario.Seed, 1<<40))
	var recoveries sync.WaitGroup
	defer recoveries.Wait()
	down := map[*Gateway]bool{}
	var mu sync.Mutex
	pause := func(t time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(t):
			return true
		}
	}
	pick := func() *Gateway {
		mu.Lock()
		defer mu.Unlock()
		for range 100 {
			if g := l.Gateways[rng.IntN(len(l.Gateways))]; !down[g] {
				down[g] = true
				return g
			}
		}
		return nil
	}
	markUp := func(g *Gateway) {
		mu.Lock()
		defer mu.Unlock()
		delete(down, g)
	}
	for n := 0; time.Since(begin) < scenario.Duration-scenario.FaultDuration; n++ {
		if !pause(scenario.FaultInterval) {
			return
		}
		figures.Struck++
		switch scenario.Fault {
		case "kill", "keeper":
			g := pick()
			if scenario.Fault == "keeper" {
				for _, k := range l.Gateways {
					if k.QuotaStatus(ctx).IsLeader {
						markUp(g)
						g = k
					}
				}
			}
			if g == nil {
				continue
			}
			markAffected(g)
			g.Kill()
			recoveries.Add(1)
			go func() {
				defer recoveries.Done()
				defer markUp(g)
				if pause(scenario.FaultDuration) {
					if err := g.Start(ctx); err != nil && ctx.Err() == nil {
						l.options.Log("%v", err)
					}
				}
			}()
		case "stop":
			g := pick()
			if g == nil {
				continue
			}
			markAffected(g)
			g.Signal(syscall.SIGSTOP)
			recoveries.Add(1)
			go func() {
				defer recoveries.Done()
				defer markUp(g)
				pause(scenario.FaultDuration)
				g.Signal(syscall.SIGCONT)
			}()
		case "cut", "one-way":
			p := n % l.options.Partners
			heal := l.Cut(l.PartnerGateways(p), l.GatewaysExcept(l.PartnerGateways(p)...), scenario.Fault == "cut")
			pause(scenario.FaultDuration)
			heal()
			l.awaitAgreement(ctx, figures)
		case "stall":
			g := pick()
			setStalled(g)
			for _, o := range l.GatewaysExcept(g) {
				l.SetShape(o, g, link.Shape{Bandwidth: 20})
			}
			pause(scenario.FaultDuration)
			setStalled(nil)
			for _, o := range l.GatewaysExcept(g) {
				l.SetShape(o, g, link.Shape{})
			}
			markUp(g)
		case "rules":
			p := n % l.options.Partners
			excluded := (p + 1) % l.options.Partners
			var to []string
			for q := range l.options.Partners {
				if q != p && q != excluded {
					to = append(to, fmt.Sprintf("%q", PartnerName(q)))
				}
			}
			oldRule := fmt.Sprintf("path = \"/note/%s/\"\n all = true", PartnerName(p))
			newRule := fmt.Sprintf("path = \"/note/%s/\"\n to = [%s]", PartnerName(p), strings.Join(to, ", "))
			l.reconfigure(ctx, l.PartnerGateways(p), func(text string) string { return strings.Replace(text, oldRule, newRule, 1) })
			from := l.elapsed()
			end := make(chan struct{})
			l.Auditor.Forbid(from, p, fmt.Sprintf("%s no longer exports it to %s", PartnerName(p), PartnerName(excluded)), func(r Run) bool {
				select {
				case <-end:
					return false
				default:
				}
				return r.Class == "note" && strings.HasPrefix(r.ID, PartnerName(excluded)+"-") && r.At > from+200*time.Millisecond
			})
			l.awaitAgreement(ctx, figures)
			pause(scenario.FaultDuration)
			runs := l.Auditor.Breaches()
			close(end)
			figures.Breaches = append(figures.Breaches, runs...)
			l.reconfigure(ctx, l.PartnerGateways(p), func(text string) string { return text })
			l.awaitAgreement(ctx, figures)
		}
	}
}

// reconfigure edits the files of some gateways concurrently.
func (l *Federation) reconfigure(ctx context.Context, some []*Gateway, edit func(string) string) {
	var all sync.WaitGroup
	for _, g := range some {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := g.Reconfigure(ctx, edit); err != nil && ctx.Err() == nil {
				l.options.Log("%v", err)
			}
		}()
	}
	all.Wait()
}

// awaitAgreement waits up to 10 s until all gateways of each partner use the same route table, and records how long that took.
func (l *Federation) awaitAgreement(ctx context.Context, figures *Figures) {
	begin := time.Now()
	for ctx.Err() == nil && time.Since(begin) < 10*time.Second {
		digests := map[int]map[uint64]bool{}
		var mu sync.Mutex
		var all sync.WaitGroup
		for _, g := range l.Gateways {
			all.Add(1)
			go func() {
				defer all.Done()
				if s := g.Status(ctx); s.Partner != "" {
					mu.Lock()
					defer mu.Unlock()
					if digests[g.Partner] == nil {
						digests[g.Partner] = map[uint64]bool{}
					}
					digests[g.Partner][s.Routes.Digest] = true
				}
			}()
		}
		all.Wait()
		if !slices.ContainsFunc(slices.Collect(func(yield func(int) bool) {
			for _, m := range digests {
				if !yield(len(m)) {
					return
				}
			}
		}), func(n int) bool { return n != 1 }) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(begin)
	figures.Agree = max(figures.Agree, took)
	if took > 2*time.Second {
		figures.Disagreed++
	}
}

// Line formats the figures as one line of text.
func (f *Figures) Line() string {
	share := func(a, b int) string {
		if b == 0 {
			return "-"
		}
		return fmt.Sprintf("%.3f", float64(a)/float64(b))
	}
	return fmt.Sprintf("served %s of %d (refused %d, failed %d %v, unanswered %d); %d faults; in progress at a fault %d, served %s, of the retryable ones %s; takeover %v; p50 %v, p99 %v, unaffected by stalls %v; route tables agreed after %v (%d times more than 2 s); notes %.1f per second, %d in 1 s, %d in 10 s, %.2f of the bound, tokens drawn %d of %d granted, %d wasted, %d of %d rejected retried on time; sent late by up to %v; %d breaches",
		share(f.Served, f.Calls), f.Calls, f.Refused, f.Failed, f.FailedBy, f.Unanswered, f.Struck, f.InHand, share(f.InHandServed, f.InHand), share(f.MayServed, f.MayRepeat),
		f.Takeover.Round(time.Millisecond), f.P50.Round(100*time.Microsecond), f.P99.Round(time.Millisecond), f.P99Apart.Round(time.Millisecond), f.Agree.Round(10*time.Millisecond), f.Disagreed,
		f.Notes, f.MostIn1s, f.MostIn10s, f.Over, f.Purses.Drawn, f.Purses.Granted, f.Purses.Wasted, f.Purses.OnTimeRetries, f.Purses.Rejected, f.Late.Round(time.Millisecond), len(f.Breaches))
}
