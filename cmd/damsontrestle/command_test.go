package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/config"
	"damsontrestle/internal/faultbench/link"
	"damsontrestle/internal/plan"
	"damsontrestle/internal/testpeer"
)

// site is a folder with a node's file.
type site struct {
	dir, file, listen string
}

func newSite(t *testing.T) *site {
	t.Helper()
	dir, err := os.MkdirTemp("", "s")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return &site{dir: dir, file: filepath.Join(dir, "node.hcl"), listen: testpeer.ClosedPort(t)}
}

// text is a file whose pool has these servers.
func (s *site) text(servers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node \"n1\" {\n state_folder = %q\n admin_socket = %q\n limits {\n memory = \"128MiB\"\n descriptors = 512\n }\n}\n",
		s.dir+"/state", s.dir+"/admin")
	for _, c := range [][2]string{{"view", "safe"}, {"note", "unsafe"}} {
		fmt.Fprintf(&b, "class %q {\n effect = %q\n aim = \"10s\"\n deadline = \"20s\"\n}\n", c[0], c[1])
	}
	fmt.Fprintf(&b, "listener \"main\" {\n address = %q\n}\npool \"p\" {\n", s.listen)
	for i, address := range servers {
		fmt.Fprintf(&b, " server \"s%d\" {\n address = %q\n }\n", i, address)
	}
	b.WriteString("}\nroute \"all\" {\n default = true\n pool = \"p\"\n}\n")
	return b.String()
}

