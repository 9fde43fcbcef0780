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

// testNode is a node with its configuration file, state and socket in a folder.
type testNode struct {
	dir, configFile, listen string
}

func newTestNode(t *testing.T) *testNode {
	t.Helper()
	dir, err := os.MkdirTemp("", "s")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return &testNode{dir: dir, configFile: filepath.Join(dir, "node.hcl"), listen: testpeer.ClosedPort(t)}
}

// configText returns a configuration whose pool has these servers.
func (s *testNode) configText(servers ...string) string {
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

func (s *testNode) writeConfig(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(s.configFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// startServing starts the node and waits until its admin socket answers.
func (s *testNode) startServing(t *testing.T, flags ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(programPath(t), append([]string{"serve", s.configFile}, flags...)...)
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
	testpeer.Until(t, "the admin socket to answer", func() bool {
		show, err := admin.NewClient(s.dir + "/admin").Show(t.Context())
		return err == nil && show.Node == "n1"
	})
	return cmd
}

// runCommand runs the program and returns its output, its errors and its exit code.
func (s *testNode) runCommand(t *testing.T, args ...string) (out, errs string, code int) {
	t.Helper()
	cmd := exec.Command(programPath(t), args...)
	var stdout, stderr strings.Builder
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		var exitErr *exec.ExitError
		if !errors.As(err, &exitErr) {
			t.Fatal(err)
		}
		code = exitErr.ExitCode()
	}
	return stdout.String(), stderr.String(), code
}

// wantOutput runs the program, checks its exit code and that its output or errors contain wantText, and returns the output.
func (s *testNode) wantOutput(t *testing.T, code int, wantText string, args ...string) string {
	t.Helper()
	out, errs, got := s.runCommand(t, args...)
	if got != code || !strings.Contains(out+errs, wantText) {
		t.Errorf("%v: code %d, %q, %q; want %d, %q", args, got, out, errs, code, wantText)
	}
	return out
}

func TestCommandExitCodes(t *testing.T) {
	a, b := testpeer.NewServer(t, testpeer.Echo), testpeer.NewServer(t, testpeer.Echo)
	node := newTestNode(t)
	planFile := node.dir + "/plan"
	node.writeConfig(t, node.configText(a.Address()))
	node.wantOutput(t, 0, "is valid: 2 classes, 1 listeners, 1 pools, 1 routes", "validate", node.configFile)
	node.wantOutput(t, 1, "no daemon answers at "+node.dir+"/admin", "plan", node.configFile)
	node.wantOutput(t, 1, "start one with serve FILE", "show", node.configFile)
	node.startServing(t)
	node.wantOutput(t, 0, "No changes.", "plan", node.configFile, "-detailed-exitcode")
	node.wantOutput(t, 0, "serial 1", "show", node.configFile)
	node.wantOutput(t, 1, "has no previous configuration", "rollback", node.configFile, "-auto-approve")

	node.writeConfig(t, node.configText(a.Address(), b.Address()))
	node.wantOutput(t, 0, `+ servers.s1.address = "`+b.Address(), "plan", node.configFile)
	node.wantOutput(t, 2, "Plan: 0 to add, 1 to change, 0 to remove.", "plan", node.configFile, "-out", planFile, "-detailed-exitcode")
	if info, err := os.Stat(planFile); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("plan file: mode %v, %v; want 0600", info.Mode(), err)
	}
	var asJSON planJSON
	if err := json.Unmarshal([]byte(node.wantOutput(t, 2, `"format_version":1`, "plan", node.configFile, "--json", "--detailed-exitcode")), &asJSON); err != nil ||
		asJSON.Summary.Change != 1 || asJSON.Changes[0].Kind != "pool" || asJSON.Base.Serial != 1 {
		t.Errorf("%+v, %v", asJSON, err)
	}
	node.writeConfig(t, node.configText(b.Address()))
	node.wantOutput(t, 1, "has changed since the plan was made: plan again, or give -allow-changed-file", "apply", planFile)
	node.wantOutput(t, 0, "serial 1", "show", node.configFile)
	node.wantOutput(t, 0, "Apply complete: node \"n1\" runs serial 2", "apply", planFile, "-allow-changed-file")
	var show admin.ShowResponse
	if err := json.Unmarshal([]byte(node.wantOutput(t, 0, "", "show", "-json", "-socket", node.dir+"/admin")), &show); err != nil || len(show.Config.Pools[0].Servers) != 2 {
		t.Errorf("the plan was not applied as it was made: %+v, %v", show.Config, err)
	}
	node.wantOutput(t, 1, "the plan is stale", "apply", planFile, "-allow-changed-file")
	node.wantOutput(t, 1, "rollback not confirmed; nothing was changed", "rollback", node.configFile)
	node.wantOutput(t, 0, "Rollback complete: node \"n1\" runs serial 3", "rollback", node.configFile, "-auto-approve")
	node.wantOutput(t, 1, "the plan is stale", "apply", planFile, "-allow-changed-file")

	node.writeConfig(t, node.configText(a.Address(), b.Address()))
	node.wantOutput(t, 0, "", "plan", node.configFile, "-out", planFile)
	text, _ := os.ReadFile(planFile)
	os.WriteFile(planFile, text[:len(text)-10], 0o600)
	node.wantOutput(t, 1, "the plan can't be read: it is cut short", "apply", planFile)
	os.WriteFile(planFile, []byte(strings.Replace(string(text), b.Address(), a.Address(), 1)), 0o600)
	node.wantOutput(t, 1, "its digest does not match", "apply", planFile)
	os.WriteFile(planFile, text, 0o600)
	os.Remove(node.configFile)
	node.wantOutput(t, 1, "can't read the file that the plan was made from", "apply", planFile)
	node.wantOutput(t, 0, `{"done":true`, "apply", planFile, "-allow-changed-file", "-json")

	node.writeConfig(t, strings.Replace(node.configText(a.Address()), `"n1"`, `"n2"`, 1))
	node.wantOutput(t, 1, "the plan is for another node", "plan", node.configFile)
	node.writeConfig(t, strings.Replace(node.configText(a.Address()), `"safe"`, `"save"`, 1))
	node.wantOutput(t, 1, node.configFile+`:10:2: class.view.effect: found "save"`, "validate", node.configFile)
	node.wantOutput(t, 1, `found "save"`, "plan", node.configFile)
	var invalid struct {
		Valid    bool
		Problems []config.Problem
	}
	if err := json.Unmarshal([]byte(node.wantOutput(t, 1, "", "validate", "-json", node.configFile)), &invalid); err != nil || invalid.Valid || len(invalid.Problems) != 1 || invalid.Problems[0].Line != 10 {
		t.Errorf("%+v, %v", invalid, err)
	}
	node.wantOutput(t, 1, "no admin socket is configured", "show")
	node.wantOutput(t, 1, "unknown command", "destroy")
	node.wantOutput(t, 1, "unknown flag: --fast", "plan", node.configFile, "-fast")
	node.wantOutput(t, 0, "bash completion", "completion", "bash")
	node.wantOutput(t, 0, "damsontrestle", "version")
}

// A node started by serve exits with 0 on SIGTERM and reloads its file on SIGHUP. If its file is not valid, it exits with 1
// and reports every problem.
func TestServeSignals(t *testing.T) {
	a := testpeer.NewServer(t, testpeer.Echo)
	node := newTestNode(t)
	node.writeConfig(t, strings.Replace(node.configText(a.Address()), `aim = "10s"`, `aim = "1h"`, 2))
	out, errs, code := node.runCommand(t, "serve", node.configFile)
	if code != 1 || strings.Count(errs, "found 1h0m0s; allowed: 1ms to 20s") != 2 || out != "" {
		t.Errorf("serve of an invalid file: code %d, %q", code, errs)
	}
	node.writeConfig(t, node.configText(a.Address()))
	cmd := node.startServing(t)
	c := testpeer.Dial(t, node.listen)
	c.Send("GET", "/view/k", "one", "", "15")
	c.Want(t, 200, "for one")
	b := testpeer.NewServer(t, testpeer.Echo)
	node.writeConfig(t, node.configText(a.Address(), b.Address()))
	cmd.Process.Signal(syscall.SIGHUP)
	testpeer.Until(t, "the reloaded file to run", func() bool {
		show, err := admin.NewClient(node.dir + "/admin").Show(t.Context())
		return err == nil && show.Serial == 2 && show.By == "reload"
	})
	c.Send("GET", "/view/k", "two", "", "15")
	c.Want(t, 200, "for two")
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}
	if _, err := os.Stat(node.dir + "/admin"); err == nil {
		t.Error("the admin socket was not removed")
	}
}

