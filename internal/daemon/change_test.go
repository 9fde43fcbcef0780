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

// silentPool returns the configuration of a pool, and a route to it, whose registry is agent.
func silentPool(agent *testpeer.Agent) string {
	return fmt.Sprintf("pool \"silent\" {\n registry {\n address = %q\n }\n}\nroute \"s\" {\n paths = [\"/view/s/*\"]\n pool = \"silent\"\n}\n", agent.Address())
}

// While an apply is under way, another apply, a rollback and a reload are rejected. The apply continues after its client has
// disconnected.
func TestConcurrentChangesAreRejected(t *testing.T) {
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	agent := testpeer.NewAgent(t)
	agent.Tell(true, "")
	fx := newFixture(t)
	fx.writeFile(t, fx.configText("p1", serverA.Address(), ""))
	d, _ := fx.start(t)
	if _, err := fx.apply(t, fx.encodePlan(t, fx.configText("p2", serverA.Address(), ""))); err != nil {
		t.Fatal(err)
	}
	before := fx.show(t)
	waitingPlan, quickPlan := fx.encodePlan(t, fx.configText("p2", serverB.Address(), silentPool(agent))), fx.encodePlan(t, fx.configText("p3", serverB.Address(), ""))
	ctx, disconnect := context.WithCancel(t.Context())
	applyErr := make(chan error, 1)
	go func() {
		_, err := fx.client().Apply(ctx, waitingPlan, testpeer.Limit, nil)
		applyErr <- err
	}()
	testpeer.Until(t, "the apply to be under way", func() bool { return fx.show(t).CurrentStep == "preparing" })
	_, err := fx.apply(t, quickPlan)
	wantCode(t, err, admin.CodeBusy, "apply is preparing")
	_, err = fx.client().Rollback(t.Context(), before.Running, 0, nil)
	wantCode(t, err, admin.CodeBusy, "apply is preparing")
	fx.writeFile(t, fx.configText("p4", serverB.Address(), ""))
	d.Reload()
	if !strings.Contains(fx.log.String(), "by=reload") {
		t.Error("the rejected reload is not logged")
	}
	fx.wantServed(t, "a")
	disconnect()
	if err := testpeer.Receive(t, applyErr, "the client to return"); !errors.Is(err, admin.ErrTruncatedResponse) {
		t.Errorf("%v", err)
	}
	fx.wantServed(t, "a")
	agent.Tell(false, testpeer.FullSnapshot(testpeer.Entry("b", serverB.Address(), "in_service")))
	testpeer.Until(t, "the apply to be complete", func() bool { return fx.show(t).Serial == 3 })
	fx.wantServed(t, "b")
}

// An apply fails after its wait time if a registry does not answer, and changes nothing.
func TestApplyTimesOutOnSilentRegistry(t *testing.T) {
	serverA := newNamedServer(t, "a")
	agent := testpeer.NewAgent(t)
	agent.Tell(true, "")
	fx := newFixture(t)
	fx.writeFile(t, fx.configText("p1", serverA.Address(), ""))
	fx.start(t)
	_, err := fx.client().Apply(t.Context(), fx.encodePlan(t, fx.configText("p2", serverA.Address(), silentPool(agent))), 200*time.Millisecond, nil)
	wantCode(t, err, admin.CodeFailed, "has not answered with a list within 200ms")
	if s := fx.show(t); s.Serial != 1 || s.LastChange == nil || !strings.Contains(s.LastChange.Error, `pool "silent"`) {
		t.Errorf("%+v", s)
	}
	fx.wantServed(t, "a")
}

// Reload, which SIGHUP triggers, rejects an invalid file, changes nothing for an unchanged file, and applies a valid one.
func TestReload(t *testing.T) {
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	fx := newFixture(t)
	fx.writeFile(t, fx.configText("p1", serverA.Address(), ""))
	d, _ := fx.start(t)
	for _, c := range []struct {
		text   string
		serial int64
		by     string
	}{{fx.configText("p1", serverA.Address(), ""), 1, "a"}, {fx.configText("p1", serverA.Address(), "nonsense {"), 1, "a"}, {fx.configText("p2", serverB.Address(), ""), 2, "b"},
		{strings.Replace(fx.configText("p2", serverA.Address(), ""), `"n1"`, `"n2"`, 1), 2, "b"}, {fx.configText("p2", serverA.Address(), ""), 3, "a"}} {
		fx.writeFile(t, c.text)
		d.Reload()
		if s := fx.show(t); s.Serial != c.serial {
			t.Errorf("serial %d, want %d", s.Serial, c.serial)
		}
		fx.wantServed(t, c.by)
	}
}

