package main

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"damsontrestle/internal/testpeer"
)

// build builds the fault bench and the node program in a temporary folder.
func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "damsontrestle/cmd/faultbench", "damsontrestle/cmd/damsontrestle").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return dir
}

// childProcesses returns the running children of a process, keyed by stat path and start time.
func childProcesses(t *testing.T, parent int) map[string]bool {
	t.Helper()
	paths, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]bool{}
	for _, p := range paths {
		if id, of := processIdentity(p); of == parent {
			out[id] = true
		}
	}
	return out
}

// processIdentity returns a process's stat path with its start time, and its parent; zero values if it has ended.
func processIdentity(stat string) (id string, parent int) {
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

// listeningSockets returns the inodes of all listening TCP sockets on this machine.
func listeningSockets(t *testing.T) map[string]bool {
	t.Helper()
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]bool{}
	for _, line := range strings.Split(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 9 && f[3] == "0A" {
			out[f[9]] = true
		}
	}
	return out
}

// socketsOf returns those of the sockets that the processes have open; processes begin with the path of their stat file.
func socketsOf(sockets map[string]bool, processes []string) map[string]bool {
	out := map[string]bool{}
	for _, p := range processes {
		links, _ := filepath.Glob(filepath.Dir(strings.Fields(p)[0]) + "/fd/*")
		for _, l := range links {
			to, _ := os.Readlink(l)
			if inode, is := strings.CutPrefix(to, "socket:["); is && sockets[strings.TrimSuffix(inode, "]")] {
				out[strings.TrimSuffix(inode, "]")] = true
			}
		}
	}
	return out
}

// A fault bench that is killed leaves no process, no file and no port behind.
func TestKilledFaultBenchLeavesNoProcessesSocketsOrFiles(t *testing.T) {
	dir, temp := build(t), t.TempDir()
	cmd := exec.Command(filepath.Join(dir, "faultbench"), "run", "../../deploy/experiments/even.hcl", "--nodes", "6", "--program", filepath.Join(dir, "damsontrestle"))
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
	testpeer.Receive(t, ready, "that the nodes are ready")
	nodes := childProcesses(t, cmd.Process.Pid)
	if len(nodes) != 6 {
		t.Fatalf("the fault bench has %d children, want 6: %v", len(nodes), nodes)
	}
	sockets := listeningSockets(t)
	owned := socketsOf(sockets, append(slices.Collect(maps.Keys(nodes)), fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid)))
	if len(owned) < 6+60 {
		t.Errorf("the fault bench and its nodes have %d listening sockets; want at least one for each node and server", len(owned))
	}
	if err := cmd.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	cmd.Wait()
	killed = true
	testpeer.Until(t, "child processes exit with the fault bench", func() bool {
		for id := range nodes {
			if now, _ := processIdentity(strings.Fields(id)[0]); now != id {
				delete(nodes, id)
			}
		}
		return len(nodes) == 0
	})
	testpeer.Until(t, "the ports of the fault bench are free", func() bool {
		now := listeningSockets(t)
		for inode := range owned {
			if now[inode] {
				return false
			}
		}
		return true
	})
	if files, err := os.ReadDir(temp); err != nil || len(files) > 0 {
		t.Errorf("the fault bench left files: %v, %v", files, err)
	}
}
