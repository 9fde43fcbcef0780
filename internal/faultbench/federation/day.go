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

// Day is what a league is put through.
type Day struct {
	Name     string
	Fault    string        // none, kill, stop, cut, one-way, stall, quota leader, rules
	Every    time.Duration // between two faults
	For      time.Duration // that each lasts
	Length   time.Duration
	Rate     float64 // requests a second that come to each gateway
	Away     float64 // share of requests for another partner
	Uneven   float64 // by how much more come to the gateways of the first partner, the third and so on, and less to the others'
	Patience time.Duration
	Doubt    time.Duration // after which a client without an answer asks another gateway
	Seed     uint64
	Bound    func(window time.Duration) float64 // of notes; nil: there is no quota
}

// Faults are the kinds of a Day's.
var Faults = []string{"none", "kill", "stop", "cut", "one-way", "stall", "keeper", "rules"}

// Figures are what a day came to.
type Figures struct {
	Calls, Served, Refused, Failed, Unanswered int
	FailedBy                                   map[string]int // by class, and whether it was settled
	Struck                                     int            // faults
	// Requests that a gateway had in hand when it was killed or stopped, with a second left at least.
	InHand, InHandServed int
	MayRepeat, MayServed int           // of them, such as may be sent again: safe and keyed ones
	Takeover             time.Duration // median, from the kill to the answer elsewhere
	P50, P99             time.Duration
	P99Apart             time.Duration // of requests that came neither to a gateway that was stalled nor went to its partner
	Agree                time.Duration // longest until all tables of each partner agreed, after a fault or a change
	Disagreed            int           // times that they did not within 2 s
	MostIn1s, MostIn10s  int           // notes
	Over                 float64       // most notes in a window, against what the terms bound in it
	Breaches             []string
	Late                 time.Duration // most by which a request was sent after it was due
	Purses               quota.Counts  // of all gateways that run at the end together
	Notes                float64       // that began a second
}

// open is a request that a client waits for.
type open struct {
	class string
	until time.Time
	at    *Gateway
	hit   time.Time // when its gateway was struck
	near  bool      // a gateway was stalled that it needed, or might have
}

