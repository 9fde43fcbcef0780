package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/testpeer"
)

// fleetSize is the number of servers and nodes of a fleet. The traffic of a node does not depend on it.
type fleetSize struct{ servers, nodes int }

var (
	usualSize   = fleetSize{200, 56}
	largestSize = fleetSize{3200, 900}
)

// deltaAgent is a registry agent that sends a node the changes since the node's version.
type deltaAgent struct {
	*httptest.Server
	bytes atomic.Int64 // of the lists sent

	mu           sync.Mutex
	requested    *sync.Cond     // signaled at each request
	log          []listChange   // the entry at index n has version n+1
	last         map[string]int // version of the last change, by server
	changed      chan struct{}  // closed at the next change
	snapshots    int            // number of full snapshots requested
	acknowledged int            // highest version that a request was based on
}

// listChange is a change of one entry.
type listChange struct{ uid, state, text string }

func newDeltaAgent(t testing.TB) *deltaAgent {
	a := &deltaAgent{last: map[string]int{}, changed: make(chan struct{})}
	a.requested = sync.NewCond(&a.mu)
	a.Server = httptest.NewServer(a)
	t.Cleanup(a.Close)
	return a
}

// update changes entries of the list.
func (a *deltaAgent) update(endpoint string, changes ...listChange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range changes {
		c.text = testpeer.Entry(c.uid, endpoint, c.state)
		a.log = append(a.log, c)
		a.last[c.uid] = len(a.log)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// awaitAcknowledged waits until the node has received all changes.
func (a *deltaAgent) awaitAcknowledged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.acknowledged < len(a.log) {
		a.requested.Wait()
	}
}

// since returns the latest entries that changed after a version. The caller holds mu.
func (a *deltaAgent) since(version int) (texts []string) {
	for i, c := range a.log[version:] {
		if a.last[c.uid] == version+i+1 && (version > 0 || c.state != "terminated") {
			texts = append(texts, c.text)
		}
	}
	return texts
}

func (a *deltaAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	complete := err != nil
	a.mu.Lock()
	a.acknowledged = max(a.acknowledged, from)
	a.requested.Broadcast()
	if changed := a.changed; !complete && from == len(a.log) {
		a.mu.Unlock()
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		a.mu.Lock()
	}
	if complete {
		a.snapshots++
	}
	text := fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, len(a.log), complete, strings.Join(a.since(from), ","))
	a.mu.Unlock()
	a.bytes.Add(int64(len(text)))
	w.Write([]byte(text))
}

// resourceUse is the resource use of a node over a simulated day.
type resourceUse struct {
	cpu         time.Duration
	heap        uint64 // maximum
	descriptors int    // maximum
	connections int    // opened to servers
	bytes       int64  // of lists
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// countingServer starts a server that answers all requests and counts the connections opened to it.
func countingServer(t testing.TB) (address string, made *atomic.Int64) {
	made = &atomic.Int64{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Write([]byte("served")) }))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			made.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), made
}

// uid returns the name of the n-th server. The names do not sort by n.
func uid(n int) string { return fmt.Sprintf("s-%08x", uint32(n)*2654435761) }

// startFleetNode starts a node of a fleet that gets its endpoint list from an agent.
func startFleetNode(t testing.TB, size fleetSize, agent *deltaAgent) *Node {
	cfg := testpeer.Config()
	cfg.Pools[0].Registry.Address = strings.TrimPrefix(agent.URL, "http://")
	cfg.Pools[0].Balancers = config.Balancers{Count: size.nodes, Index: size.nodes / 3}
	n, err := NewPlatform(cfg, config.InitialState{Seed: 1}, discardLog(), Options{schedule: &shutdownSchedule{answerAll: 100 * time.Millisecond, finish: testpeer.Limit}})
	if err != nil {
		t.Fatal(err)
	}
	runUntilEnd(t, n)
	testpeer.Until(t, "the list", n.pools[config.PlatformPool].engine.Ready)
	agent.awaitAcknowledged()
	return n
}

// replace sends one list change in which some servers drain, as many others join, and the servers that drained in the
// previous change are removed.
func (a *deltaAgent) replace(size fleetSize, endpoint string, before, from, to int) {
	var l []listChange
	for i := before; i < from; i++ {
		l = append(l, listChange{uid(i), "terminated", ""})
	}
	for i := from; i < to; i++ {
		l = append(l, listChange{uid(i), "terminating", ""}, listChange{uid(size.servers + i), "in_service", ""})
	}
	a.update(endpoint, l...)
	a.awaitAcknowledged()
}

