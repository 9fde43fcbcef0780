package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/config"
	"damsontrestle/internal/config/configtest"
	"damsontrestle/internal/node"
	"damsontrestle/internal/plan"
	"damsontrestle/internal/route"
	"damsontrestle/internal/state"
	"damsontrestle/internal/state/statetest"
	"damsontrestle/internal/testpeer"
)

// silent is a registry block that nobody answers at, in a pool of its own.
func silent(agent *testpeer.Agent) string {
	return fmt.Sprintf("pool \"silent\" {\n registry {\n address = %q\n }\n}\nroute \"s\" {\n paths = [\"/view/s/*\"]\n pool = \"silent\"\n}\n", agent.Address())
}

// One change at a time: another apply, a rollback and a reload are refused while one is under way, and it goes
// on to its end though its client has left.
func TestOneChangeAtATime(t *testing.T) {
	a, b := named(t, "a"), named(t, "b")
	agent := testpeer.NewAgent(t)
	agent.Tell(true, "")
	r := newFixture(t)
	r.write(t, r.text("p1", a.Address(), ""))
	d, _ := r.start(t)
	if _, err := r.apply(t, r.plan(t, r.text("p2", a.Address(), ""))); err != nil {
		t.Fatal(err)
	}
	before := r.show(t)
	waits, quick := r.plan(t, r.text("p2", b.Address(), silent(agent))), r.plan(t, r.text("p3", b.Address(), ""))
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() {
		_, err := r.client().Apply(ctx, waits, testpeer.Limit, nil)
		left <- err
	}()
	testpeer.Until(t, "the apply to be under way", func() bool { return r.show(t).CurrentStep == "preparing" })
	_, err := r.apply(t, quick)
	wantCode(t, err, admin.CodeBusy, "apply is preparing")
	_, err = r.client().Rollback(t.Context(), before.Running, 0, nil)
	wantCode(t, err, admin.CodeBusy, "apply is preparing")
	r.write(t, r.text("p4", b.Address(), ""))
	d.Reload()
	if !strings.Contains(r.log.String(), "by=reload") {
		t.Error("the reload is not told of")
	}
	r.wantServed(t, "a")
	leave()
	if err := testpeer.Receive(t, left, "the client's end"); !errors.Is(err, admin.ErrTruncatedResponse) {
		t.Errorf("%v", err)
	}
	r.wantServed(t, "a")
	agent.Tell(false, testpeer.Whole(testpeer.Entry("b", b.Address(), "in_service")))
	testpeer.Until(t, "the apply to be over", func() bool { return r.show(t).Serial == 3 })
	r.wantServed(t, "b")
}

// A registry that never answers fails the apply within its time, and nothing has changed.
func TestApplyTimesOutOnSilentRegistry(t *testing.T) {
	a := named(t, "a")
	agent := testpeer.NewAgent(t)
	agent.Tell(true, "")
	r := newFixture(t)
	r.write(t, r.text("p1", a.Address(), ""))
	r.start(t)
	_, err := r.client().Apply(t.Context(), r.plan(t, r.text("p2", a.Address(), silent(agent))), 200*time.Millisecond, nil)
	wantCode(t, err, admin.CodeFailed, "has not answered with a list within 200ms")
	if s := r.show(t); s.Serial != 1 || s.LastChange == nil || !strings.Contains(s.LastChange.Error, `pool "silent"`) {
		t.Errorf("%+v", s)
	}
	r.wantServed(t, "a")
}

// SIGHUP's way: a bad file leaves what runs, the same file changes nothing, a good one is put in place.
func TestReload(t *testing.T) {
	a, b := named(t, "a"), named(t, "b")
	r := newFixture(t)
	r.write(t, r.text("p1", a.Address(), ""))
	d, _ := r.start(t)
	for _, c := range []struct {
		text   string
		serial int64
		by     string
	}{{r.text("p1", a.Address(), ""), 1, "a"}, {r.text("p1", a.Address(), "nonsense {"), 1, "a"}, {r.text("p2", b.Address(), ""), 2, "b"},
		{strings.Replace(r.text("p2", a.Address(), ""), `"n1"`, `"n2"`, 1), 2, "b"}, {r.text("p2", a.Address(), ""), 3, "a"}} {
		r.write(t, c.text)
		d.Reload()
		if s := r.show(t); s.Serial != c.serial {
			t.Errorf("serial %d, want %d", s.Serial, c.serial)
		}
		r.wantServed(t, c.by)
	}
}