func (s *site) write(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(s.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// serve starts a node and waits until it answers on its socket.
func (s *site) serve(t *testing.T, flags ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(program(t), append([]string{"serve", s.file}, flags...)...)
	log, err := os.OpenFile(s.dir+"/log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	testpeer.Until(t, "the node to answer", func() bool {
		show, err := admin.NewClient(s.dir + "/admin").Show(t.Context())
		return err == nil && show.Node == "n1"
	})
	return cmd
}

// run runs a command and returns what it wrote and its exit code.
func (s *site) run(t *testing.T, args ...string) (out, errs string, code int) {
	t.Helper()
	cmd := exec.Command(program(t), args...)
	var o, e strings.Builder
	cmd.Stdout, cmd.Stderr = &o, &e
	if err := cmd.Run(); err != nil {
		var x *exec.ExitError
		if !errors.As(err, &x) {
			t.Fatal(err)
		}
		code = x.ExitCode()
	}
	return o.String(), e.String(), code
}

func (s *site) want(t *testing.T, code int, say string, args ...string) string {
	t.Helper()
	out, errs, got := s.run(t, args...)
	if got != code || !strings.Contains(out+errs, say) {
		t.Errorf("%v: code %d, %q, %q; want %d, %q", args, got, out, errs, code, say)
	}
	return out
}

func TestCommandsAndTheirExitCodes(t *testing.T) {
	a, b := testpeer.NewServer(t, testpeer.Echo), testpeer.NewServer(t, testpeer.Echo)
	s := newSite(t)
	p := s.dir + "/plan"
	s.write(t, s.text(a.Address()))
	s.want(t, 0, "is valid: 2 classes, 1 listeners, 1 pools, 1 routes", "validate", s.file)
	s.want(t, 1, "no daemon answers at "+s.dir+"/admin", "plan", s.file)
	s.want(t, 1, "start one with serve FILE", "show", s.file)
	s.serve(t)
	s.want(t, 0, "No changes.", "plan", s.file, "-detailed-exitcode")
	s.want(t, 0, "serial 1", "show", s.file)
	s.want(t, 1, "has no configuration before this one", "rollback", s.file, "-auto-approve")

	s.write(t, s.text(a.Address(), b.Address()))
	s.want(t, 0, `+ servers.s1.address = "`+b.Address(), "plan", s.file)
	s.want(t, 2, "Plan: 0 to add, 1 to change, 0 to remove.", "plan", s.file, "-out", p, "-detailed-exitcode")
	if info, err := os.Stat(p); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the plan: %v, %v", info.Mode(), err)
	}
	var asJSON planJSON
	if err := json.Unmarshal([]byte(s.want(t, 2, `"format_version":1`, "plan", s.file, "--json", "--detailed-exitcode")), &asJSON); err != nil ||
		asJSON.Summary.Change != 1 || asJSON.Changes[0].Kind != "pool" || asJSON.Base.Serial != 1 {
		t.Errorf("%+v, %v", asJSON, err)
	}
	s.write(t, s.text(b.Address()))
	s.want(t, 1, "has changed since the plan was made: plan again, or give -allow-changed-file", "apply", p)
	s.want(t, 0, "serial 1", "show", s.file)
	s.want(t, 0, "Apply complete: node \"n1\" runs serial 2", "apply", p, "-allow-changed-file")
	var show admin.ShowResponse
	if err := json.Unmarshal([]byte(s.want(t, 0, "", "show", "-json", "-socket", s.dir+"/admin")), &show); err != nil || len(show.Config.Pools[0].Servers) != 2 {
		t.Errorf("something else than the plan was applied: %+v, %v", show.Config, err)
	}
	s.want(t, 1, "the plan is stale", "apply", p, "-allow-changed-file")
	s.want(t, 1, "not confirmed; nothing was changed", "rollback", s.file)
	s.want(t, 0, "Rollback complete: node \"n1\" runs serial 3", "rollback", s.file, "-auto-approve")
	s.want(t, 1, "the plan is stale", "apply", p, "-allow-changed-file")

	s.write(t, s.text(a.Address(), b.Address()))
	s.want(t, 0, "", "plan", s.file, "-out", p)
	text, _ := os.ReadFile(p)
	os.WriteFile(p, text[:len(text)-10], 0o600)
	s.want(t, 1, "the plan can't be read: it is cut short", "apply", p)
	os.WriteFile(p, []byte(strings.Replace(string(text), b.Address(), a.Address(), 1)), 0o600)
	s.want(t, 1, "its digest does not match", "apply", p)
	os.WriteFile(p, text, 0o600)
	os.Remove(s.file)
	s.want(t, 1, "the file that the plan was made from can't be read", "apply", p)
	s.want(t, 0, `{"done":true`, "apply", p, "-allow-changed-file", "-json")

	s.write(t, strings.Replace(s.text(a.Address()), `"n1"`, `"n2"`, 1))
	s.want(t, 1, "the plan is for another node", "plan", s.file)
	s.write(t, strings.Replace(s.text(a.Address()), `"safe"`, `"save"`, 1))
	s.want(t, 1, s.file+`:10:2: class.view.effect: found "save"`, "validate", s.file)
	s.want(t, 1, `found "save"`, "plan", s.file)
	var invalid struct {
		Valid    bool
		Problems []config.Problem
	}
	if err := json.Unmarshal([]byte(s.want(t, 1, "", "validate", "-json", s.file)), &invalid); err != nil || invalid.Valid || len(invalid.Problems) != 1 || invalid.Problems[0].Line != 10 {
		t.Errorf("%+v, %v", invalid, err)
	}
	s.want(t, 1, "no admin socket is named", "show")
	s.want(t, 1, "unknown command", "destroy")
	s.want(t, 1, "unknown flag: --fast", "plan", s.file, "-fast")
	s.want(t, 0, "bash completion", "completion", "bash")
	s.want(t, 0, "damsontrestle", "version")
}

// A node that serves a file ends with 0 on SIGTERM, reads the file again on SIGHUP, and ends with 1 and all that
// is wrong if it can't start.
func TestServeSignals(t *testing.T) {
	a := testpeer.NewServer(t, testpeer.Echo)
	s := newSite(t)
	s.write(t, strings.Replace(s.text(a.Address()), `aim = "10s"`, `aim = "1h"`, 2))
	out, errs, code := s.run(t, "serve", s.file)
	if code != 1 || strings.Count(errs, "found 1h0m0s; allowed: 1ms to 20s") != 2 || out != "" {
		t.Errorf("code %d, %q", code, errs)
	}
	s.write(t, s.text(a.Address()))
	cmd := s.serve(t)
	c := testpeer.Dial(t, s.listen)
	c.Send("GET", "/view/k", "one", "", "15")
	c.Want(t, 200, "for one")
	b := testpeer.NewServer(t, testpeer.Echo)
	s.write(t, s.text(a.Address(), b.Address()))
	cmd.Process.Signal(syscall.SIGHUP)
	testpeer.Until(t, "the file to be taken over", func() bool {
		show, err := admin.NewClient(s.dir + "/admin").Show(t.Context())
		return err == nil && show.Serial == 2 && show.By == "reload"
	})
	c.Send("GET", "/view/k", "two", "", "15")
	c.Want(t, 200, "for two")
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if _, err := os.Stat(s.dir + "/admin"); err == nil {
		t.Error("the socket is left behind")
	}
}