// runDay runs a node under constant traffic while servers are replaced, about the same number in each message.
func runDay(t testing.TB, size fleetSize, replaced, messages int) (use resourceUse) {
	const requests = 2 // per message
	endpoint, made := countingServer(t)
	agent := newDeltaAgent(t)
	for i := range size.servers {
		agent.update(endpoint, listChange{uid(i), "in_service", ""})
	}
	runtime.GC()
	descriptorsBefore := openDescriptors(t)
	node := startFleetNode(t, size, agent)
	client := &http.Client{}
	defer client.CloseIdleConnections()
	cpuBefore := cpuTime()
	recordMaxima := func() {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		use.heap, use.descriptors = max(use.heap, m.HeapAlloc), max(use.descriptors, openDescriptors(t)-descriptorsBefore)
	}
	previousFrom := 0
	for r := range requests * messages {
		if m := r / requests; r%requests == 0 {
			from, to := replaced*m/messages, replaced*(m+1)/messages
			agent.replace(size, endpoint, previousFrom, from, to)
			previousFrom = from
		}
		request, err := http.NewRequest("GET", "http://"+node.Addr("main")+"/view/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Request-Id", fmt.Sprint("r", r))
		request.Header.Set("X-Deadline", "3")
		resp, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.Body.Close(); resp.StatusCode != http.StatusOK {
			t.Errorf("request %d: got status %d", r, resp.StatusCode)
		}
		if r%(requests*messages/10) == 0 {
			recordMaxima()
		}
	}
	use.cpu, use.connections, use.bytes = cpuTime()-cpuBefore, int(made.Load()), agent.bytes.Load()
	if agent.mu.Lock(); agent.snapshots != 1 {
		t.Errorf("%d servers: got %d requests for the full snapshot, want 1", size.servers, agent.snapshots)
	}
	agent.mu.Unlock()
	return use
}

// exceededLimits returns the resources of which a node in the largest fleet uses more than STANDING allows compared to the
// usual fleet. CPU time is excluded, because the test itself compares it.
func exceededLimits(usual, most resourceUse) (exceeded []string) {
	thousands := float64(largestSize.servers) / 1000
	for _, c := range []struct {
		what             string
		got, usual, most float64
	}{
		{"heap bytes", float64(most.heap), float64(usual.heap), 1.5*float64(usual.heap) + (8+4*thousands)*(1<<20)},
		{"descriptors", float64(most.descriptors), float64(usual.descriptors), 2*float64(usual.descriptors) + 40},
		{"connections opened", float64(most.connections), float64(usual.connections), 2.5*float64(usual.connections) + 40},
		{"list bytes", float64(most.bytes), float64(usual.bytes), 2*float64(usual.bytes) + (64+500*thousands)*(1<<10)},
	} {
		if c.got > c.most {
			exceeded = append(exceeded, fmt.Sprintf("%s: got %.0f (%.0f at the usual size), want at most %.0f", c.what, c.got, c.usual, c.most))
		}
	}
	return exceeded
}

// With sixteen times as many servers and nodes and the same traffic, a node uses no more resources than the table of fleet
// limits allows, and a list change takes about the same CPU time whatever the length of the list.
func TestResourceUseBarelyGrowsWithFleetSize(t *testing.T) {
	const replaced = 300 // each in its own message
	usual, largest := runDay(t, usualSize, replaced, replaced), runDay(t, largestSize, replaced, replaced)
	t.Logf("usual size: %+v, largest size: %+v", usual, largest)
	for _, exceeded := range exceededLimits(usual, largest) {
		t.Error(exceeded)
	}
	if largest.cpu > 2*usual.cpu {
		t.Errorf("list changes took %v of CPU time, want at most twice the %v at the usual size", largest.cpu, usual.cpu)
	}
}

// BenchmarkGrowth runs a day in which six in ten servers are replaced, at the usual and at the largest fleet size. The CPU
// time is that of the node, its agent, servers and clients together.
func BenchmarkGrowth(b *testing.B) {
	for _, size := range []fleetSize{usualSize, largestSize} {
		b.Run(fmt.Sprint(size.servers), func(b *testing.B) {
			var n resourceUse
			for b.Loop() {
				n = runDay(b, size, size.servers*6/10, 120)
			}
			b.ReportMetric(n.cpu.Seconds(), "cpu-s")
			b.ReportMetric(float64(n.heap)/(1<<20), "heap-MB")
			b.ReportMetric(float64(n.descriptors), "descriptors")
			b.ReportMetric(float64(n.connections), "connections")
			b.ReportMetric(float64(n.bytes)/(1<<10), "list-KB")
		})
	}
}