// A drain undoes an apply that has not reached the state folder, and none begins once it has begun; the next
// start finds what ran.
func TestDrainAndApply(t *testing.T) {
	a := named(t, "a")
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	slow := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got <- struct{}{}
		<-hold
		return testpeer.Reply200(c, "slow")
	})
	agent := testpeer.NewAgent(t)
	agent.Tell(true, "")
	r := newFixture(t)
	r.write(t, r.text("p1", slow.Address(), ""))
	_, stop := r.start(t)
	waits, quick := r.plan(t, r.text("p2", a.Address(), silent(agent))), r.plan(t, r.text("p2", a.Address(), ""))
	held := testpeer.Dial(t, r.listen)
	held.Send("GET", "/view/k", "held", "", "15")
	testpeer.Receive(t, got, "the attempt")
	undone := make(chan error, 1)
	go func() {
		_, err := r.apply(t, waits)
		undone <- err
	}()
	testpeer.Until(t, "the apply to be under way", func() bool { return r.show(t).CurrentStep == "preparing" })
	ended := make(chan struct{})
	go func() { stop(); close(ended) }()
	wantCode(t, testpeer.Receive(t, undone, "the apply's end"), admin.CodeShuttingDown, "ending")
	_, err := r.apply(t, quick)
	wantCode(t, err, admin.CodeShuttingDown, "ending")
	close(hold)
	held.Want(t, 200, "slow")
	testpeer.Receive(t, ended, "the end")
	_, stop = r.start(t)
	if s := r.show(t); s.Serial != 1 || s.Config.Pools[0].Name != "p1" {
		t.Errorf("%+v", s)
	}
	stop()
}

// Every point of an apply at which something can fail is failed in turn, those of the state folder among them:
// what ran runs on, the state folder holds it, and the same plan goes through afterwards.
func TestApplyRollsBackOnEveryFault(t *testing.T) {
	a, b := named(t, "a"), named(t, "b")
	agent := testpeer.NewAgent(t)
	agent.Tell(false, testpeer.Whole(testpeer.Entry("b", b.Address(), "in_service")))
	var (
		mu     sync.Mutex
		points []string
		fails  map[int]bool
	)
	injected := errors.New("injected")
	fault := func(point string) error {
		mu.Lock()
		defer mu.Unlock()
		points = append(points, point)
		if fails[len(points)] {
			return injected
		}
		return nil
	}
	reset := func(at ...int) {
		mu.Lock()
		defer mu.Unlock()
		points, fails = nil, map[int]bool{}
		for _, i := range at {
			fails[i] = true
		}
	}
	r := newFixture(t).with(node.Options{Fault: fault})
	folder := filepath.Join(r.dir, "state")
	r.options.repairDelay = time.Hour // what an apply itself sees to is looked at here
	r.options.StateFiles = &statetest.Files{Ask: func(request, path string) error {
		if request == "close" && path == folder {
			return nil // behind all that a write needs: its error changes nothing
		}
		return fault("state: " + request)
	}}
	r.write(t, r.text("p1", a.Address(), ""))
	d, _ := r.start(t)
	second := r.text("p1", b.Address(), silent(agent)+"listener \"side\" {\n address = \"127.0.0.1:0\"\n}\n")
	first := r.text("p1", a.Address(), "")

	reset()
	if _, err := r.apply(t, r.plan(t, second)); err != nil { // once through, to count
		t.Fatal(err)
	}
	all := points
	if _, err := r.apply(t, r.plan(t, first)); err != nil {
		t.Fatal(err)
	}
	if len(all) < 13 {
		t.Fatalf("only %d points: %v", len(all), all)
	}
	check := func(point string) {
		t.Helper()
		r.wantServed(t, "a")
		s := r.show(t)
		if s.Serial != 3 || len(s.Config.Pools) != 1 || d.Addr("side") != "" || s.CurrentStep != "" {
			t.Errorf("%s: %+v", point, s)
		}
		kept, err := state.Open(folder)
		if err != nil {
			t.Fatal(err)
		}
		if held, err := kept.Load("n1"); err != nil || held.Running.Serial != 3 {
			t.Errorf("%s: the state folder holds %+v, %v", point, held, err)
		}
	}
	for i, point := range all {
		reset(i + 1)
		_, err := r.apply(t, r.plan(t, second))
		wantCode(t, err, admin.CodeFailed, "injected")
		reset()
		check(point)
	}
	// A write whose rename succeeds but that fails behind it, and then the write of the old record fails too:
	// the daemon knows, says so, and the next apply begins by repairing it.
	last := len(all)
	reset(last, last+1)
	_, err := r.apply(t, r.plan(t, second))
	wantCode(t, err, admin.CodeFailed, "may hold serial 4 now, though serial 3 runs on")
	r.wantServed(t, "a")
	if s := r.show(t); !s.Diverged || s.Serial != 3 {
		t.Errorf("%+v", s)
	}
	reset(1)
	_, err = r.apply(t, r.plan(t, second))
	wantCode(t, err, admin.CodeFailed, "could not be brought up to what runs")
	reset()
	var steps []string
	if _, err := r.client().Apply(t.Context(), r.plan(t, second), testpeer.Limit, func(l admin.ChangeEvent) { steps = append(steps, l.Step) }); err != nil {
		t.Fatal(err)
	}
	if s := r.show(t); s.Diverged || s.Serial != 4 || steps[0] != "repair" {
		t.Errorf("%v, %+v", steps, s)
	}
	r.wantServed(t, "b")
	t.Logf("%d points failed in turn: %s", len(all), strings.Join(all, ", "))
}

