package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// class is an entry of the settings' lanes.
type class struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"`
	KeyScope   string  `json:"key-scope"`
	TargetMS   float64 `json:"target-ms"`
	DeadlineMS float64 `json:"deadline-ms"`
	WindowMS   float64 `json:"window-ms"`
	LateShare  float64 `json:"late-share"`
	Worth      float64 `json:"worth"`
	Stream     bool    `json:"stream"`
}

// siteClasses are the classes of the site file kollam-coast.toml.
func siteClasses() []class {
	return []class{
		{Name: "view-interval", Effect: "read_like", KeyScope: "all", TargetMS: 1500, DeadlineMS: 4000, WindowMS: 5000, Worth: 12},
		{Name: "add-note", Effect: "non_idempotent", KeyScope: "all", TargetMS: 1500, DeadlineMS: 4000, WindowMS: 5000, Worth: 1},
		{Name: "log-interval", Effect: "non_idempotent", KeyScope: "all", TargetMS: 1500, DeadlineMS: 4000, WindowMS: 5000, Worth: 1},
	}
}

// settings returns the settings of one node in the form of WIRE-damsontrestle.md, with the figures of the site file.
func settings(index, nodes int, classes []class) map[string]any {
	return map[string]any{
		"balancers": nodes, "me": index, "tier": 0, "zone": "chavara", "tick-ms": 5.0,
		"blend":   map[string]any{"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.2},
		"callers": map[string]any{"marks-retry": false},
		"family":  "chain",
		"lanes":   classes,
		"limits": map[string]any{"cancelling": true, "conn-idle-ms": 60000.0, "connect-timeout-ms": 250.0,
			"cpu-us-per-request": 0.0, "cpu-us-per-s": 500000, "max-attempts": 4, "max-retry-after-ms": 2000.0, "max-streams": 1,
			"may-probe": true, "open-cap": 370366, "peers": false, "retry-after": true, "second-copies": false},
		"family-info":      map[string]any{"passes-deadline": true},
		"fees":             map[string]any{"connection": 0.0, "cross-zone": 0.005, "handshake": 0.05, "late-fail": 0.03, "probe": 0.01, "waste": 0.04},
		"localities":       []string{"chavara", "karunagappally"},
		"over-share-worth": 0.1,
		"registry-mode":    "pushed",
		"rules": map[string]any{"answer-slack-ms": 20.0, "ask-within-ms": 10000.0, "cold-from": 0.13, "fall-ms": 1000.0,
			"fall-multiple": 3.0, "stop-sending-within-ms": 1000.0, "warm-after-ms": 20000.0},
		"shapes":    []string{"front-std"},
		"telemetry": map[string]any{"fields": []string{"failed_ps", "cpu_share"}, "via": "piggyback"},
		"tenants":   []any{}, "tiers": []string{"annot-front", "log-store"}, "weights": "silent", "worth-by": "request",
	}
}

// node is one node process, started by the deploy file's command.
type node struct {
	name, addr, config, dir string
	cmd                     *exec.Cmd
	log                     *os.File
	exited                  chan error
}

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// deployCommand returns a command of deploy/balancer.toml.
func deployCommand(root, name string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	must(err)
	for line := range strings.SplitSeq(string(text), "\n") {
		key, value, _ := strings.Cut(line, " = ")
		if key == name {
			return strings.Trim(value, `"`)
		}
	}
	fail("deploy/balancer.toml has no " + name)
	return ""
}

// writeConfig writes the node's configuration, in one rename.
func (n *node) writeConfig(c map[string]any) {
	text, err := json.Marshal(c)
	must(err)
	must(os.WriteFile(n.config+".new", text, 0o644))
	must(os.Rename(n.config+".new", n.config))
}

// start starts the process as the platform does and waits until GET /health/ready has answered 200.
func (n *node) start() {
	tmp := filepath.Join(n.dir, fmt.Sprintf("tmp-%s-%d", n.name, time.Now().UnixNano()))
	must(os.MkdirAll(tmp, 0o755))
	n.cmd = exec.Command("/bin/sh", "-c", deployCommand(rootDir, "run"))
	n.cmd.Dir = rootDir
	n.cmd.Env = append(os.Environ(), "BALANCER_NAME="+n.name, "BALANCER_LISTEN="+n.addr, "BALANCER_CONFIG="+n.config, "TMPDIR="+tmp)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(n.cmd.Start())
	record("node %s started at %s, process %d", n.name, n.addr, n.cmd.Process.Pid)
	n.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan error) { exited <- cmd.Wait() }(n.cmd, n.exited)
	for range 300 {
		resp, err := http.Get("http://" + n.addr + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	fail("node " + n.name + " was not ready within 30 s")
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	record("%v to node %s", s, n.name)
	n.cmd.Process.Signal(s)
}

// kill ends the process.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	n.cmd.Process.Kill()
	select {
	case <-n.exited:
	case <-time.After(5 * time.Second):
	}
}

// newNode prepares a node of a deployment.
func newNode(index, nodes int, discovery string, classes []class, known list) *node {
	n := &node{name: fmt.Sprintf("n%d", index), addr: freeAddr(), dir: workDir}
	n.config = filepath.Join(workDir, n.name+".json")
	var err error
	n.log, err = os.Create(filepath.Join(workDir, n.name+".log"))
	must(err)
	n.writeConfig(n.configuration(index, nodes, discovery, classes, known))
	return n
}

func (n *node) configuration(index, nodes int, discovery string, classes []class, known list) map[string]any {
	return map[string]any{
		"name": n.name, "listen": n.addr, "discovery": discovery, "seed": fmt.Sprintf("8c1f30d27a5be%03x", index+1),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known":    known,
		"settings": settings(index, nodes, classes),
	}
}

// Limits of a node.
var memoryMB, sockets = 192, 1024
