package federation

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/faultbench/child"
	"damsontrestle/internal/faultbench/link"
	"damsontrestle/internal/testpeer"
)

var program child.Builder

func TestMain(m *testing.M) { program.RunTests(m) }

// startFederation starts nine gateways of three partners, unless the options differ, and waits until they have links and all
// advertisements. When the test ends, it reports all breaches found by the auditor and stops the gateways.
func startFederation(t *testing.T, o Options) *Federation {
	t.Helper()
	path, err := program.Path()
	if err != nil {
		t.Fatal(err)
	}
	o.Binary = path
	if o.Partners == 0 {
		o.Partners = 3
	}
	if o.Gateways == 0 {
		o.Gateways = 3
	}
	if o.Servers == 0 {
		o.Servers = 4
	}
	if o.Silence == 0 {
		o.Silence = testpeer.Limit // so that a slow machine is not mistaken for a silent link
	}
	if o.Deadline == 0 {
		o.Deadline = 30 * time.Second
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*testpeer.Limit)
	defer cancel()
	l, err := Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, b := range l.Auditor.Breaches() {
			t.Errorf("breach: %s", b)
		}
		if t.Failed() {
			for _, g := range l.Gateways[:min(4, len(l.Gateways))] {
				t.Logf("%s:\n%s", g.Name, lastBytes(g.Log(), 800))
			}
		}
		l.Close()
	})
	waitSettled(t, l)
	return l
}

// waitSettled waits until all running gateways have their links and all advertisements.
func waitSettled(t *testing.T, l *Federation) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*testpeer.Limit)
	defer cancel()
	if err := l.Settle(ctx, 3*l.options.Partners); err != nil {
		t.Fatal(err)
	}
}

func lastBytes(s string, n int) string { return s[max(0, len(s)-n):] }

// countRuns counts the runs that were executed and those that a cell discarded as duplicates.
func countRuns(runs []Run) (done, dropped int) {
	for _, r := range runs {
		if r.Dropped {
			dropped++
		} else {
			done++
		}
	}
	return done, dropped
}

// repeat calls do until stop is closed.
func repeat(stop <-chan struct{}, do func(i int)) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
			do(i)
		}
	}
}

// async calls f in a goroutine and returns a channel that receives its result.
func async[T any](f func() T) <-chan T {
	c := make(chan T, 1)
	go func() { c <- f() }()
	return c
}

// A gateway is killed at each step of processing a request. One successor takes the request over, and all retries get the same
// response. An unsafe request that may have run ends as failed.
func TestSuccessorTakesOverOnceAfterKill(t *testing.T) {
	l := startFederation(t, Options{Custody: "refuse"})
	victim := l.Gateway(0, 0)
	n := 0
	for _, c := range []struct {
		class, point  string
		status        int // 0: 200 or 502, depending on whether the intent was replicated before the kill
		done, dropped int // runs; negative: at most that many
	}{
		{"view", "recorded", 200, -2, 0},
		{"note", "recorded", 0, -1, 0},
		{"log", "recorded", 200, -1, 0},
		{"view", "intended", 200, 1, 0},
		{"note", "intended", 502, 0, 0},
		{"log", "intended", 200, 1, 0},
		{"view", "ran", 200, 2, 0},
		{"note", "ran", 502, 1, 0},
		{"log", "ran", 200, 1, 1},
		{"view", "settled", 200, 1, 0},
		{"note", "settled", 200, 1, 0},
		{"log", "settled", 200, 1, 0},
	} {
		n++
		victim.Kill()
		victim.SetEnv(fmt.Sprintf("DAMSONTRESTLE_FAULT=custody.%s:1:kill", c.point))
		if err := victim.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		waitSettled(t, l)
		request := Request{ID: fmt.Sprintf("c%d-%s-%s", n, c.class, c.point), Class: c.class, Path: "p0/x"}
		auditKey := request.ID
		if c.class == "log" {
			request.Key = "key-" + request.ID
			auditKey = request.Key
		}
		first := l.Send(t.Context(), victim, request)
		testpeer.Receive(t, victim.Ended(), "the exit of the killed gateway")
		if first.Status != 0 {
			t.Errorf("%s %s: the client of the killed gateway got %+v, want no response", c.class, c.point, first)
		}
		var answers []<-chan Outcome
		for i, g := range l.PartnerGateways(0, victim) {
			again := request
			again.ID, again.RetryOf = fmt.Sprintf("%s-again%d", request.ID, i), request.ID
			answers = append(answers, async(func() Outcome {
				h, _ := l.SendWithRetry(t.Context(), g, again)
				return h
			}))
		}
		for _, a := range answers {
			h := testpeer.Receive(t, a, "a response")
			if !h.Settled || h.Status != c.status && (c.status != 0 || h.Status != 200 && h.Status != 502) {
				t.Errorf("%s %s: %+v, want a settled %d", c.class, c.point, h, c.status)
			}
		}
		ran, dropped := countRuns(l.Auditor.Runs(auditKey))
		if c.done >= 0 && (ran != c.done || dropped != c.dropped) || c.done < 0 && ran > -c.done {
			t.Errorf("%s %s: %d runs and %d repeats, want %d and %d: %+v", c.class, c.point, ran, dropped, c.done, c.dropped, l.Auditor.Runs(auditKey))
		}
	}
}