// A shutdown undoes an apply that is not recorded in the state folder yet, and rejects later ones. The next start finds the
// configuration that was running.
func TestShutdownUndoesUnrecordedApply(t *testing.T) {
	serverA := newNamedServer(t, "a")
	release, received := make(chan struct{}), make(chan struct{}, 1)
	slow := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		received <- struct{}{}
		<-release
		return testpeer.Reply200(c, "slow")
	})
	agent := testpeer.NewAgent(t)
	agent.Tell(true, "")
	fx := newFixture(t)
	fx.writeFile(t, fx.configText("p1", slow.Address(), ""))
	_, stop := fx.start(t)
	waitingPlan, quickPlan := fx.encodePlan(t, fx.configText("p2", serverA.Address(), silentPool(agent))), fx.encodePlan(t, fx.configText("p2", serverA.Address(), ""))
	conn := testpeer.Dial(t, fx.listen)
	conn.Send("GET", "/view/k", "held", "", "15")
	testpeer.Receive(t, received, "the attempt")
	undone := make(chan error, 1)
	go func() {
		_, err := fx.apply(t, waitingPlan)
		undone <- err
	}()
	testpeer.Until(t, "the apply to be under way", func() bool { return fx.show(t).CurrentStep == "preparing" })
	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	wantCode(t, testpeer.Receive(t, undone, "the apply to return"), admin.CodeShuttingDown, "ending")
	_, err := fx.apply(t, quickPlan)
	wantCode(t, err, admin.CodeShuttingDown, "ending")
	close(release)
	conn.Want(t, 200, "slow")
	testpeer.Receive(t, stopped, "the daemon to stop")
	_, stop = fx.start(t)
	if s := fx.show(t); s.Serial != 1 || s.Config.Pools[0].Name != "p1" {
		t.Errorf("%+v", s)
	}
	stop()
}

// A fault is injected at each step of an apply in turn, including the operations on the state folder. The previous
// configuration stays in place, the state folder holds it, and the same plan succeeds afterwards.
func TestApplyRollsBackOnEveryFault(t *testing.T) {
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	agent := testpeer.NewAgent(t)
	agent.Tell(false, testpeer.FullSnapshot(testpeer.Entry("b", serverB.Address(), "in_service")))
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
	fx := newFixture(t).with(node.Options{Fault: fault})
	folder := filepath.Join(fx.dir, "state")
	fx.options.repairDelay = time.Hour // only the repair by the apply itself is tested here
	fx.options.StateFileSystem = &statetest.FileSystem{Intercept: func(operation, path string) error {
		if operation == "close" && path == folder {
			return nil // the folder is closed at the end of a write, whose result the error would not change
		}
		return fault("state: " + operation)
	}}
	fx.writeFile(t, fx.configText("p1", serverA.Address(), ""))
	d, _ := fx.start(t)
	second := fx.configText("p1", serverB.Address(), silentPool(agent)+"listener \"side\" {\n address = \"127.0.0.1:0\"\n}\n")
	first := fx.configText("p1", serverA.Address(), "")

	reset()
	if _, err := fx.apply(t, fx.encodePlan(t, second)); err != nil { // without faults, to count the points
		t.Fatal(err)
	}
	allPoints := points
	if _, err := fx.apply(t, fx.encodePlan(t, first)); err != nil {
		t.Fatal(err)
	}
	if len(allPoints) < 13 {
		t.Fatalf("%d fault points, want at least 13: %v", len(allPoints), allPoints)
	}
	check := func(point string) {
		t.Helper()
		fx.wantServed(t, "a")
		s := fx.show(t)
		if s.Serial != 3 || len(s.Config.Pools) != 1 || d.Addr("side") != "" || s.CurrentStep != "" {
			t.Errorf("%s: %+v", point, s)
		}
		recordedFolder, err := state.Open(folder)
		if err != nil {
			t.Fatal(err)
		}
		if recorded, err := recordedFolder.Load("n1"); err != nil || recorded.Running.Serial != 3 {
			t.Errorf("%s: the state folder holds %+v, %v", point, recorded, err)
		}
	}
	for i, point := range allPoints {
		reset(i + 1)
		_, err := fx.apply(t, fx.encodePlan(t, second))
		wantCode(t, err, admin.CodeFailed, "injected")
		reset()
		check(point)
	}
	// The write fails after its rename has succeeded, and so does the write of the old record: the daemon reports the
	// divergence, and the next apply starts with a repair.
	last := len(allPoints)
	reset(last, last+1)
	_, err := fx.apply(t, fx.encodePlan(t, second))
	wantCode(t, err, admin.CodeFailed, "may hold serial 4 now, though serial 3 runs on")
	fx.wantServed(t, "a")
	if s := fx.show(t); !s.Diverged || s.Serial != 3 {
		t.Errorf("%+v", s)
	}
	reset(1)
	_, err = fx.apply(t, fx.encodePlan(t, second))
	wantCode(t, err, admin.CodeFailed, "could not be brought up to what runs")
	reset()
	var steps []string
	if _, err := fx.client().Apply(t.Context(), fx.encodePlan(t, second), testpeer.Limit, func(l admin.ChangeEvent) { steps = append(steps, l.Step) }); err != nil {
		t.Fatal(err)
	}
	if s := fx.show(t); s.Diverged || s.Serial != 4 || steps[0] != "repair" {
		t.Errorf("%v, %+v", steps, s)
	}
	fx.wantServed(t, "b")
	t.Logf("%d fault points: %s", len(allPoints), strings.Join(allPoints, ", "))
}