// A node killed at any moment of an apply starts with the complete old or new configuration, and reports which. The kill
// comes after a random number of reported steps plus a random fraction of the previous step's duration, so that the kills
// are spread over the entire apply on a slow machine too.
func TestKillDuringApply(t *testing.T) {
	kills := 120
	if testing.Short() {
		kills = 10
	}
	var addresses [3]string
	for i := range addresses {
		name := fmt.Sprint("box", i)
		addresses[i] = testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool { return testpeer.Reply200(c, name) }).Address()
	}
	node := newTestNode(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var candidates []string // the fingerprints that the next start may run
	configs := map[string]*config.Config{}
	found := map[string]int{}
	node.writeConfig(t, node.configText(addresses[0]))
	for kill := range kills {
		cmd := node.startServing(t)
		client := admin.NewClient(node.dir + "/admin")
		show, err := client.Show(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if candidates != nil {
			switch show.Fingerprint {
			case candidates[0]:
				found["old"]++
			case candidates[1]:
				found["new"]++
			default:
				t.Fatalf("kill %d: running fingerprint is %s, want one of %v", kill, show.Fingerprint, candidates)
			}
			if d := plan.Diff(configs[show.Fingerprint], show.Config); len(d) > 0 || !strings.Contains(show.StartSource, "as it was put in place") && kill > 1 {
				t.Fatalf("kill %d: differences %v, started from %s", kill, d, show.StartSource)
			}
			c := testpeer.Dial(t, node.listen)
			c.Send("GET", "/view/k", fmt.Sprint("kill-", kill), "", "15")
			if _, body := c.Answer(t); !poolHasServer(show.Config, addresses, body) {
				t.Fatalf("kill %d: reply %q is not of a configured server", kill, body)
			}
			c.Close()
		}
		configs[show.Fingerprint] = show.Config
		// apply applies another configuration and calls step after each completed step. If step is nil, it first kills the node.
		apply := func(i int, step func(admin.ChangeEvent)) error {
			base, err := client.Show(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			cfg, problems := config.Parse([]byte(node.configText(addresses[(kill+i)%3], addresses[(kill+i+1)%3])), "x")
			if problems.Err() != nil {
				t.Fatal(problems)
			}
			cfg.Pools[0].MaxAttempts = 1 + (base.Config.Pools[0].MaxAttempts+rng.IntN(7))%8 // differs from the previous value
			candidates, configs[cfg.Fingerprint()] = []string{base.Fingerprint, cfg.Fingerprint()}, cfg
			text, _ := plan.New(base.Running, base.Config, cfg, plan.Source{}, "", time.Now()).Encode()
			if step == nil { // killed before the request is sent
				cmd.Process.Kill()
			}
			_, err = client.Apply(t.Context(), text, time.Second, step)
			return err
		}
		lastStep := time.Millisecond // duration of the last step
		steps := 0
		for i := range 1 + rng.IntN(2) {
			steps = 0
			if err := apply(i, func(l admin.ChangeEvent) { steps++; lastStep, _ = time.ParseDuration(l.Took) }); err != nil {
				t.Fatalf("kill %d: apply %d: %v", kill, i, err)
			}
		}
		if killAtStep, fraction := rng.IntN(steps+1), rng.Float64(); killAtStep == 0 {
			apply(2, nil)
		} else {
			stepsSeen := 0
			apply(2, func(admin.ChangeEvent) {
				if stepsSeen++; stepsSeen == killAtStep {
					time.AfterFunc(time.Duration(fraction*float64(lastStep)), func() { cmd.Process.Kill() })
				}
			})
		}
		cmd.Process.Kill()
		cmd.Wait()
	}
	t.Logf("%d kills: %d starts with the old configuration, %d with the new", kills, found["old"], found["new"])
	if found["old"] == 0 || found["new"] == 0 {
		t.Errorf("all starts ran the same side of the change, want both: %v", found)
	}
}

// poolHasServer reports whether the pool of cfg has the server whose reply is body.
func poolHasServer(cfg *config.Config, addresses [3]string, body string) bool {
	for _, srv := range cfg.Pools[0].Servers {
		for i, address := range addresses {
			if srv.Address == address && body == fmt.Sprint("box", i) {
				return true
			}
		}
	}
	return false
}

// The README's first command works in a fresh clone: it starts servers and a node, sends a request, and plans, applies and
// rolls back a change.
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

// The README's federation script works too: a request is forwarded to the other partner, and a request whose gateway is
// killed is answered by the next gateway.
func TestFederationQuickStart(t *testing.T) {
	dir, err := os.MkdirTemp("", "f")
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	part, err := link.TakePart()
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

// The commands that show membership and zone state work for a node with a peers block, and fail for a node without one.
func TestShowMembersAndZoneState(t *testing.T) {
	a := testpeer.NewServer(t, testpeer.Echo)
	node := newTestNode(t)
	node.writeConfig(t, node.configText(a.Address()))
	withoutPeers := node.startServing(t)
	node.wantOutput(t, 1, "its file has no peers block", "members", node.configFile)
	node.wantOutput(t, 1, "its file has no peers block with fresh", "facts", node.configFile)
	withoutPeers.Process.Kill()
	withoutPeers.Wait()
	key := filepath.Join(node.dir, "key")
	if err := os.WriteFile(key, []byte("a key of sixteen bytes or more"), 0o600); err != nil {
		t.Fatal(err)
	}
	peers := fmt.Sprintf("peers {\n listen = %q\n key_file = %q\n fresh = \"1s\"\n region = \"south\"\n}\n limits {", testpeer.ClosedPort(t), key)
	node.writeConfig(t, strings.Replace(node.configText(a.Address()), "limits {", peers, 1))
	node.wantOutput(t, 1, "node.peers.fresh: found 1s; allowed: 4.27s", "validate", node.writeEditedConfig(t, `fresh = "1s"`, "fresh = \"1s\"\n delay = \"100ms\""))
	node.startServing(t, "-from-file")
	node.wantOutput(t, 0, "0 alive, 0 suspect, 0 dead, 0 left beside this node", "members", node.configFile)
	testpeer.Until(t, "the state of the node's own zone to be shown", func() bool {
		out, _, _ := node.runCommand(t, "facts", node.configFile)
		return strings.Contains(out, "fresh: up to 1s") && strings.Contains(out, "ALONE") && strings.Contains(out, "newest") && strings.Contains(out, "configuration")
	})
}

// writeEditedConfig writes a copy of the configuration file with the first from replaced by to, and returns its path.
func (s *testNode) writeEditedConfig(t *testing.T, from, to string) string {
	t.Helper()
	text, err := os.ReadFile(s.configFile)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(s.dir, "edited.hcl")
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), from, to, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