// A successor is killed after claiming a request or after an attempt was authorized. The next successor must not start a second
// attempt or settle the request differently.
func TestNextSuccessorTakesOverAfterSuccessorIsKilled(t *testing.T) {
	l := startFederation(t, Options{Partners: 1, Gateways: 5, Servers: 8, Custody: "refuse"})
	owner := l.Gateway(0, 0)
	for i, c := range []struct {
		class, point string
		status, done int
	}{{"view", "claimed", 200, 1}, {"note", "claimed", 502, 0}, {"view", "intended", 200, 1}} {
		// All other gateways have the fault, so that the successor is killed by its own first claim.
		for k, g := range l.Gateways {
			g.Kill()
			g.SetEnv(fmt.Sprintf("DAMSONTRESTLE_FAULT=custody.%s:1:kill", c.point))
			if k == 0 {
				g.SetEnv("DAMSONTRESTLE_FAULT=custody.intended:1:kill")
			}
			if err := g.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		waitSettled(t, l)
		request := Request{ID: fmt.Sprintf("h%d", i), Class: c.class, Path: "p0/x"}
		l.Send(t.Context(), owner, request)
		testpeer.Receive(t, owner.Ended(), "the owner's kill")
		var successor *Gateway
		testpeer.Until(t, "the first successor's kill", func() bool {
			for _, g := range l.Gateways[1:] {
				select {
				case <-g.Ended():
					successor = g
					return true
				default:
				}
			}
			return false
		})
		// The next successor has the same fault at its own first claim, so nothing but a safe request may have run.
		if ran, _ := countRuns(l.Auditor.Runs(request.ID)); ran > 0 && c.class != "view" {
			t.Errorf("%s %s: ran %d times before the successor was killed", c.class, c.point, ran)
		}
		// Two of three replicas are gone: no gateway may continue the request, and no wrong settled response may be returned.
		for _, g := range l.Gateways[1:] {
			if g != successor {
				again := request
				again.ID, again.RetryOf, again.Timeout = request.ID+"-again", request.ID, 2*time.Second
				if h := l.Send(t.Context(), g, again); h.Settled && h.Status != c.status {
					t.Errorf("%s %s: %+v", c.class, c.point, h)
				}
				break
			}
		}
	}
}

// A gateway is suspended after an attempt was authorized and resumes after another gateway has taken the request over. It must not
// start the attempt, and the client that waited at it gets the same response as the others.
func TestSuspendedGatewayStartsNothingOnResume(t *testing.T) {
	l := startFederation(t, Options{Custody: "refuse", Silence: time.Second, Period: time.Second})
	owner := l.Gateway(0, 0)
	for i, class := range []string{"view", "note", "log"} {
		owner.Kill()
		owner.SetEnv("DAMSONTRESTLE_FAULT=custody.intended:1:stop")
		if err := owner.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		waitSettled(t, l)
		request := Request{ID: fmt.Sprintf("s%d", i), Class: class, Path: "p0/x"}
		auditKey := request.ID
		if class == "log" {
			request.Key, auditKey = "key-"+request.ID, "key-"+request.ID
		}
		pending := async(func() Outcome { return l.Send(t.Context(), owner, request) })
		// A retry before another replica holds the request is answered as unknown, and would end up at the suspended gateway.
		testpeer.Until(t, "the request to be held by another", func() bool {
			return l.Gateway(0, 1).ReplicationStatus(t.Context()).Replica.Undecided+l.Gateway(0, 2).ReplicationStatus(t.Context()).Replica.Undecided > 0
		})
		again := request
		again.ID, again.RetryOf = request.ID+"-again", request.ID
		var h Outcome
		testpeer.Until(t, "the request to be taken over", func() bool {
			again.ID += "'"
			h, _ = l.SendWithRetry(t.Context(), l.Gateway(0, 1), again)
			return h.Settled
		})
		before, _ := countRuns(l.Auditor.Runs(auditKey))
		if class == "note" && (before > 0 || h.Status != 502) || class != "note" && (before != 1 || h.Status != 200) {
			t.Errorf("%s: %d runs, and %+v", class, before, h)
		}
		if err := owner.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		first := testpeer.Receive(t, pending, "the response at the suspended gateway")
		if first.Status != h.Status || first.Settled && first.Body != h.Body {
			t.Errorf("%s: the waiting client got %+v, others %+v", class, first, h)
		}
		if after, _ := countRuns(l.Auditor.Runs(auditKey)); after != before {
			t.Errorf("%s: %d runs before it resumed, %d after", class, before, after)
		}
	}
}

// While a partner is partitioned in one or both directions, requests between other partners are not delayed and requests to it are
// answered in time. A request that it was processing when the partition began gets its settled response once the partition heals.
func TestPartitionedPartner(t *testing.T) {
	for _, how := range []string{"both ways", "there", "back"} {
		t.Run(how, func(t *testing.T) {
			l := startFederation(t, Options{Custody: "refuse", Silence: time.Second, Stale: 20 * time.Second})
			from, to := l.PartnerGateways(0), l.PartnerGateways(1)
			if how == "back" {
				from, to = to, from
			}
			held := Request{ID: "held-" + how, Class: "note", Path: "p1/x"}
			got, release := l.Auditor.Hold(held.ID)
			defer release()
			pending := async(func() Outcome { return l.Send(t.Context(), l.Gateway(0, 0), held) })
			testpeer.Receive(t, got, "the request at its server")
			heal := l.Cut(from, to, how == "both ways")
			for i := range 6 { // requests that do not cross the partition are served, on both sides
				for _, c := range []Request{{Class: "note", Path: "p0/x"}, {Class: "note", Path: "p2/x"}} {
					c.ID = fmt.Sprint(how, i, c.Path)
					if h := l.Send(t.Context(), l.Gateway(0, i%3), c); h.Status != 200 {
						t.Errorf("unexpected outcome: %+v", h)
					}
				}
				c := Request{ID: fmt.Sprint(how, i, "from p2"), Class: "note", Path: "p1/x"}
				if h := l.Send(t.Context(), l.Gateway(2, i%3), c); h.Status != 200 {
					t.Errorf("unexpected outcome: %+v", h)
				}
			}
			lost := Request{ID: "lost-" + how, Class: "note", Path: "p1/x", Timeout: 2 * time.Second}
			if h := l.Send(t.Context(), l.Gateway(0, 1), lost); h.Status != 502 && h.Status != 503 || h.Latency > lost.Timeout+500*time.Millisecond {
				t.Errorf("request across the partition: %+v", h)
			}
			release()
			heal()
			if h := testpeer.Receive(t, pending, "the response of the held request"); h.Status != 200 || !h.Settled {
				t.Errorf("unexpected outcome: %+v", h)
			}
			if ran, _ := countRuns(l.Auditor.Runs(held.ID)); ran != 1 {
				t.Errorf("ran %d times", ran)
			}
			waitSettled(t, l)
			if h := l.Send(t.Context(), l.Gateway(0, 2), Request{ID: "after-" + how, Class: "note", Path: "p1/x"}); h.Status != 200 {
				t.Errorf("after the partition: %+v", h)
			}
		})
	}
}

// A partner's gateway is killed while it processes a request from another partner. Its successor reports the outcome, and the
// client gets it from its own gateway.
func TestPartnerGatewayKilledDuringRequest(t *testing.T) {
	l := startFederation(t, Options{Custody: "refuse"})
	for _, c := range []struct {
		class        string
		status, runs int
	}{{"log", 200, 1}, {"view", 200, 2}, {"note", 502, 1}} { // keyed first: a restarted gateway does not vote on keys for a while
		auditKey, got, release, pending := l.sendHeld(t, Request{ID: "under-" + c.class, Class: c.class, Path: "p1/x"})
		active := l.activeGateway(t, 1)
		active.Kill()
		if c.class == "view" {
			testpeer.Receive(t, got, "the request at another server")
		}
		release()
		h := testpeer.Receive(t, pending, "the response")
		if h.Status != c.status || !h.Settled || h.Status == 200 && !strings.HasPrefix(h.Body, "p1-b") {
			t.Errorf("%s: %+v, want %d", c.class, h, c.status)
		}
		if ran, _ := countRuns(l.Auditor.Runs(auditKey)); ran != c.runs {
			t.Errorf("%s: ran %d times, want %d", c.class, ran, c.runs)
		}
		if err := active.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		waitSettled(t, l)
	}
}

// fromPartner0 reports whether the run's request came from a client of p0, by its ID.
func fromPartner0(r Run) bool { return strings.HasPrefix(r.ID, "p0-") }

// An export rule that is tightened while the affected partner is partitioned is enforced by its owner from the apply on, even if
// the partner still has the old advertisement.
func TestExportRuleTightenedDuringPartition(t *testing.T) {
	l := startFederation(t, Options{Custody: "refuse", Silence: time.Second})
	ask := func(p, i int, id string) Outcome {
		return l.Send(t.Context(), l.Gateway(p, i), Request{ID: fmt.Sprintf("p%d-%s", p, id), Class: "note", Path: "p1/x", Timeout: 5 * time.Second})
	}
	if h := ask(0, 0, "before"); h.Status != 200 {
		t.Fatalf("unexpected outcome: %+v", h)
	}
	heal := l.Cut(l.PartnerGateways(0), l.PartnerGateways(1), true)
	for _, g := range l.PartnerGateways(1) {
		err := g.Reconfigure(t.Context(), func(text string) string {
			return strings.Replace(text, "path = \"/note/p1/\"\n all = true", "path = \"/note/p1/\"\n to = [\"p2\"]", 1)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	l.Auditor.Forbid(l.elapsed(), 1, "p1 no longer exports it to p0", fromPartner0)
	testpeer.Until(t, "p0 to be partitioned", func() bool {
		return len(l.Gateway(0, 0).RouteStatus(t.Context()).Stale) > 0
	})
	heal()
	for i := range 9 { // some are sent before p0 receives the withdrawal
		if h := ask(0, i%3, fmt.Sprint("after", i)); h.Status == 200 {
			t.Errorf("unexpected outcome: %+v", h)
		}
		if h := ask(2, i%3, fmt.Sprint("after", i)); h.Status != 200 {
			t.Errorf("unexpected outcome: %+v", h)
		}
	}
	testpeer.Until(t, "p0's tables to agree", func() bool {
		for _, g := range l.PartnerGateways(0) {
			if g.RouteStatus(t.Context()).Advertisements != 8 {
				return false
			}
		}
		return true
	})
}

// A gateway with almost no link bandwidth is dropped by its group within the configured silence. Requests that do not need it
// continue, replicated by the remaining gateways.
func TestSlowPeerDoesNotDelayOthers(t *testing.T) {
	l := startFederation(t, Options{Partners: 2, Gateways: 4, Custody: "refuse", Silence: time.Second})
	slow := l.Gateway(0, 3)
	for _, g := range l.GatewaysExcept(slow) {
		l.SetShape(g, slow, link.Shape{Bandwidth: 20})
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for w := range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			repeat(stop, func(i int) {
				h := l.Send(t.Context(), l.Gateway(0, w%3), Request{ID: fmt.Sprintf("w%d-%d", w, i), Class: "note", Path: fmt.Sprintf("p%d/x", i%2)})
				if h.Status != 200 {
					t.Errorf("unexpected outcome: %+v", h)
				}
			})
		}()
	}
	testpeer.Until(t, "the links to the slow gateway to close", func() bool {
		_, to := l.Gateway(0, 0).LinkStats(t.Context())
		return len(to) > 0 && to["p0/"+slow.Name] == 0
	})
	close(stop)
	all.Wait()
}

// A gateway that shuts down gracefully hands its requests over to another, which continues them without waiting for a failure.
func TestShutdownGatewayHandsOver(t *testing.T) {
	l := startFederation(t, Options{Partners: 1, Custody: "refuse", Deadline: 20 * time.Second})
	owner := l.Gateway(0, 0)
	got, release := l.Auditor.Hold("handed")
	defer release()
	request := Request{ID: "handed", Class: "view", Path: "p0/x"}
	first := async(func() Outcome { return l.Send(t.Context(), owner, request) })
	testpeer.Receive(t, got, "the request at its server")
	if err := owner.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	testpeer.Receive(t, got, "the request at another server, by another gateway")
	release()
	again := request
	again.ID, again.RetryOf = "handed-again", "handed"
	h, _ := l.SendWithRetry(t.Context(), l.Gateway(0, 1), again)
	if h.Status != 200 || !h.Settled {
		t.Errorf("unexpected outcome: %+v", h)
	}
	if f := testpeer.Receive(t, first, "the response of the first client"); f.Status == 200 && f.Body != h.Body {
		t.Errorf("%+v, others %+v", f, h)
	}
	testpeer.Receive(t, owner.Ended(), "the exit of the owner")
}

// An isolated gateway follows when_alone, and a restarted replica does not vote on requests that its earlier incarnation held.
func TestIsolatedGatewayAndRestartedReplica(t *testing.T) {
	for _, when := range []string{"serve", "refuse"} {
		l := startFederation(t, Options{Partners: 1, Custody: when})
		for _, g := range l.Gateways[1:] {
			g.Kill()
		}
		testpeer.Until(t, "the gateway to lose all links", func() bool {
			return len(l.Gateway(0, 0).Status(t.Context()).Links) == 0
		})
		h := l.Send(t.Context(), l.Gateway(0, 0), Request{ID: "alone-" + when, Class: "note", Path: "p0/x"})
		if when == "serve" && (h.Status != 200 || h.Settled) || when == "refuse" && (h.Status != 503 || h.RetryAfter <= 0) {
			t.Errorf("%s: %+v", when, h)
		}
	}
	l := startFederation(t, Options{Partners: 1, Custody: "refuse"})
	got, release := l.Auditor.Hold("forgotten")
	defer release()
	async(func() Outcome {
		return l.Send(t.Context(), l.Gateway(0, 0), Request{ID: "forgotten", Class: "view", Path: "p0/x"})
	})
	testpeer.Receive(t, got, "the request at its server")
	l.Gateway(0, 1).Kill()
	if err := l.Gateway(0, 1).Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	waitSettled(t, l)
	l.Gateway(0, 0).Kill()
	// Of three replicas one is dead and one has lost its state: the third alone is no majority.
	h := l.Send(t.Context(), l.Gateway(0, 1), Request{ID: "forgotten-again", RetryOf: "forgotten", Class: "view", Path: "p0/x", Timeout: 2 * time.Second})
	if h.Settled || h.Status == 200 {
		t.Errorf("unexpected outcome: %+v", h)
	}
	if ran, _ := countRuns(l.Auditor.Runs("forgotten")); ran != 1 {
		t.Errorf("ran %d times", ran)
	}
}

// A gateway whose replication memory is full rejects new requests at once with a Retry-After.
func TestReplicasWithoutCapacityReject(t *testing.T) {
	l := startFederation(t, Options{Partners: 1, Custody: "refuse", Memory: "64KiB"})
	var releases []func()
	refused := 0
	var all []<-chan Outcome
	for i := range 120 {
		id := fmt.Sprint("big", i)
		_, release := l.Auditor.Hold(id)
		releases = append(releases, release)
		all = append(all, async(func() Outcome {
			return l.Send(t.Context(), l.Gateway(0, i%3), Request{ID: id, Class: "note", Path: "p0/x"})
		}))
	}
	testpeer.Until(t, "a rejection for lack of capacity", func() bool {
		return l.Gateway(0, 0).ReplicationStatus(t.Context()).Replica.NoCapacity > 0
	})
	for _, r := range releases {
		r()
	}
	for _, c := range all {
		h := testpeer.Receive(t, c, "a response")
		if h.Status == 503 && h.RetryAfter > 0 {
			refused++
		} else if h.Status != 200 {
			t.Errorf("unexpected outcome: %+v", h)
		}
	}
	if refused == 0 {
		t.Error("no request was rejected")
	}
}

// In a group of two the other gateway takes over alone. A request whose body is too long to be kept is served but not replicated.
func TestTwoGatewayGroupAndLongBodies(t *testing.T) {
	l := startFederation(t, Options{Partners: 1, Gateways: 2, Custody: "refuse"})
	h := l.Send(t.Context(), l.Gateway(0, 0), Request{ID: "long", Class: "note", Path: "p0/x", Size: 200_000})
	if h.Status != 200 || h.Settled || !strings.HasSuffix(h.Body, fmt.Sprintf(" %d bytes", 200_000+len("the work of long"))) {
		t.Errorf("a long body: %+v", h)
	}
	owner := l.Gateway(0, 0)
	got, release := l.Auditor.Hold("two")
	defer release()
	async(func() Outcome { return l.Send(t.Context(), owner, Request{ID: "two", Class: "view", Path: "p0/x"}) })
	testpeer.Receive(t, got, "the request at its server")
	owner.Kill()
	testpeer.Receive(t, got, "the request at another server, by the other gateway")
	release()
	if h, _ := l.SendWithRetry(t.Context(), l.Gateway(0, 1), Request{ID: "two-again", RetryOf: "two", Class: "view", Path: "p0/x"}); h.Status != 200 || !h.Settled {
		t.Errorf("unexpected outcome: %+v", h)
	}
}