// A changed field that needs a restart is recorded for the next start and reported until then.
func TestFieldsThatNeedRestartAreReported(t *testing.T) {
	serverA := newNamedServer(t, "a")
	fx := newFixture(t)
	text := fx.configText("p1", serverA.Address(), "")
	fx.writeFile(t, text)
	_, stop := fx.start(t)
	zoned := strings.Replace(text, "limits {", "zone = \"z\"\n  limits {", 1)
	if _, err := fx.apply(t, fx.encodePlan(t, zoned)); err != nil {
		t.Fatal(err)
	}
	if s := fx.show(t); len(s.NeedsRestart) != 1 || s.NeedsRestart[0] != "node.zone" {
		t.Errorf("%v", s.NeedsRestart)
	}
	stop()
	fx.writeFile(t, zoned)
	fx.start(t)
	if s := fx.show(t); len(s.NeedsRestart) != 0 || s.Config.Node.Zone != "z" {
		t.Errorf("%v", s.NeedsRestart)
	}
}

// For random pairs of configurations, plan and apply put exactly the planned configuration in place, which is also checked
// by requests to the node. Planning again finds no change, and a rollback restores the first configuration.
func TestApplyMatchesPlan(t *testing.T) {
	world := configtest.Addresses{}
	names := map[string]string{}
	for i := range 3 {
		s := newNamedServer(t, fmt.Sprint("box", i))
		world.Servers = append(world.Servers, s.Address())
		names[s.Address()] = fmt.Sprint("box", i)
		world.Listeners = append(world.Listeners, testpeer.ClosedPort(t))
	}
	fx := newFixture(t)
	fx.listen = testpeer.ClosedPort(t)
	fx.writeFile(t, strings.Replace(fx.configText("p", world.Servers[0], ""), `"n1"`, `"n"`, 1))
	fx.start(t)
	checks := 0
	rapid.Check(t, func(rt *rapid.T) {
		apply := func(label string) *config.Config {
			cfg := configtest.Draw(rt, world)
			cfg.Node.StateFolder, cfg.Node.AdminSocket = filepath.Join(fx.dir, "state"), fx.socket
			if _, err := fx.apply(t, fx.encodePlanOf(t, cfg)); err != nil {
				rt.Fatalf("%s: %v", label, err)
			}
			s := fx.show(t)
			if s.Fingerprint != cfg.Fingerprint() || s.Config.Fingerprint() != cfg.Fingerprint() || len(s.Status.Pools) != len(cfg.Pools) || len(s.Status.Listeners) != len(cfg.Listeners) {
				rt.Fatalf("%s: the running configuration differs from the plan", label)
			}
			if d := plan.Diff(s.Config, cfg); len(d) != 0 {
				rt.Fatalf("%s: planning again finds changes: %v", label, d)
			}
			checkServed(t, rt, cfg, names)
			return cfg
		}
		first := apply("the first")
		serial := fx.show(t).Serial
		second := apply("the second")
		if first.Fingerprint() == second.Fingerprint() {
			return
		}
		if _, err := fx.client().Rollback(t.Context(), fx.show(t).Running, testpeer.Limit, nil); err != nil {
			rt.Fatal(err)
		}
		if s := fx.show(t); s.Fingerprint != first.Fingerprint() || s.Serial != serial+2 {
			rt.Fatalf("rolled back to %s, serial %d", s.Fingerprint, s.Serial)
		}
		checkServed(t, rt, first, names)
		checks++
	})
	t.Logf("%d pairs", checks)
}

// checkServed sends requests for several hosts to every listener and checks that each is served by a server of a pool that
// the routes select.
func checkServed(t *testing.T, rt *rapid.T, cfg *config.Config, names map[string]string) {
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
			for i := range 50 { // the draw of the real request is unknown, so any pool of the route is accepted
				to, _ := table.Choose(&route.Request{Listener: l.Name, Class: "view", Host: host, Path: "/view/k", Headers: http.Header{}, HashKey: fmt.Sprint(i)})
				p, _ := cfg.Pool(to.Pool)
				for _, s := range p.Servers {
					want[names[s.Address]] = true
				}
			}
			if got := requestView(t, l.Address, host, "/view/k"); !want[got] {
				rt.Fatalf("%s at %s for %s: served by %q, want one of %v", l.Name, l.Address, host, got, want)
			}
		}
	}
}

