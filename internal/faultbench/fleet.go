// Package faultbench plays an experiment with real processes: N nodes by `damsontrestle serve`, with servers, their registry
// and clients in this process, all traffic between zones through relays that fail on purpose (internal/faultbench/link), and
// an auditor that joins what clients heard with what servers ran (internal/faultbench/audit). It leaves nothing behind: files
// of nodes are in memory only, and children end with the fault bench, also when that is killed.
package faultbench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/child"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/link"
	"damsontrestle/internal/faultbench/world"
)

// Options are how a run is made.
type Options struct {
	Policy         experiment.Policy
	Binary         string // of the program
	Name           string // of that build, for the result
	Log            func(format string, args ...any)
	ParallelStarts int // processes that start at once; 0: 16
	LogBytes       int // bytes of each node's log that are kept; 0: 16 KiB
}

// fleet is one run under way.
type fleet struct {
	experiment *experiment.Experiment
	options    Options
	subnet     *link.Subnet
	audit      *audit.Audit
	random     *link.Random
	zones      []string
	hosts      []*host // by place
	nodes      []*node
	spawner    *child.Spawner
	registry   *registry
	mesh       *link.Mesh
	startTime  atomic.Pointer[time.Time] // when the first request is due

	mu               sync.Mutex
	linkFaults       []experiment.Fault // of links, in force
	hostsByID        map[string]*host   // by uid
	world            *world.Fleet
	maxLateness      time.Duration // by which the fault bench was late, and
	lateness         []float64     // all lateness, in seconds
	errs             []error
	statusChanges    []StatusChange
	zoneStateChanges []ZoneStateChange
	ageBreaches      []audit.Breach // ages that were under-reported
	strikes          []Strike
}

// Result is what a run came to. The version tells its form.
type Result struct {
	Version    int
	Experiment string
	Seed       uint64
	Policy     string
	Program    string `json:",omitempty"` // what the build that was run is called
	Figures    audit.Metrics
	Breaches   []audit.Breach
	Slow       string `json:",omitempty"` // why nothing is judged: the fault bench was too slow
	Cost       Cost
	Strikes    []Strike          `json:",omitempty"`
	Sights     []StatusChange    `json:",omitempty"` // what nodes came to hold of one another
	Words      []ZoneStateChange `json:",omitempty"` // what they came to say of what they know of zones
	Logs       []string          `json:",omitempty"` // the ends of the logs of nodes that ended by themselves
}

// ResultVersion is the form that this build writes.
const ResultVersion = 1

// Cost is what the run took.
type Cost struct {
	Processes    int
	RigCPU       time.Duration // of this process
	NodesCPU     time.Duration // of all nodes together
	CPUPerCall   time.Duration // of the nodes
	NodeMemory   int64         // resident bytes, mean
	RigMemory    int64
	LateP99      time.Duration // by which requests were sent after they were due
	LateMost     time.Duration
	Starting     time.Duration // until all were ready
	MostOpenRig  int           // descriptors of this process
	NodesCrashed int
	Asks         int // of nodes to servers, how much they hold

	// Of what nodes tell one another, over the whole run.
	Datagrams     float64 `json:",omitempty"` // a second that a node sent
	DatagramBytes float64 `json:",omitempty"` // in them, without headers of UDP and IP
	MostBytes     float64 `json:",omitempty"` // of the node that sent most
}

// Beyond these the fault bench was too slow to judge others.
const (
	lateP99Limit  = 20 * time.Millisecond
	lateMostLimit = 400 * time.Millisecond
)

// Run plays an experiment once.
func Run(ctx context.Context, e *experiment.Experiment, o Options) (res *Result, err error) {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	f := &fleet{experiment: e, options: o, audit: audit.New(), random: link.NewRandom(e.Seed), hostsByID: map[string]*host{}}
	for _, z := range e.Zones {
		f.zones = append(f.zones, z.Name)
	}
	if f.subnet, err = link.AcquireSubnet(); err != nil {
		return nil, err
	}
	defer f.subnet.Close()
	defer f.close()
	f.setStart(time.Now())
	if err := f.build(); err != nil {
		return nil, err
	}
	begin := time.Now()
	if err := f.startNodes(ctx); err != nil {
		return nil, err
	}
	starting := time.Since(begin)
	o.Log("%d nodes are ready after %v", len(f.nodes), starting.Round(time.Millisecond))
	before := f.cost()
	f.play(ctx)
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	res = f.result(before)
	res.Cost.Starting = starting
	if err := errors.Join(f.errs...); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	return res, nil
}

