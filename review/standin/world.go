package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// runCommand starts a node; it is the run command of deploy/balancer.toml.
const runCommand = "exec bin/damsontrestle"

// errCannotRun marks a case that could not run on this machine.
var errCannotRun = errors.New("the case can't run")

// world holds everything that a case starts.
type world struct {
	start   time.Time
	folder  string // temporary, removed at the end
	trouble bool
	mu      sync.Mutex
	record  *os.File
	broken  []string
	nodes   []*node
}

// newWorld opens the record and the temporary folder of a case.
func newWorld(recordFile string) (*world, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: record}
	w.logf("disruption: %v", w.trouble)
	return w, nil
}

// since returns the seconds since the start of the case.
func (w *world) since(t time.Time) float64 { return t.Sub(w.start).Seconds() }

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", w.since(time.Now()), fmt.Sprintf(format, args...))
}

// violate records that the rule was broken.
func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.logf("RULE BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// end stops all processes, removes the temporary folder and prints the result.
func (w *world) end() (exitCode int) {
	for _, n := range w.nodes {
		n.kill()
	}
	os.RemoveAll(w.folder)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) == 0 {
		fmt.Fprintln(w.record, "RESULT: the rule held")
		fmt.Println("the rule held")
		return 0
	}
	fmt.Fprintf(w.record, "RESULT: the rule was broken %d times\n", len(w.broken))
	fmt.Printf("the rule was broken %d times; first: %s\n", len(w.broken), w.broken[0])
	return 1
}

// class is a class of requests as the settings tell it.
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

// classes are those of the deployment kollam-coast.
func classes() []class {
	return []class{
		{Name: "view-interval", Effect: "read_like", KeyScope: "all", TargetMS: 1500, DeadlineMS: 4000, WindowMS: 5000, Worth: 12},
		{Name: "add-note", Effect: "non_idempotent", KeyScope: "all", TargetMS: 1500, DeadlineMS: 4000, WindowMS: 5000, Worth: 1},
		{Name: "log-interval", Effect: "non_idempotent", KeyScope: "all", TargetMS: 1500, DeadlineMS: 4000, WindowMS: 5000, Worth: 1},
	}
}

// nodeOptions is what a node is told beside the defaults.
type nodeOptions struct {
	name      string
	discovery string
	classes   []class
	balancers int
	index     int
	memoryMB  int
	sockets   int
	mode      string // of discovery
	known     json.RawMessage
}

// node is a process of the program under review.
type node struct {
	w       *world
	name    string
	address string
	config  string // file
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
	log     *bytes.Buffer
	options nodeOptions
}

// freePort returns an address of the loopback network that is free now.
func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// configure writes a node's configuration file, by rename.
func (n *node) configure() error {
	o := n.options
	if o.known == nil {
		o.known = json.RawMessage(`{"rev":0,"all":true,"targets":[]}`)
	}
	settings := map[string]any{
		"balancers":        o.balancers,
		"me":               o.index,
		"blend":            map[string]any{"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.2},
		"callers":          map[string]any{"marks-retry": false},
		"family":           "chain",
		"family-info":      map[string]any{"passes-deadline": true},
		"fees":             map[string]any{"handshake": 0.05, "waste": 0.04, "late-fail": 0.03, "probe": 0.01, "cross-zone": 0.005},
		"lanes":            o.classes,
		"limits":           map[string]any{"cancelling": true, "conn-idle-ms": 60000.0, "connect-timeout-ms": 250.0, "max-attempts": 4, "max-retry-after-ms": 2000.0, "max-streams": 1, "may-probe": true, "open-cap": 370366, "peers": false, "retry-after": true, "second-copies": false},
		"localities":       []string{"chavara", "karunagappally"},
		"over-share-worth": 0.1,
		"registry-mode":    o.mode,
		"rules":            map[string]any{"answer-slack-ms": 20.0, "ask-within-ms": 10000.0, "cold-from": 0.13, "fall-ms": 1000.0, "fall-multiple": 3.0, "stop-sending-within-ms": 1000.0, "warm-after-ms": 20000.0},
		"shapes":           []string{"front-std"},
		"telemetry":        map[string]any{"fields": []string{"failed_ps", "cpu_share"}, "via": "piggyback"},
		"tenants":          []string{},
		"tick-ms":          5.0,
		"tier":             0,
		"tiers":            []string{"annot-front", "log-store"},
		"weights":          "silent",
		"worth-by":         "request",
		"zone":             "chavara",
	}
	text, err := json.MarshalIndent(map[string]any{
		"name":      n.name,
		"listen":    n.address,
		"discovery": o.discovery,
		"seed":      "8c1f30d27a5be964",
		"limits":    map[string]any{"cores": 1.0, "memory_mb": o.memoryMB, "sockets": o.sockets},
		"known":     o.known,
		"settings":  settings,
	}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(n.config+".new", n.config)
}

// startNode starts a node and waits until it is ready.
func (w *world) startNode(o nodeOptions) (*node, error) {
	if o.classes == nil {
		o.classes = classes()
	}
	if o.balancers == 0 {
		o.balancers = 1
	}
	if o.memoryMB == 0 {
		o.memoryMB = 192
	}
	if o.sockets == 0 {
		o.sockets = 1024
	}
	if o.mode == "" {
		o.mode = "pushed"
	}
	address, err := freePort()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	n := &node{w: w, name: o.name, address: address, config: filepath.Join(w.folder, o.name+".json"), options: o}
	if err := n.configure(); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	if err := n.run(); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	w.nodes = append(w.nodes, n)
	if !n.awaitReady(20 * time.Second) {
		w.logf("log of %s: %s", n.name, n.log)
		return nil, fmt.Errorf("%w: %s is not ready", errCannotRun, n.name)
	}
	w.logf("node %s listens at %s, process %d", n.name, n.address, n.cmd.Process.Pid)
	return n, nil
}

// run starts the process.
func (n *node) run() error {
	tmp, err := os.MkdirTemp(n.w.folder, "tmp-")
	if err != nil {
		return err
	}
	n.log = &bytes.Buffer{}
	n.cmd = exec.Command("/bin/sh", "-c", runCommand)
	n.cmd.Env = append(os.Environ(), "TMPDIR="+tmp, "BALANCER_NAME="+n.name, "BALANCER_LISTEN="+n.address,
		"BALANCER_DISCOVERY="+n.options.discovery, "BALANCER_CONFIG="+n.config)
	n.cmd.Stdout = n.log
	n.cmd.Stderr = n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.exited = make(chan struct{})
	if err := n.cmd.Start(); err != nil {
		return err
	}
	go func() {
		n.exitErr = n.cmd.Wait()
		close(n.exited)
	}()
	return nil
}

// awaitReady polls GET /health/ready.
func (n *node) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c, err := dial(n.address)
		if err != nil {
			continue
		}
		c.write("GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
		status, _, err := c.readResponse(time.Now().Add(time.Second))
		c.Close()
		if err == nil && status == 200 {
			return true
		}
	}
	return false
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.w.logf("%v to %s", s, n.name)
	n.cmd.Process.Signal(s)
}

// hasExited reports whether the process has ended.
func (n *node) hasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// kill ends the process, if it runs, and writes its log to the record.
func (n *node) kill() {
	if !n.hasExited() {
		n.cmd.Process.Kill()
		<-n.exited
	}
	n.w.logf("log of %s:\n%s", n.name, n.log)
}

// seconds formats a duration as X-Deadline.
func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
