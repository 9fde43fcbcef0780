package daemon

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	_ "damsontrestle/internal/testpeer/seeded"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/testpeer"
)

func TestPlanApplyRollback(t *testing.T) {
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	fx := newFixture(t)
	first, second := fx.configText("p1", serverA.Address(), ""), fx.configText("p2", serverB.Address(), "")
	fx.writeFile(t, first)
	fx.start(t)
	if info, err := os.Stat(fx.socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket: %v, %v", info.Mode(), err)
	}
	s := fx.show(t)
	if s.Serial != 1 || s.By != "start" || s.Previous != nil || s.Config.Pools[0].Name != "p1" {
		t.Errorf("%+v", s)
	}
	if _, err := fx.client().Rollback(t.Context(), s.Running, 0, nil); err == nil {
		t.Error("rollback succeeded without a previous configuration")
	} else {
		wantCode(t, err, admin.CodeNoPrevious, "no configuration before")
	}
	p := fx.encodePlan(t, second)
	var steps []string
	running, err := fx.client().Apply(t.Context(), p, testpeer.Limit, func(l admin.ChangeEvent) { steps = append(steps, l.Step) })
	if err != nil || running.Serial != 2 || strings.Join(steps, " ") != "prepare persist commit retire" {
		t.Fatalf("%+v, %v, steps %v", running, err, steps)
	}
	fx.wantServed(t, "b")
	_, err = fx.apply(t, p)
	wantCode(t, err, admin.CodeStale, "made for serial 1")
	if running, err := fx.apply(t, fx.encodePlan(t, second)); err != nil || running.Serial != 2 {
		t.Errorf("plan without changes: %+v, %v", running, err)
	}
	s = fx.show(t)
	if s.Previous.Serial != 1 || s.LastChange == nil || s.LastChange.By != "apply" || s.LastChange.Error != "" {
		t.Errorf("%+v", s)
	}
	stale := s.Running
	stale.Serial = 1
	_, err = fx.client().Rollback(t.Context(), stale, testpeer.Limit, nil)
	wantCode(t, err, admin.CodeStale, "serial 2")
	if running, err := fx.client().Rollback(t.Context(), s.Running, testpeer.Limit, nil); err != nil || running.Serial != 3 {
		t.Fatalf("%+v, %v", running, err)
	}
	fx.wantServed(t, "a")
	if s := fx.show(t); s.Previous.Serial != 2 || s.By != "rollback" {
		t.Errorf("%+v", s)
	}
}

