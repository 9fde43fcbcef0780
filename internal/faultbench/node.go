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

	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/child"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/link"
	"damsontrestle/internal/faultbench/nodefile"
)

// node is one node of the fleet: a process, or a policy of the fault bench's own.
type node struct {
	fleet  *fleet
	index  int
	zone   string
	lag    time.Duration // of its list
	copies int
	listen string
	agent  *link.Relay
	file   *child.Memfile
	key    *child.Memfile // of the cluster; nil: nodes do not know one another
	own    string         // where it listens for peers, and
	seen   string         // where they see it

	mu      sync.Mutex
	process *child.Process // nil while it is down
	spent   time.Duration
	deaths  []string
	rng     *rand.Rand
	idle    map[string][]net.Conn
}

// startLimit bounds how long a node may take until it is ready.
const startLimit = time.Minute

func (n *node) zoneIndex() int { return slices.Index(n.fleet.zones, n.zone) }

// open takes the node's addresses and opens its agent.
func (n *node) open() error {
	f := n.fleet
	n.idle = map[string][]net.Conn{}
	n.listen = f.net.Address(100+n.index/200, 1+n.index%200, 7070)
	if f.o.Policy != experiment.Program {
		return nil
	}
	var err error
	n.agent, err = link.Listen(f.net.Address(120+n.index/200, 1+n.index%200, 7080), f.dice, func(c *link.Conn) { f.list.serve(n, c) })
	if err != nil {
		return err
	}
	if f.e.ProbeInterval > 0 {
		n.own = f.net.Address(140+n.index/200, 1+n.index%200, 7946)
		if n.seen, err = f.mesh.Join(n.name(), n.zone, netip.MustParseAddrPort(n.own)); err != nil {
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

func (n *node) text() ([]byte, error) {
	f := n.fleet
	d := nodefile.Node{Index: n.index, Copies: n.copies, Zone: n.zone, Listen: n.listen, Registry: n.agent.Addr()}
	if n.key != nil {
		d.Peers = &nodefile.Peers{Listen: n.own, Advertise: n.seen, KeyFile: "/proc/self/fd/4", Region: f.e.ZoneRegion(n.zone), Seeds: f.seeds(), Period: f.e.ProbeInterval, Fresh: f.e.ZoneStateMaxAge}
	}
	return nodefile.Text(f.e, d)
}

// seeds are where three nodes are seen that lie in different zones, as far as there are as many.
func (f *fleet) seeds() (seeds []string) {
	for _, k := range f.nodes[:min(3, len(f.nodes))] {
		seeds = append(seeds, k.seen)
	}
	return seeds
}

// startNodes starts all processes, some at a time, and returns once all are ready.
func (f *fleet) startNodes(ctx context.Context) error {
	f.list.news()
	if f.o.Policy != experiment.Program {
		return nil
	}
	f.spawner = child.NewSpawner()
	at := f.o.Starts
	if at <= 0 {
		at = 16
	}
	for _, n := range f.nodes {
		text, err := n.text()
		if err == nil {
			err = n.file.Rewrite(text)
		}
		if err != nil {
			return err
		}
	}
	turn := make(chan struct{}, at)
	errs := make([]error, len(f.nodes))
	var all sync.WaitGroup
	for i, n := range f.nodes {
		turn <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			defer func() { <-turn }()
			errs[i] = n.start(ctx, 0)
		}()
	}
	all.Wait()
	return errors.Join(errs...)
}

// start starts the process and waits until it is ready.
func (n *node) start(ctx context.Context, skew time.Duration) error {
	f := n.fleet
	keep := f.o.KeepLog
	if keep <= 0 {
		keep = 16 << 10
	}
	var env []string
	if skew != 0 {
		env = append(env, "DAMSONTRESTLE_CLOCK_OFF="+skew.String())
	}
	p, err := f.spawner.Launch(f.o.Binary, n.file, n.key, keep, env, func(line string) {
		f.sight(n, line)
		f.word(n, line)
	})
	if err != nil {
		return fmt.Errorf("node %d: %w", n.index, err)
	}
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, startLimit)
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
		return fmt.Errorf("node %d: %s takes no clock that is off; build it with -tags rig", n.index, f.o.Binary)
	}
	return nil
}

// ready asks the node whether it is.
func (n *node) ready(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.listen+"/health/ready", nil)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends the process; what it took until now is kept in the books.
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
	n.spent += cpu
	n.mu.Unlock()
}

// crashed tells of a process that ended by itself.
func (n *node) crashed() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		if words := n.process.UnexpectedExit(); words != "" {
			n.deaths = append(n.deaths, words)
		}
	}
	if len(n.deaths) == 0 {
		return ""
	}
	return fmt.Sprintf("node %d %s", n.index, strings.Join(n.deaths, "; "))
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

// strike has a fault of nodes begin, and returns what ends it, or nil.
func (n *node) strike(ctx context.Context, ft experiment.Fault) {
	f := n.fleet
	from := f.now()
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	if p == nil {
		return
	}
	again := func(skew time.Duration) {
		f.fail(n.start(ctx, skew))
		f.audit.RecordOutage(audit.Outage{Node: n.index, From: from, To: f.now()})
	}
	switch ft.Kind {
	case experiment.Kill, experiment.ClockSkew:
		f.audit.RecordOutage(audit.Outage{Node: n.index, From: from, To: ft.To})
		f.struck(Strike{ft.Name, n.index, from, ft.To})
		n.stop(syscall.SIGKILL, 0)
		if ft.Kind == experiment.ClockSkew {
			again(ft.Offset)
			return
		}
		f.await(ctx, ft.To)
		if ctx.Err() == nil {
			again(0)
		}
	case experiment.Stop:
		f.audit.RecordOutage(audit.Outage{Node: n.index, From: from, To: ft.To + 100*time.Millisecond})
		f.struck(Strike{ft.Name, n.index, from, ft.To})
		f.fail(p.Signal(syscall.SIGSTOP))
		f.await(ctx, ft.To)
		f.fail(p.Signal(syscall.SIGCONT))
	case experiment.Restart:
		n.stop(syscall.SIGTERM, 15*time.Second)
		f.audit.RecordOutage(audit.Outage{Node: n.index, From: f.now() - 100*time.Millisecond, To: f.now()})
		from = f.now()
		again(0)
	case experiment.ChangeNodeCount:
		n.copies = ft.Count
		text, err := n.text()
		if err == nil {
			err = n.file.Rewrite(text)
		}
		if err == nil {
			err = p.Signal(syscall.SIGHUP)
		}
		f.fail(err)
	}
}