// Killed at any moment of an apply, the node starts with the old configuration or the new one, complete, and
// says which. The moments are counted in the steps that the node tells, and lie within a step by a part of the
// time that the last one took, so that they are as many on a slow machine.
func TestKillDuringApply(t *testing.T) {
	kills := 120
	if testing.Short() {
		kills = 10
	}
	var names [3]string
	for i := range names {
		name := fmt.Sprint("box", i)
		names[i] = testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool { return testpeer.Reply200(c, name) }).Address()
	}
	s := newSite(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var may []string // fingerprints that the next start may find
	configs := map[string]*config.Config{}
	found := map[string]int{}
	s.write(t, s.text(names[0]))
	for kill := range kills {
		cmd := s.serve(t)
		client := admin.NewClient(s.dir + "/admin")
		show, err := client.Show(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if may != nil {
			switch show.Fingerprint {
			case may[0]:
				found["old"]++
			case may[1]:
				found["new"]++
			default:
				t.Fatalf("kill %d: found %s, which is neither %v", kill, show.Fingerprint, may)
			}
			if d := plan.Diff(configs[show.Fingerprint], show.Config); len(d) > 0 || !strings.Contains(show.StartSource, "as it was put in place") && kill > 1 {
				t.Fatalf("kill %d: %v, %s", kill, d, show.StartSource)
			}
			c := testpeer.Dial(t, s.listen)
			c.Send("GET", "/view/k", fmt.Sprint("kill-", kill), "", "15")
			if _, body := c.Answer(t); !serves(show.Config, names, body) {
				t.Fatalf("kill %d: served by %q", kill, body)
			}
			c.Close()
		}
		configs[show.Fingerprint] = show.Config
		// apply puts another configuration in place, and tells of each step that the node has done.
		apply := func(i int, step func(admin.ChangeEvent)) error {
			base, err := client.Show(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			cfg, problems := config.Parse([]byte(s.text(names[(kill+i)%3], names[(kill+i+1)%3])), "x")
			if problems.Err() != nil {
				t.Fatal(problems)
			}
			cfg.Pools[0].MaxAttempts = 1 + (base.Config.Pools[0].MaxAttempts+rng.IntN(7))%8 // another than before
			may, configs[cfg.Fingerprint()] = []string{base.Fingerprint, cfg.Fingerprint()}, cfg
			text, _ := plan.New(base.Running, base.Config, cfg, plan.Source{}, "", time.Now()).Encode()
			if step == nil { // killed before anything is asked of it
				cmd.Process.Kill()
			}
			_, err = client.Apply(t.Context(), text, time.Second, step)
			return err
		}
		took := time.Millisecond // by the last step
		steps := 0
		for i := range 1 + rng.IntN(2) {
			steps = 0
			if err := apply(i, func(l admin.ChangeEvent) { steps++; took, _ = time.ParseDuration(l.Took) }); err != nil {
				t.Fatalf("kill %d: apply %d: %v", kill, i, err)
			}
		}
		if at, within := rng.IntN(steps+1), rng.Float64(); at == 0 {
			apply(2, nil)
		} else {
			told := 0
			apply(2, func(admin.ChangeEvent) {
				if told++; told == at {
					time.AfterFunc(time.Duration(within*float64(took)), func() { cmd.Process.Kill() })
				}
			})
		}
		cmd.Process.Kill()
		cmd.Wait()
	}
	t.Logf("%d kills: %d starts with the old, %d with the new", kills, found["old"], found["new"])
	if found["old"] == 0 || found["new"] == 0 {
		t.Errorf("the kills were all on one side of the change: %v", found)
	}
}

// serves says that a configuration's pool has the server that answered.
func serves(cfg *config.Config, names [3]string, body string) bool {
	for _, srv := range cfg.Pools[0].Servers {
		for i, address := range names {
			if srv.Address == address && body == fmt.Sprint("box", i) {
				return true
			}
		}
	}
	return false
}

// The README's first command works from a clone: servers and a node come up, a request is served, a plan is shown,
// applied and rolled back.
func TestQuickStart(t *testing.T) {
	dir, err := os.MkdirTemp("", "f")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	cmd := exec.Command("bash", "../../deploy/first-minute.sh")
	cmd.Env = append(os.Environ(), "FIRST_MINUTE_DIR="+dir, "FIRST_MINUTE_LISTEN="+testpeer.ClosedPort(t),
		"FIRST_MINUTE_BOXES="+testpeer.ClosedPort(t)+","+testpeer.ClosedPort(t))
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, want := range []string{"box-1 load-one-", "200 OK", "Plan: 0 to add, 1 to change, 0 to remove.", "Apply complete: node \"first\" runs serial 2",
		" 0 failed, 0 not taken", "Rollback complete: node \"first\" runs serial 3"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("%q is missing in\n%s", want, out)
		}
	}
}

// So does the first federation: a request goes to the other partner, and one whose gateway is killed is answered by the next.
func TestFederationQuickStart(t *testing.T) {
	dir, err := os.MkdirTemp("", "f")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	part, err := link.AcquireSubnet()
	if err != nil {
		t.Fatal(err)
	}
	defer part.Close()
	cmd := exec.Command("bash", "../../deploy/first-federation.sh")
	cmd.Env = append(os.Environ(), "FIRST_FEDERATION_DIR="+dir, "FIRST_FEDERATION_NET="+strings.TrimSuffix(part.IP(1, 1), ".1"))
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, want := range []string{"links, 2 offers (0 of stale partners)", "karunagappally-box-", " a-1\n", "chavara-box-", " a-2\n", "X-Settled: 1"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("%q is missing in\n%s", want, out)
		}
	}
}