// Play plays a day on a league that has started.
func (l *League) Play(ctx context.Context, d Day) *Figures {
	f := &Figures{}
	var (
		mu       sync.Mutex
		requests = map[string]*open{}
		tooks    []time.Duration
		apart    []time.Duration
		slow     *Gateway // that is stalled
		taken    []time.Duration
		all      sync.WaitGroup
	)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin := time.Now()
	strike := func(g *Gateway) {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		for _, c := range requests {
			if c.at == g && c.hit.IsZero() && c.until.Sub(now) >= time.Second {
				c.hit = now
				f.InHand++
				if c.class != "note" {
					f.MayRepeat++
				}
			}
		}
	}
	one := func(rng *rand.Rand, g *Gateway, id string) {
		defer all.Done()
		c := Call{ID: id, Wait: d.Patience, Doubt: d.Doubt}
		switch x := rng.Float64(); {
		case x < 0.4:
			c.Class = "view"
		case x < 0.7:
			c.Class = "note"
		default:
			c.Class, c.Key = "log", "key-"+id
		}
		to := g.Partner
		if rng.Float64() < d.Away {
			to = (to + 1 + rng.IntN(l.o.Partners-1)) % l.o.Partners
		}
		c.Path = Name(to) + "/x"
		o := &open{class: c.Class, until: time.Now().Add(d.Patience), at: g}
		near := func() bool { return slow != nil && (slow == g || to != g.Partner && to == slow.Partner) }
		mu.Lock()
		requests[id] = o
		o.near = near()
		mu.Unlock()
		sent := time.Now()
		var h Heard
		if l.o.Custody != "" {
			h, _ = l.Insist(ctx, g, c)
		} else {
			h = l.byThemselves(ctx, g, c)
		}
		mu.Lock()
		defer mu.Unlock()
		delete(requests, id)
		if ctx.Err() != nil {
			return
		}
		f.Calls++
		intime := h.Status == 200 && time.Since(sent) <= d.Patience+50*time.Millisecond
		switch {
		case intime:
			f.Served++
			tooks = append(tooks, time.Since(sent))
			if !o.near && !near() {
				apart = append(apart, time.Since(sent))
			}
		case h.Status == 503:
			f.Refused++
		case h.Status != 0:
			f.Failed++
			if f.FailedBy == nil {
				f.FailedBy = map[string]int{}
			}
			by := c.Class
			if h.Settled {
				by += " settled"
			}
			if to != g.Partner {
				by += " away"
			}
			f.FailedBy[by]++
		default:
			f.Unanswered++
		}
		if !o.hit.IsZero() {
			if intime {
				f.InHandServed++
				if c.Class != "note" {
					f.MayServed++
				}
				if h.Gateway != g.Name {
					taken = append(taken, time.Since(o.hit))
				}
			}
		}
	}
	var streams sync.WaitGroup
	for i, g := range l.Gateways {
		streams.Add(1)
		go func() {
			defer streams.Done()
			rng := rand.New(rand.NewPCG(d.Seed, uint64(i)))
			rate := d.Rate * (1 + d.Uneven)
			if g.Partner%2 == 1 {
				rate = d.Rate * (1 - d.Uneven)
			}
			due := begin
			for n := 0; ; n++ {
				due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				if due.Sub(begin) > d.Length {
					return
				}
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Until(due)):
				}
				mu.Lock()
				f.Late = max(f.Late, time.Since(due))
				mu.Unlock()
				all.Add(1)
				go one(rand.New(rand.NewPCG(d.Seed+uint64(n)<<20, uint64(i))), g, fmt.Sprintf("%s-%d-%d", Name(g.Partner), i, n))
			}
		}()
	}
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		l.faults(ctx, d, begin, f, strike, func(g *Gateway) {
			mu.Lock()
			defer mu.Unlock()
			slow = g
		})
	}()
	streams.Wait()
	<-faults
	all.Wait()
	slices.Sort(tooks)
	slices.Sort(taken)
	if n := len(tooks); n > 0 {
		f.P50, f.P99 = tooks[n/2], tooks[n*99/100]
	}
	slices.Sort(apart)
	if n := len(apart); n > 0 {
		f.P99Apart = apart[n*99/100]
	}
	if n := len(taken); n > 0 {
		f.Takeover = taken[n/2]
	}
	for _, g := range l.Gateways {
		c := g.Notes(ctx).Counts
		f.Purses.Drawn, f.Purses.Rejected, f.Purses.OwnFloor = f.Purses.Drawn+c.Drawn, f.Purses.Rejected+c.Rejected, f.Purses.OwnFloor+c.OwnFloor
		f.Purses.Wasted, f.Purses.Granted, f.Purses.OnTimeRetries = f.Purses.Wasted+c.Wasted, f.Purses.Granted+c.Granted, f.Purses.OnTimeRetries+c.OnTimeRetries
	}
	f.Notes = float64(l.Audit.Count("note", begin.Sub(l.began), begin.Sub(l.began)+d.Length)) / d.Length.Seconds()
	f.MostIn1s, _ = l.Audit.Most("note", time.Second)
	f.MostIn10s, _ = l.Audit.Most("note", 10*time.Second)
	if d.Bound != nil {
		for w, most := range map[time.Duration]int{time.Second: f.MostIn1s, 10 * time.Second: f.MostIn10s} {
			// A request comes to its server a little after its draw: windows of draws may be that much longer.
			f.Over = max(f.Over, float64(most)/d.Bound(w+f.P99))
		}
	}
	f.Breaches = l.Audit.Breaches()
	return f
}

// byThemselves is a client's without replication: it asks another gateway for what is harmless to send again, and for nothing else.
func (l *League) byThemselves(ctx context.Context, at *Gateway, c Call) Heard {
	group := l.Of(at.Partner)
	until := time.Now().Add(c.Wait)
	first, i := c.ID, at.Index
	for try := 1; ; try++ {
		c.Wait = time.Until(until)
		h := l.Ask(ctx, group[i%len(group)], c)
		again := h.Status == 503 || h.Status == 0 && c.Class != "note"
		if !again || time.Until(until) < 20*time.Millisecond || ctx.Err() != nil {
			return h
		}
		time.Sleep(max(h.Retry, 5*time.Millisecond))
		c.Of, c.NoRetry, c.ID = first, true, fmt.Sprintf("%s-%d", first, try)
		i++
	}
}

