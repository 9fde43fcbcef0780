// Package faultbench runs an experiment with real processes: N nodes run `damsontrestle serve`, while servers, their registry
// and clients run in this process. All traffic between zones goes through fault-injecting relays (internal/faultbench/link),
// and an auditor joins the outcomes at clients with the executions at servers (internal/faultbench/audit). It leaves nothing
// behind: the nodes' files are in memory only, and children exit with the fault bench, even when it is killed.
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

// Options configures a run.
type Options struct {
	Policy         experiment.Policy
	Binary         string // path of the program
	Name           string // name of that build, for the result
	Log            func(format string, args ...any)
	ParallelStarts int // processes started in parallel; 0: 16
	LogBytes       int // bytes kept of each node's log; 0: 16 KiB

	OnLogLine func(at time.Duration, node int, line string) // called for each line of a node's log; nil: not called
}

// fleet is one run in progress.
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
	linkFaults       []experiment.Fault // active link faults
	hostsByID        map[string]*host   // by server ID
	world            *world.Fleet
	maxLateness      time.Duration // maximum lateness of the fault bench
	lateness         []float64     // every lateness, in seconds
	errs             []error
	statusChanges    []StatusChange
	zoneStateChanges []ZoneStateChange
	ageBreaches      []audit.Breach // under-reported ages
	strikes          []Strike
}

// Result is the outcome of a run. Version is the version of its format.
type Result struct {
	Version    int
	Experiment string
	Seed       uint64
	Policy     string
	Program    string `json:",omitempty"` // name of the build
	Figures    audit.Metrics
	Breaches   []audit.Breach
	Slow       string `json:",omitempty"` // why the result is not judged: the fault bench was too slow
	Cost       Cost
	Strikes    []Strike          `json:",omitempty"`
	Sights     []StatusChange    `json:",omitempty"` // changes in the membership status that nodes saw of one another
	Words      []ZoneStateChange `json:",omitempty"` // changes in the zone state that nodes reported
	Logs       []string          `json:",omitempty"` // last part of the log of each node that exited unexpectedly
}

// ResultVersion is the version of the result format that this build writes.
const ResultVersion = 1

// Cost holds the resources that a run used.
type Cost struct {
	Processes    int
	RigCPU       time.Duration // of this process
	NodesCPU     time.Duration // of all nodes together
	CPUPerCall   time.Duration // of the nodes
	NodeMemory   int64         // resident bytes, mean
	RigMemory    int64
	LateP99      time.Duration // delay between a request's due time and its sending
	LateMost     time.Duration
	Starting     time.Duration // time until all nodes were ready
	MostOpenRig  int           // open descriptors of this process
	NodesCrashed int
	Asks         int // load polls from nodes to servers

	ServerConnections int `json:",omitempty"` // established from nodes to servers

	// Datagrams between nodes, over the whole run.
	Datagrams     float64 `json:",omitempty"` // sent per node and second
	DatagramBytes float64 `json:",omitempty"` // payload per node and second, without UDP and IP headers
	MostBytes     float64 `json:",omitempty"` // per second, of the node that sent the most
}

// Lateness limits, beyond which the fault bench was too slow for the result to be judged.
const (
	lateP99Limit  = 20 * time.Millisecond
	lateMostLimit = 400 * time.Millisecond
)

// Run runs an experiment once.
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
		return nil, fmt.Errorf("fault bench: %w", err)
	}
	res = f.result(before)
	res.Cost.Starting = starting
	if err := errors.Join(f.errs...); err != nil {
		return nil, fmt.Errorf("fault bench: %w", err)
	}
	return res, nil
}

// build opens the servers' relays, the registry and the nodes' addresses.
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

// close terminates every child process and closes every socket.
func (f *fleet) close() {
	if f.spawner != nil {
		f.spawner.Close()
	}
	var wg sync.WaitGroup
	closeInBackground := func(c func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c()
		}()
	}
	for _, n := range f.nodes {
		closeInBackground(n.close)
	}
	for _, h := range f.hosts {
		closeInBackground(h.close)
	}
	if f.mesh != nil {
		closeInBackground(f.mesh.Close)
	}
	wg.Wait()
}

// now returns the run time: the time since the first request was due.
func (f *fleet) now() time.Duration { return time.Since(*f.startTime.Load()) }

// runTime converts an instant to run time.
func (f *fleet) runTime(t time.Time) time.Duration { return t.Sub(*f.startTime.Load()) }

// setStart sets the instant at which run time starts.
func (f *fleet) setStart(at time.Time) { f.startTime.Store(&at) }

// recordLateness records how late the fault bench was for something that was due.
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

// play runs clients and faults until every request has an outcome.
func (f *fleet) play(ctx context.Context) {
	f.setStart(time.Now().Add(50 * time.Millisecond))
	f.mesh.ResetTraffic()
	f.mu.Lock()
	for i := range f.zoneStateChanges { // state reported before the run holds at its start
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

// sample records the state of all servers every audit.SampleEvery.
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

// result computes the result of the run.
func (f *fleet) result(before Cost) *Result {
	polls := 0
	for _, h := range f.hosts {
		h.mu.Lock()
		f.audit.RecordServerEnd(h.server, f.now())
		polls += h.loadPolls
		h.mu.Unlock()
	}
	after := f.cost()
	r := &Result{Version: ResultVersion, Experiment: f.experiment.Name, Seed: f.experiment.Seed, Policy: string(f.options.Policy), Program: f.options.Name,
		Figures: f.audit.Metrics(f.experiment.WarmUp, f.experiment.TotalDuration(), audit.Capacities(f.experiment)), Cost: after}
	r.Cost.RigCPU -= before.RigCPU
	r.Cost.NodesCPU -= before.NodesCPU
	r.Cost.Asks = polls
	for _, h := range f.hosts {
		for _, relay := range h.relays {
			r.Cost.ServerConnections += relay.Accepted()
		}
	}
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
		r.Slow = fmt.Sprintf("requests were sent up to %v late (p99 %v): the machine is too slow for this experiment; the result is not judged",
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