// A field that takes a restart is kept for the next start and said to wait for it.
func TestFieldsThatNeedRestartAreReported(t *testing.T) {
	a := named(t, "a")
	r := newFixture(t)
	text := r.text("p1", a.Address(), "")
	r.write(t, text)
	_, stop := r.start(t)
	zoned := strings.Replace(text, "limits {", "zone = \"z\"\n  limits {", 1)
	if _, err := r.apply(t, r.plan(t, zoned)); err != nil {
		t.Fatal(err)
	}
	if s := r.show(t); len(s.NeedsRestart) != 1 || s.NeedsRestart[0] != "node.zone" {
		t.Errorf("%v", s.NeedsRestart)
	}
	stop()
	r.write(t, zoned)
	r.start(t)
	if s := r.show(t); len(s.NeedsRestart) != 0 || s.Config.Node.Zone != "z" {
		t.Errorf("%v", s.NeedsRestart)
	}
}

// For random pairs of configurations: plan and apply leave running exactly what the plan said, asked of the
// node by requests too; to plan again says no change; rollback gives back the first.
func TestApplyMatchesPlan(t *testing.T) {
	world := configtest.Addresses{}
	names := map[string]string{}
	for i := range 3 {
		s := named(t, fmt.Sprint("box", i))
		world.Servers = append(world.Servers, s.Address())
		names[s.Address()] = fmt.Sprint("box", i)
		world.Listeners = append(world.Listeners, testpeer.ClosedPort(t))
	}
	r := newFixture(t)
	r.listen = testpeer.ClosedPort(t)
	r.write(t, strings.Replace(r.text("p", world.Servers[0], ""), `"n1"`, `"n"`, 1))
	r.start(t)
	checks := 0
	rapid.Check(t, func(rt *rapid.T) {
		put := func(label string) *config.Config {
			cfg := configtest.Draw(rt, world)
			cfg.Node.StateFolder, cfg.Node.AdminSocket = filepath.Join(r.dir, "state"), r.socket
			if _, err := r.apply(t, r.planOf(t, cfg)); err != nil {
				rt.Fatalf("%s: %v", label, err)
			}
			s := r.show(t)
			if s.Fingerprint != cfg.Fingerprint() || s.Config.Fingerprint() != cfg.Fingerprint() || len(s.Status.Pools) != len(cfg.Pools) || len(s.Status.Listeners) != len(cfg.Listeners) {
				rt.Fatalf("%s: something else runs than what was planned", label)
			}
			if d := plan.Diff(s.Config, cfg); len(d) != 0 {
				rt.Fatalf("%s: planned again: %v", label, d)
			}
			serves(t, rt, cfg, names)
			return cfg
		}
		first := put("the first")
		serial := r.show(t).Serial
		second := put("the second")
		if first.Fingerprint() == second.Fingerprint() {
			return
		}
		if _, err := r.client().Rollback(t.Context(), r.show(t).Running, testpeer.Limit, nil); err != nil {
			rt.Fatal(err)
		}
		if s := r.show(t); s.Fingerprint != first.Fingerprint() || s.Serial != serial+2 {
			rt.Fatalf("rolled back to %s, serial %d", s.Fingerprint, s.Serial)
		}
		serves(t, rt, first, names)
		checks++
	})
	t.Logf("%d pairs", checks)
}

// serves asks every listener for requests of every kind, and wants each served by a server of the pool that the
// routes name.
func serves(t *testing.T, rt *rapid.T, cfg *config.Config, names map[string]string) {
	t.Helper()
	if _, ok := cfg.Class("view"); !ok {
		return
	}
	table, err := cfg.RouteTable()
	if err != nil {
		rt.Fatal(err)
	}
	for _, l := range cfg.Listeners {
		for _, host := range []string{"a.example", "c.example", "other"} {
			want := map[string]bool{}
			for i := range 50 { // a request's own draw is its id: any pool that the route leads to will do
				to, _ := table.Choose(&route.Request{Listener: l.Name, Class: "view", Host: host, Path: "/view/k", Headers: http.Header{}, Draw: fmt.Sprint(i)})
				p, _ := cfg.Pool(to.Pool)
				for _, s := range p.Servers {
					want[names[s.Address]] = true
				}
			}
			if got := ask(t, l.Address, host, "/view/k"); !want[got] {
				rt.Fatalf("%s at %s for %s: served by %q, want one of %v", l.Name, l.Address, host, got, want)
			}
		}
	}
}

