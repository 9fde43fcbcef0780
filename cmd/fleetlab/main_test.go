package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// limit is how long a test waits for what must come; only a failing one waits so long.
const limit = 60 * time.Second

const lasting = `experiment "lasting" {
  seed    = 1
  measure = "10m"
}
zone "a" {}
nodes "front" {
  count = 6
}
servers "box" {
  count   = 4
  slots   = 4
  queue   = 10
  service = "20ms"
}
class "view" {
  effect   = "safe"
  aim      = "1s"
  deadline = "2s"
  share    = 1
}
callers {
  rate = 2
}
`

// build makes the rig and the node's program in a folder of their own.
func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "woodpick/cmd/fleetlab", "woodpick/cmd/damsontrestle").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return dir
}

// children are the processes that a process has started and that run, by their ids and the times of their start.
func children(t *testing.T, parent int) map[string]bool {
	t.Helper()
	paths, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]bool{}
	for _, p := range paths {
		if id, of := identity(p); of == parent {
			out[id] = true
		}
	}
	return out
}

// identity tells a process by its id and its start, and who its parent is; nothing of one that has ended.
func identity(stat string) (id string, parent int) {
	text, err := os.ReadFile(stat)
	if err != nil {
		return "", 0
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(f) < 20 || f[0] == "Z" || f[0] == "X" {
		return "", 0
	}
	fmt.Sscan(f[1], &parent)
	return stat + " " + f[19], parent
}

// A rig that is killed leaves no process and no file behind.
func TestAKilledRigLeavesNothing(t *testing.T) {
	dir, temp := build(t), t.TempDir()
	file := filepath.Join(dir, "lasting.hcl")
	if err := os.WriteFile(file, []byte(lasting), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(dir, "fleetlab"), "run", file, "--program", filepath.Join(dir, "damsontrestle"))
	cmd.Env = append(os.Environ(), "TMPDIR="+temp)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	killed := false
	defer func() {
		if !killed {
			cmd.Process.Kill()
			cmd.Wait()
		}
	}()
	ready := make(chan string, 1)
	go func() {
		in := bufio.NewScanner(log)
		for in.Scan() {
			if strings.Contains(in.Text(), "nodes are ready") {
				ready <- in.Text()
			}
		}
	}()
	select {
	case <-ready:
	case <-time.After(limit):
		t.Fatal("the nodes were not ready in time")
	}
	nodes := children(t, cmd.Process.Pid)
	if len(nodes) != 6 {
		t.Fatalf("the rig has %d children, want 6: %v", len(nodes), nodes)
	}
	if err := cmd.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	cmd.Wait()
	killed = true
	for end := time.Now().Add(limit); len(nodes) > 0; time.Sleep(5 * time.Millisecond) {
		for id := range nodes {
			if now, _ := identity(strings.Fields(id)[0]); now != id {
				delete(nodes, id)
			}
		}
		if time.Now().After(end) {
			t.Fatalf("these outlive the rig: %v", nodes)
		}
	}
	if left, err := os.ReadDir(temp); err != nil || len(left) > 0 {
		t.Errorf("it leaves files: %v, %v", left, err)
	}
}
