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
	a, b := named(t, "a"), named(t, "b")
	r := newFixture(t)
	first, second := r.text("p1", a.Address(), ""), r.text("p2", b.Address(), "")
	r.write(t, first)
	r.start(t)
	if info, err := os.Stat(r.socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket: %v, %v", info.Mode(), err)
	}
	s := r.show(t)
	if s.Serial != 1 || s.By != "start" || s.Previous != nil || s.Config.Pools[0].Name != "p1" {
		t.Errorf("%+v", s)
	}
	if _, err := r.client().Rollback(t.Context(), s.Running, 0, nil); err == nil {
		t.Error("rolled back to nothing")
	} else {
		wantCode(t, err, admin.CodeNothing, "no configuration before")
	}
	p := r.plan(t, second)
	var steps []string
	running, err := r.client().Apply(t.Context(), p, testpeer.Limit, func(l admin.Line) { steps = append(steps, l.Step) })
	if err != nil || running.Serial != 2 || strings.Join(steps, " ") != "prepare persist commit retire" {
		t.Fatalf("%+v, %v, steps %v", running, err, steps)
	}
	r.wantServed(t, "b")
	_, err = r.apply(t, p)
	wantCode(t, err, admin.CodeStale, "made for serial 1")
	if running, err := r.apply(t, r.plan(t, second)); err != nil || running.Serial != 2 {
		t.Errorf("a plan of nothing: %+v, %v", running, err)
	}
	s = r.show(t)
	if s.Previous.Serial != 1 || s.Last == nil || s.Last.By != "apply" || s.Last.Error != "" {
		t.Errorf("%+v", s)
	}
	stale := s.Running
	stale.Serial = 1
	_, err = r.client().Rollback(t.Context(), stale, testpeer.Limit, nil)
	wantCode(t, err, admin.CodeStale, "serial 2")
	if running, err := r.client().Rollback(t.Context(), s.Running, testpeer.Limit, nil); err != nil || running.Serial != 3 {
		t.Fatalf("%+v, %v", running, err)
	}
	r.wantServed(t, "a")
	if s := r.show(t); s.Previous.Serial != 2 || s.By != "rollback" {
		t.Errorf("%+v", s)
	}
}

// What was applied is found again at the next start, whatever the file says, unless the start is told to take
// the file; a plan that was made before is stale.
func TestRestartLoadsAppliedConfiguration(t *testing.T) {
	a, b := named(t, "a"), named(t, "b")
	r := newFixture(t)
	first, second := r.text("p1", a.Address(), ""), r.text("p2", b.Address(), "")
	r.write(t, first)
	_, stop := r.start(t)
	if _, err := r.apply(t, r.plan(t, second)); err != nil {
		t.Fatal(err)
	}
	old := r.plan(t, first)
	stop()
	if _, err := r.client().Show(t.Context()); !errors.Is(err, admin.ErrNoDaemon) {
		t.Errorf("%v", err)
	}
	_, stop = r.start(t)
	s := r.show(t)
	if s.Serial != 2 || !strings.Contains(s.Start, "serial 2 as it was put in place by apply; the file says something else") {
		t.Errorf("%d, %s", s.Serial, s.Start)
	}
	r.wantServed(t, "b")
	_, err := r.apply(t, old)
	wantCode(t, err, admin.CodeStale, "started again")
	if _, err := r.client().Rollback(t.Context(), s.Running, testpeer.Limit, nil); err != nil { // also after a restart
		t.Fatal(err)
	}
	r.wantServed(t, "a")
	stop()

	r.write(t, second)
	r.options.FromFile = true
	_, stop = r.start(t)
	if s := r.show(t); s.Serial != 4 || s.Previous.Serial != 3 || !strings.Contains(s.Start, "as the start was told") {
		t.Errorf("%+v", s)
	}
	r.wantServed(t, "b")
	stop()

	r.options.FromFile = false
	_, stop = r.start(t)
	if s := r.show(t); s.Serial != 4 || !strings.Contains(s.Start, "the file says the same") {
		t.Errorf("%d, %s", s.Serial, s.Start)
	}
	stop()

	record := filepath.Join(r.dir, "state", "running.json")
	if err := os.WriteFile(record, []byte("{half"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, stop = r.start(t)
	if s := r.show(t); s.Serial != 1 || !strings.Contains(s.Start, "the file: the state is damaged") || !strings.Contains(s.Start, "set aside as "+record+".damaged-0") {
		t.Errorf("%d, %s", s.Serial, s.Start)
	}
	stop()
	if text, _ := os.ReadFile(record + ".damaged-0"); string(text) != "{half" {
		t.Errorf("set aside: %q", text)
	}
}

// A start that can't be says why, and leaves the state as it was.
func TestFailedStarts(t *testing.T) {
	a := named(t, "a")
	r := newFixture(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	begin := func() error {
		o := r.options
		o.Node.StartContext = ended // it tries no socket again
		o.File, o.Log = r.file, slog.New(slog.NewTextHandler(io.Discard, nil))
		d, err := Start(o)
		if err == nil {
			d.node.Close()
		}
		return err
	}
	want := func(say string) {
		t.Helper()
		if err := begin(); err == nil || !strings.Contains(err.Error(), say) {
			t.Errorf("%v, want %q", err, say)
		}
	}
	want("no such file")
	r.write(t, strings.Replace(r.text("p", a.Address(), ""), `aim = "10s"`, `aim = "99s"`, 2))
	want("class.note.aim: found 1m39s") // and
	want("class.view.aim: found 1m39s")

	taken, err := net.Listen("tcp", r.listen)
	if err != nil {
		t.Fatal(err)
	}
	r.write(t, r.text("p", a.Address(), ""))
	want(`listener "main"`)
	if _, err := os.Stat(filepath.Join(r.dir, "state", "running.json")); err == nil {
		t.Error("what could not start is kept")
	}
	taken.Close()
	_, stop := r.start(t)
	other := newFixture(t)
	other.socket = r.socket
	other.write(t, other.text("p", a.Address(), ""))
	o := Options{File: other.file, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	if _, err := Start(o); err == nil || !strings.Contains(err.Error(), "another daemon answers") {
		t.Errorf("%v", err)
	}
	stop()
	if taken, err = net.Listen("tcp", r.listen); err != nil {
		t.Fatal(err)
	}
	want("this is the configuration that was applied last: a start with -from-file takes the file instead")
	taken.Close()

	r.write(t, strings.Replace(r.text("p", a.Address(), ""), `node "n1"`, `node "n2"`, 1))
	want("the state belongs to another node")
	if err := os.WriteFile(r.socket, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	r.write(t, r.text("p", a.Address(), ""))
	want("is there and is no socket")
}

// A socket that a killed daemon left behind is taken over.
func TestStaleSocketIsReplaced(t *testing.T) {
	r := newFixture(t)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: r.socket, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	ln.Close()
	r.write(t, r.text("p", named(t, "a").Address(), ""))
	r.start(t)
	r.show(t)
}