// Under a load of views and notes, plans are applied that add, change and remove listeners, pools and routes,
// and some are rolled back: every request is answered once, no note runs twice, none is lost.
func TestPlansUnderLoad(t *testing.T) {
	plans := 200
	if testing.Short() {
		plans = 30
	}
	var servers []*testpeer.Box
	var at []string
	for i := range 4 {
		b := testpeer.NewBox(testpeer.BoxOptions{Name: fmt.Sprint("b", i), Service: 2 * time.Millisecond, Seed: uint64(i),
			Faults: testpeer.Faults{Fail: 0.01, Refuse: 0.02, Reset: 0.01, Cut: 0.005}})
		servers = append(servers, b)
		at = append(at, testpeer.NewServer(t, b.Serve).Address())
	}
	r := newFixture(t)
	side := testpeer.ClosedPort(t)
	text := func(i int) string {
		more := fmt.Sprintf("pool \"q%d\" {\n attempts = %d\n server \"s\" {\n address = %q\n }\n}\n", i/3, 1+i%3, at[2+i%2])
		more += fmt.Sprintf("route \"r%d\" {\n classes = [%q]\n to \"q%d\" {\n weight = %d\n }\n to \"p\" {\n weight = 1\n }\n}\n",
			i%2, []string{"view", "note"}[i%2], i/3, 1+i%3)
		if i%40 < 20 {
			more += fmt.Sprintf("listener \"side%d\" {\n address = %q\n}\n", i%5, side)
		}
		return r.text("p", at[i%2], more)
	}
	r.write(t, text(0))
	r.start(t)
	audit := testpeer.NewAudit()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		testpeer.Load{Audit: audit, Callers: 16, Addresses: func() []string { return []string{r.listen, r.listen, side} }, Notes: 0.5,
			Deadline: 15 * time.Second, Pause: time.Millisecond, Seed: 1}.Run(ctx)
		close(done)
	}()
	for i := 1; i <= plans; i++ {
		if _, err := r.apply(t, r.plan(t, text(i))); err != nil {
			t.Fatal(err)
		}
		if i%10 == 0 {
			if _, err := r.client().Rollback(t.Context(), r.show(t).Running, testpeer.Limit, nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	stop()
	testpeer.Receive(t, done, "the callers' last answers")
	testpeer.Until(t, "all that went to be over", func() bool { return len(r.show(t).Status.Draining) == 0 })
	v := audit.Judge(servers...)
	for i, w := range v.Wrong {
		if i < 10 {
			t.Error(w)
		}
	}
	if v.Calls < 300 || v.Served < v.Calls/2 {
		t.Errorf("only %d calls, %d served", v.Calls, v.Served)
	}
	t.Logf("%d plans and %d rollbacks; %d calls: %d served, %d refused (%.2f %%), %d failed, %d not taken", plans, plans/10, v.Calls, v.Served,
		v.Refused, 100*float64(v.Refused)/float64(v.Calls), v.Failed, v.NotTaken)
}

// A file that is away while another takes its name is read once that has come; one that stays away changes nothing, and is told of in
// one line.
func TestReloadOfMissingFile(t *testing.T) {
	a, b := named(t, "a"), named(t, "b")
	r := newFixture(t)
	r.write(t, r.text("p1", a.Address(), ""))
	d, _ := r.start(t)
	if err := os.Remove(r.file); err != nil {
		t.Fatal(err)
	}
	d.Reload()
	if lines := strings.Count(r.log.String(), "is not taken over"); lines != 1 || r.show(t).Serial != 1 {
		t.Errorf("%d lines, serial %d", lines, r.show(t).Serial)
	}
	r.wantServed(t, "a")
	reloaded := make(chan struct{})
	go func() { d.Reload(); close(reloaded) }()
	select { // by now the file has been missed, or will not be
	case <-reloaded:
		t.Fatal("the file that is away is given up at once")
	case <-time.After(50 * time.Millisecond):
	}
	next := r.file + ".next"
	if err := os.WriteFile(next, []byte(r.text("p2", b.Address(), "")), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, r.file); err != nil {
		t.Fatal(err)
	}
	testpeer.Receive(t, reloaded, "the reload's end")
	if s := r.show(t); s.Serial != 2 {
		t.Errorf("serial %d", s.Serial)
	}
	r.wantServed(t, "b")
}