// build opens the servers' relays, the registry and the nodes' places.
func (f *fleet) build() error {
	f.world = world.NewFleet(f.experiment)
	f.registry = newRegistry(f)
	f.mesh = link.NewMesh(f.random, f.nodeLinkShape)
	for i, s := range f.world.Servers {
		h, err := f.newHost(i, s)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
		f.hostsByID[s.ID] = h
	}
	lags := f.experiment.RegistryLags()
	for i, zone := range f.experiment.NodeZones() {
		n := &node{fleet: f, index: i, zone: zone, registryLag: lags[i], copies: len(f.experiment.NodeZones()), rng: rand.New(rand.NewPCG(f.experiment.Seed, uint64(i)+1<<32))}
		if err := n.open(); err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	return nil
}

// end ends every child and closes every socket.
func (f *fleet) close() {
	if f.spawner != nil {
		f.spawner.Close()
	}
	var all sync.WaitGroup
	closing := func(c func()) {
		all.Add(1)
		go func() {
			defer all.Done()
			c()
		}()
	}
	for _, n := range f.nodes {
		closing(n.close)
	}
	for _, h := range f.hosts {
		closing(h.close)
	}
	if f.mesh != nil {
		closing(f.mesh.Close)
	}
	all.Wait()
}

// now is the time of the run: since the first request was due.
func (f *fleet) now() time.Duration { return time.Since(*f.startTime.Load()) }

// of is the time of the run of an instant.
func (f *fleet) runTime(t time.Time) time.Duration { return t.Sub(*f.startTime.Load()) }

// begin has the time of the run start at an instant.
func (f *fleet) setStart(at time.Time) { f.startTime.Store(&at) }

// late notes by how much the fault bench was late for something that was due.
func (f *fleet) recordLateness(by time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxLateness = max(f.maxLateness, by)
	f.lateness = append(f.lateness, by.Seconds())
}

func (f *fleet) fail(err error) {
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.errs = append(f.errs, err)
	}
}

// play has clients ask and faults strike until all is over.
func (f *fleet) play(ctx context.Context) {
	f.setStart(time.Now().Add(50 * time.Millisecond))
	f.mesh.ResetTraffic()
	f.mu.Lock()
	for i := range f.zoneStateChanges { // what was said before is so when the run begins
		f.zoneStateChanges[i].At = 0
	}
	f.mu.Unlock()
	ctx, stop := context.WithCancel(ctx)
	var all, sampling sync.WaitGroup
	sampling.Add(2)
	go func() {
		defer sampling.Done()
		f.sample(ctx)
	}()
	go func() {
		defer sampling.Done()
		f.injectFaults(ctx)
	}()
	streams := world.NewStreams(f.experiment, "c")
	for _, n := range f.nodes {
		all.Add(1)
		go func() {
			defer all.Done()
			n.sendRequests(ctx, streams)
		}()
	}
	all.Wait()
	stop()
	sampling.Wait()
}

// sample looks at all servers every audit.SampleEvery.
func (f *fleet) sample(ctx context.Context) {
	tick := time.NewTicker(audit.SampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s := audit.Sample{At: f.now()}
		for _, h := range f.hosts {
			working, waiting, conns, down := h.status()
			s.Working, s.Waiting = append(s.Working, working), append(s.Waiting, waiting)
			s.Connections, s.Down = append(s.Connections, conns), append(s.Down, down)
		}
		f.audit.RecordSample(s)
	}
}

// result works out what the run came to.
func (f *fleet) result(before Cost) *Result {
	asks := 0
	for _, h := range f.hosts {
		h.mu.Lock()
		f.audit.RecordServerEnd(h.server, f.now())
		asks += h.loadPolls
		h.mu.Unlock()
	}
	after := f.cost()
	r := &Result{Version: ResultVersion, Experiment: f.experiment.Name, Seed: f.experiment.Seed, Policy: string(f.options.Policy), Program: f.options.Name,
		Figures: f.audit.Metrics(f.experiment.WarmUp, f.experiment.TotalDuration(), audit.Capacities(f.experiment)), Cost: after}
	r.Cost.RigCPU -= before.RigCPU
	r.Cost.NodesCPU -= before.NodesCPU
	r.Cost.Asks = asks
	requests := 0
	for _, s := range r.Figures.BySecond {
		requests += s.Calls
	}
	r.Cost.CPUPerCall = r.Cost.NodesCPU / time.Duration(max(1, requests))
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.Sort(f.lateness)
	if n := len(f.lateness); n > 0 {
		r.Cost.LateP99 = time.Duration(f.lateness[n*99/100] * float64(time.Second))
	}
	r.Cost.LateMost = f.maxLateness
	if r.Cost.LateP99 > lateP99Limit || r.Cost.LateMost > lateMostLimit {
		r.Slow = fmt.Sprintf("calls were sent up to %v late, one in a hundred by over %v: the machine is too slow for this experiment, and nothing is judged",
			r.Cost.LateMost.Round(time.Millisecond), r.Cost.LateP99.Round(time.Millisecond))
	}
	r.Breaches = f.audit.Breaches(f.maxLateness)
	r.Sights, r.Strikes, r.Words = f.statusChanges, f.strikes, f.zoneStateChanges
	r.Breaches = append(r.Breaches, f.ageBreaches...)
	if seconds := f.now().Seconds(); f.experiment.ProbeInterval > 0 && seconds > 0 {
		datagrams, bytes, most := f.mesh.Traffic()
		n := float64(len(f.nodes))
		r.Cost.Datagrams, r.Cost.DatagramBytes, r.Cost.MostBytes = float64(datagrams)/seconds/n, float64(bytes)/seconds/n, float64(most)/seconds
	}
	for _, n := range f.nodes {
		if words := n.crashReport(); words != "" {
			r.Cost.NodesCrashed++
			r.Logs = append(r.Logs, words)
			r.Breaches = append(r.Breaches, audit.Breach{Rule: "crash", At: f.now(), Words: words})
		}
	}
	return r
}