// A node tells what it knows of others and of zones; one whose file has neither says so.
func TestShowMembersAndZoneState(t *testing.T) {
	a := testpeer.NewServer(t, testpeer.Echo)
	s := newSite(t)
	s.write(t, s.text(a.Address()))
	alone := s.serve(t)
	s.want(t, 1, "its file has no peers block", "members", s.file)
	s.want(t, 1, "its file has no peers block with fresh", "facts", s.file)
	alone.Process.Kill()
	alone.Wait()
	key := filepath.Join(s.dir, "key")
	if err := os.WriteFile(key, []byte("a key of sixteen bytes or more"), 0o600); err != nil {
		t.Fatal(err)
	}
	peers := fmt.Sprintf("peers {\n listen = %q\n key_file = %q\n fresh = \"1s\"\n region = \"south\"\n}\n limits {", testpeer.ClosedPort(t), key)
	s.write(t, strings.Replace(s.text(a.Address()), "limits {", peers, 1))
	s.want(t, 1, "node.peers.fresh: found 1s; allowed: 4.27s", "validate", s.editedFile(t, `fresh = "1s"`, "fresh = \"1s\"\n delay = \"100ms\""))
	s.serve(t, "-from-file")
	s.want(t, 0, "0 alive, 0 suspect, 0 dead, 0 left beside this node", "members", s.file)
	testpeer.Until(t, "what it knows of its own zone to be shown", func() bool {
		out, _, _ := s.run(t, "facts", s.file)
		return strings.Contains(out, "fresh: up to 1s") && strings.Contains(out, "ALONE") && strings.Contains(out, "newest") && strings.Contains(out, "configuration")
	})
}

// editedFile is a copy of the file with something in another's place.
func (s *site) editedFile(t *testing.T, from, to string) string {
	t.Helper()
	text, err := os.ReadFile(s.file)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(s.dir, "edited.hcl")
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), from, to, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