// Plans that add, change and remove listeners, pools and routes are applied under a load of views and notes, and some are
// rolled back. Every request is answered once, no note runs twice, and none is lost.
func TestPlansUnderLoad(t *testing.T) {
	plans := 200
	if testing.Short() {
		plans = 30
	}
	var servers []*testpeer.FaultyServer
	var addresses []string
	for i := range 4 {
		b := testpeer.NewFaultyServer(testpeer.FaultyServerOptions{Name: fmt.Sprint("b", i), MeanServiceTime: 2 * time.Millisecond, Seed: uint64(i),
			Faults: testpeer.Faults{Fail: 0.01, Refuse: 0.02, Reset: 0.01, Cut: 0.005}})
		servers = append(servers, b)
		addresses = append(addresses, testpeer.NewServer(t, b.Serve).Address())
	}
	fx := newFixture(t)
	side := testpeer.ClosedPort(t)
	text := func(i int) string {
		more := fmt.Sprintf("pool \"q%d\" {\n attempts = %d\n server \"s\" {\n address = %q\n }\n}\n", i/3, 1+i%3, addresses[2+i%2])
		more += fmt.Sprintf("route \"r%d\" {\n classes = [%q]\n to \"q%d\" {\n weight = %d\n }\n to \"p\" {\n weight = 1\n }\n}\n",
			i%2, []string{"view", "note"}[i%2], i/3, 1+i%3)
		if i%40 < 20 {
			more += fmt.Sprintf("listener \"side%d\" {\n address = %q\n}\n", i%5, side)
		}
		return fx.configText("p", addresses[i%2], more)
	}
	fx.writeFile(t, text(0))
	fx.start(t)
	audit := testpeer.NewAudit()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		testpeer.Load{Audit: audit, Clients: 16, Addresses: func() []string { return []string{fx.listen, fx.listen, side} }, UnsafeShare: 0.5,
			Deadline: 15 * time.Second, Pause: time.Millisecond, Seed: 1}.Run(ctx)
		close(done)
	}()
	for i := 1; i <= plans; i++ {
		if _, err := fx.apply(t, fx.encodePlan(t, text(i))); err != nil {
			t.Fatal(err)
		}
		if i%10 == 0 {
			if _, err := fx.client().Rollback(t.Context(), fx.show(t).Running, testpeer.Limit, nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	stop()
	testpeer.Receive(t, done, "the load to stop")
	testpeer.Until(t, "all removed listeners and pools to be drained", func() bool { return len(fx.show(t).Status.Draining) == 0 })
	verdict := audit.Check(servers...)
	for i, w := range verdict.Violations {
		if i < 10 {
			t.Error(w)
		}
	}
	if verdict.Requests < 300 || verdict.Served < verdict.Requests/2 {
		t.Errorf("%d calls, %d served, want at least 300 calls and half of them served", verdict.Requests, verdict.Served)
	}
	t.Logf("%d plans and %d rollbacks; %d calls: %d served, %d refused (%.2f %%), %d failed, %d not taken", plans, plans/10, verdict.Requests, verdict.Served,
		verdict.Refused, 100*float64(verdict.Refused)/float64(verdict.Requests), verdict.Failed, verdict.NoResponse)
}

// Reload waits for a file that is missing while another one is renamed to its name. A file that stays missing changes nothing
// and is logged in one line.
func TestReloadOfMissingFile(t *testing.T) {
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	fx := newFixture(t)
	fx.writeFile(t, fx.configText("p1", serverA.Address(), ""))
	d, _ := fx.start(t)
	if err := os.Remove(fx.file); err != nil {
		t.Fatal(err)
	}
	d.Reload()
	if lines := strings.Count(fx.log.String(), "configuration reload failed"); lines != 1 || fx.show(t).Serial != 1 {
		t.Errorf("%d lines, serial %d", lines, fx.show(t).Serial)
	}
	fx.wantServed(t, "a")
	reloaded := make(chan struct{})
	go func() { d.Reload(); close(reloaded) }()
	select { // gives the reload time to find the file missing
	case <-reloaded:
		t.Fatal("the reload did not wait for the missing file")
	case <-time.After(50 * time.Millisecond):
	}
	next := fx.file + ".next"
	if err := os.WriteFile(next, []byte(fx.configText("p2", serverB.Address(), "")), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, fx.file); err != nil {
		t.Fatal(err)
	}
	testpeer.Receive(t, reloaded, "the reload to return")
	if s := fx.show(t); s.Serial != 2 {
		t.Errorf("serial %d", s.Serial)
	}
	fx.wantServed(t, "b")
}