// A start uses the configuration that was applied last, whatever the file contains, unless Options.FromFile is set. A plan
// that was made before the restart is stale.
func TestRestartLoadsAppliedConfiguration(t *testing.T) {
	serverA, serverB := newNamedServer(t, "a"), newNamedServer(t, "b")
	fx := newFixture(t)
	first, second := fx.configText("p1", serverA.Address(), ""), fx.configText("p2", serverB.Address(), "")
	fx.writeFile(t, first)
	_, stop := fx.start(t)
	if _, err := fx.apply(t, fx.encodePlan(t, second)); err != nil {
		t.Fatal(err)
	}
	old := fx.encodePlan(t, first)
	stop()
	if _, err := fx.client().Show(t.Context()); !errors.Is(err, admin.ErrNoDaemon) {
		t.Errorf("%v", err)
	}
	_, stop = fx.start(t)
	s := fx.show(t)
	if s.Serial != 2 || !strings.Contains(s.StartSource, "serial 2 as it was put in place by apply; the file says something else") {
		t.Errorf("%d, %s", s.Serial, s.StartSource)
	}
	fx.wantServed(t, "b")
	_, err := fx.apply(t, old)
	wantCode(t, err, admin.CodeStale, "started again")
	if _, err := fx.client().Rollback(t.Context(), s.Running, testpeer.Limit, nil); err != nil { // also after a restart
		t.Fatal(err)
	}
	fx.wantServed(t, "a")
	stop()

	fx.writeFile(t, second)
	fx.options.FromFile = true
	_, stop = fx.start(t)
	if s := fx.show(t); s.Serial != 4 || s.Previous.Serial != 3 || !strings.Contains(s.StartSource, "as the start was told") {
		t.Errorf("%+v", s)
	}
	fx.wantServed(t, "b")
	stop()

	fx.options.FromFile = false
	_, stop = fx.start(t)
	if s := fx.show(t); s.Serial != 4 || !strings.Contains(s.StartSource, "the file says the same") {
		t.Errorf("%d, %s", s.Serial, s.StartSource)
	}
	stop()

	record := filepath.Join(fx.dir, "state", "running.json")
	if err := os.WriteFile(record, []byte("{half"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, stop = fx.start(t)
	if s := fx.show(t); s.Serial != 1 || !strings.Contains(s.StartSource, "the file: the state is damaged") || !strings.Contains(s.StartSource, "set aside as "+record+".damaged-0") {
		t.Errorf("%d, %s", s.Serial, s.StartSource)
	}
	stop()
	if text, _ := os.ReadFile(record + ".damaged-0"); string(text) != "{half" {
		t.Errorf("the renamed file holds %q, want the damaged record", text)
	}
}

// The error of a failed start names the cause, and the state folder is unchanged.
func TestFailedStarts(t *testing.T) {
	serverA := newNamedServer(t, "a")
	fx := newFixture(t)
	endedCtx, cancel := context.WithCancel(t.Context())
	cancel()
	startError := func() error {
		o := fx.options
		o.Node.StartContext = endedCtx // sockets that can't be opened are not retried
		o.File, o.Log = fx.file, slog.New(slog.NewTextHandler(io.Discard, nil))
		d, err := Start(o)
		if err == nil {
			d.node.Close()
		}
		return err
	}
	wantError := func(text string) {
		t.Helper()
		if err := startError(); err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("%v, want %q", err, text)
		}
	}
	wantError("no such file")
	fx.writeFile(t, strings.Replace(fx.configText("p", serverA.Address(), ""), `aim = "10s"`, `aim = "99s"`, 2))
	wantError("class.note.aim: found 1m39s") // and
	wantError("class.view.aim: found 1m39s")

	taken, err := net.Listen("tcp", fx.listen)
	if err != nil {
		t.Fatal(err)
	}
	fx.writeFile(t, fx.configText("p", serverA.Address(), ""))
	wantError(`listener "main"`)
	if _, err := os.Stat(filepath.Join(fx.dir, "state", "running.json")); err == nil {
		t.Error("a configuration that could not be started is recorded")
	}
	taken.Close()
	_, stop := fx.start(t)
	other := newFixture(t)
	other.socket = fx.socket
	other.writeFile(t, other.configText("p", serverA.Address(), ""))
	o := Options{File: other.file, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	if _, err := Start(o); err == nil || !strings.Contains(err.Error(), "another daemon answers") {
		t.Errorf("%v", err)
	}
	stop()
	if taken, err = net.Listen("tcp", fx.listen); err != nil {
		t.Fatal(err)
	}
	wantError("the start used the configuration that was applied last: a start with -from-file uses the file instead")
	taken.Close()

	fx.writeFile(t, strings.Replace(fx.configText("p", serverA.Address(), ""), `node "n1"`, `node "n2"`, 1))
	wantError("the state belongs to another node")
	if err := os.WriteFile(fx.socket, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	fx.writeFile(t, fx.configText("p", serverA.Address(), ""))
	wantError("exists and is not a socket")
}

// The admin socket that a killed daemon left behind is replaced.
func TestStaleSocketIsReplaced(t *testing.T) {
	fx := newFixture(t)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: fx.socket, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	ln.Close()
	fx.writeFile(t, fx.configText("p", newNamedServer(t, "a").Address(), ""))
	fx.start(t)
	fx.show(t)
}