// faults strikes until the day is over.
func (l *League) faults(ctx context.Context, d Day, begin time.Time, f *Figures, strike, stalled func(*Gateway)) {
	if d.Fault == "none" {
		return
	}
	rng := rand.New(rand.NewPCG(d.Seed, 1<<40))
	var under sync.WaitGroup
	defer under.Wait()
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
	up := func(g *Gateway) {
		mu.Lock()
		defer mu.Unlock()
		delete(down, g)
	}
	for n := 0; time.Since(begin) < d.Length-d.For; n++ {
		if !pause(d.Every) {
			return
		}
		f.Struck++
		switch d.Fault {
		case "kill", "keeper":
			g := pick()
			if d.Fault == "keeper" {
				for _, k := range l.Gateways {
					if k.Notes(ctx).IsLeader {
						up(g)
						g = k
					}
				}
			}
			if g == nil {
				continue
			}
			strike(g)
			g.Kill()
			under.Add(1)
			go func() {
				defer under.Done()
				defer up(g)
				if pause(d.For) {
					if err := g.Start(ctx); err != nil && ctx.Err() == nil {
						l.o.Log("%v", err)
					}
				}
			}()
		case "stop":
			g := pick()
			if g == nil {
				continue
			}
			strike(g)
			g.Signal(syscall.SIGSTOP)
			under.Add(1)
			go func() {
				defer under.Done()
				defer up(g)
				pause(d.For)
				g.Signal(syscall.SIGCONT)
			}()
		case "cut", "one-way":
			p := n % l.o.Partners
			mend := l.Cut(l.Of(p), l.But(l.Of(p)...), d.Fault == "cut")
			pause(d.For)
			mend()
			l.agree(ctx, f)
		case "stall":
			g := pick()
			stalled(g)
			for _, o := range l.But(g) {
				l.Set(o, g, link.Shape{Bandwidth: 20})
			}
			pause(d.For)
			stalled(nil)
			for _, o := range l.But(g) {
				l.Set(o, g, link.Shape{})
			}
			up(g)
		case "rules":
			p := n % l.o.Partners
			out := (p + 1) % l.o.Partners
			var to []string
			for q := range l.o.Partners {
				if q != p && q != out {
					to = append(to, fmt.Sprintf("%q", Name(q)))
				}
			}
			was := fmt.Sprintf("path = \"/note/%s/\"\n all = true", Name(p))
			is := fmt.Sprintf("path = \"/note/%s/\"\n to = [%s]", Name(p), strings.Join(to, ", "))
			l.each(ctx, l.Of(p), func(text string) string { return strings.Replace(text, was, is, 1) })
			from := l.now()
			end := make(chan struct{})
			l.Audit.Forbid(from, p, fmt.Sprintf("%s lets %s have it no more", Name(p), Name(out)), func(r Run) bool {
				select {
				case <-end:
					return false
				default:
				}
				return r.Class == "note" && strings.HasPrefix(r.ID, Name(out)+"-") && r.At > from+200*time.Millisecond
			})
			l.agree(ctx, f)
			pause(d.For)
			runs := l.Audit.Breaches()
			close(end)
			f.Breaches = append(f.Breaches, runs...)
			l.each(ctx, l.Of(p), func(text string) string { return text })
			l.agree(ctx, f)
		}
	}
}

// each changes some gateways' files at once.
func (l *League) each(ctx context.Context, some []*Gateway, edit func(string) string) {
	var all sync.WaitGroup
	for _, g := range some {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := g.Change(ctx, edit); err != nil && ctx.Err() == nil {
				l.o.Log("%v", err)
			}
		}()
	}
	all.Wait()
}

// agree waits until all gateways of each partner act on one table, and notes how long that took.
func (l *League) agree(ctx context.Context, f *Figures) {
	begin := time.Now()
	for ctx.Err() == nil && time.Since(begin) < 10*time.Second {
		digests := map[int]map[uint64]bool{}
		var mu sync.Mutex
		var all sync.WaitGroup
		for _, g := range l.Gateways {
			all.Add(1)
			go func() {
				defer all.Done()
				if s := g.Look(ctx); s.Partner != "" {
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
	f.Agree = max(f.Agree, took)
	if took > 2*time.Second {
		f.Disagreed++
	}
}

// Line is the figures in a row for people.
func (f *Figures) Line() string {
	share := func(a, b int) string {
		if b == 0 {
			return "-"
		}
		return fmt.Sprintf("%.3f", float64(a)/float64(b))
	}
	return fmt.Sprintf("served %s of %d (refused %d, failed %d %v, unanswered %d); %d faults; in hand %d, served %s, of those that may be sent again %s; takeover %v; p50 %v, p99 %v, apart from what was stalled %v; tables agree after %v (%d times not in 2 s); notes %.1f a second, %d in 1 s, %d in 10 s, %.2f of the bound, tokens drawn %d of %d given, %d wasted, %d of %d refused came when they were told; late %v; %d breaches",
		share(f.Served, f.Calls), f.Calls, f.Refused, f.Failed, f.FailedBy, f.Unanswered, f.Struck, f.InHand, share(f.InHandServed, f.InHand), share(f.MayServed, f.MayRepeat),
		f.Takeover.Round(time.Millisecond), f.P50.Round(100*time.Microsecond), f.P99.Round(time.Millisecond), f.P99Apart.Round(time.Millisecond), f.Agree.Round(10*time.Millisecond), f.Disagreed,
		f.Notes, f.MostIn1s, f.MostIn10s, f.Over, f.Purses.Drawn, f.Purses.Granted, f.Purses.Wasted, f.Purses.OnTimeRetries, f.Purses.Rejected, f.Late.Round(time.Millisecond), len(f.Breaches))
}
