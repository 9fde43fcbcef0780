package faultbench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"damsontrestle/internal/faultbench/child"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/link"
	"damsontrestle/internal/faultbench/nodefile"
)

// node is one node of the fleet: a process, or a policy of the fault bench.
type node struct {
	fleet         *fleet
	index         int
	zone          string
	registryLag   time.Duration // until its agent sees a registry change
	copies        int
	listen        string
	agent         *link.Relay
	file          *child.Memfile
	key           *child.Memfile // cluster key; nil: no membership between nodes
	peerListen    string         // address where it listens for peers
	peerAdvertise string         // address that peers use

	mu                 sync.Mutex
	process            *child.Process // nil while it is down
	previousCPU        time.Duration
	unexpectedExits    []string
	rng                *rand.Rand
	idle               map[string][]net.Conn
	terminatedAt       time.Time // of the last SIGTERM to the running process; zero: none
	slowClients        *experiment.Fault
	shortOfDescriptors bool // idle clients fill its descriptors
}

// startTimeout limits the time until a node is ready.
const startTimeout = time.Minute

func (n *node) zoneIndex() int { return slices.Index(n.fleet.zones, n.zone) }

// open assigns the node's addresses and opens its agent.
func (n *node) open() error {
	f := n.fleet
	n.idle = map[string][]net.Conn{}
	n.listen = f.subnet.Address(100+n.index/200, 1+n.index%200, 7070)
	if f.options.Policy != experiment.Program {
		return nil
	}
	var err error
	n.agent, err = link.Listen(f.subnet.Address(120+n.index/200, 1+n.index%200, 7080), f.random, func(c *link.Conn) { f.registry.serve(n, c) })
	if err != nil {
		return err
	}
	if f.experiment.ProbeInterval > 0 {
		n.peerListen = f.subnet.Address(140+n.index/200, 1+n.index%200, 7946)
		if n.peerAdvertise, err = f.mesh.Join(n.name(), n.zone, netip.MustParseAddrPort(n.peerListen)); err != nil {
			return err
		}
		if n.key, err = child.NewMemfile("key", []byte("the key of one experiment's cluster")); err != nil {
			return err
		}
	}
	n.file, err = child.NewMemfile(n.name()+".hcl", nil)
	return err
}

func (n *node) name() string { return fmt.Sprintf("n%d", n.index) }

func (n *node) configText() ([]byte, error) {
	f := n.fleet
	config := nodefile.Node{Index: n.index, Copies: n.copies, Zone: n.zone, Listen: n.listen, Registry: n.agent.Addr()}
	if n.key != nil {
		config.Peers = &nodefile.Peers{Listen: n.peerListen, Advertise: n.peerAdvertise, KeyFile: "/proc/self/fd/4", Region: f.experiment.ZoneRegion(n.zone), Seeds: f.seeds(), Period: f.experiment.ProbeInterval, Fresh: f.experiment.ZoneStateMaxAge}
	}
	return nodefile.Text(f.experiment, config)
}

// seeds returns the peer addresses of three nodes, in different zones if there are enough zones.
func (f *fleet) seeds() (seeds []string) {
	for _, k := range f.nodes[:min(3, len(f.nodes))] {
		seeds = append(seeds, k.peerAdvertise)
	}
	return seeds
}

// startNodes starts all processes, a limited number in parallel, and returns once all are ready.
func (f *fleet) startNodes(ctx context.Context) error {
	f.registry.publish()
	if f.options.Policy != experiment.Program {
		return nil
	}
	f.spawner = child.NewSpawner()
	parallel := f.options.ParallelStarts
	if parallel <= 0 {
		parallel = 16
	}
	for _, n := range f.nodes {
		text, err := n.configText()
		if err == nil {
			err = n.file.Rewrite(text)
		}
		if err != nil {
			return err
		}
	}
	slots := make(chan struct{}, parallel)
	errs := make([]error, len(f.nodes))
	var wg sync.WaitGroup
	for i, n := range f.nodes {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			errs[i] = n.start(ctx, 0)
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

// start starts the process and waits until it is ready.
func (n *node) start(ctx context.Context, skew time.Duration) error {
	f := n.fleet
	logBytes := f.options.LogBytes
	if logBytes <= 0 {
		logBytes = 16 << 10
	}
	var env []string
	if skew != 0 {
		env = append(env, "DAMSONTRESTLE_CLOCK_OFF="+skew.String())
	}
	p, err := f.spawner.Launch(f.options.Binary, n.file, n.key, logBytes, env, func(line string) {
		f.recordStatusChange(n, line)
		f.recordZoneStateChange(n, line)
		if f.options.OnLogLine != nil {
			f.options.OnLogLine(f.now(), n.index, line)
		}
	})
	if err != nil {
		return fmt.Errorf("node %d: %w", n.index, err)
	}
	n.mu.Lock()
	n.process = p
	n.terminatedAt = time.Time{}
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !n.ready(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("node %d: not ready in time: %w\n%s", n.index, ctx.Err(), p.Log)
		case <-p.Done:
			return fmt.Errorf("node %d: %s", n.index, p.UnexpectedExit())
		case <-time.After(20 * time.Millisecond):
		}
	}
	if skew != 0 && !strings.Contains(p.Log.String(), "the clock is off") {
		return fmt.Errorf("node %d: %s does not support clock skew; build it with -tags rig", n.index, f.options.Binary)
	}
	return nil
}

// ready reports whether the node answers its readiness check with success.
func (n *node) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.listen+"/health/ready", nil)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(request)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends the process and adds its CPU time so far to previousCPU.
func (n *node) stop(sig syscall.Signal, within time.Duration) {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	if p == nil {
		return
	}
	cpu, _ := child.ResourceUsage(p.Cmd.Process.Pid)
	p.Stop(sig, within)
	n.mu.Lock()
	n.process = nil
	n.previousCPU += cpu
	n.mu.Unlock()
}

// crashReport describes the node's unexpected process exits, or returns "" if there were none.
func (n *node) crashReport() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		if words := n.process.UnexpectedExit(); words != "" {
			n.unexpectedExits = append(n.unexpectedExits, words)
		}
	}
	if len(n.unexpectedExits) == 0 {
		return ""
	}
	return fmt.Sprintf("node %d %s", n.index, strings.Join(n.unexpectedExits, "; "))
}

func (n *node) close() {
	n.stop(syscall.SIGKILL, 0)
	if n.agent != nil {
		n.agent.Close()
	}
	for _, m := range []*child.Memfile{n.file, n.key} {
		if m != nil {
			m.Close()
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, free := range n.idle {
		for _, c := range free {
			c.Close()
		}
	}
}
