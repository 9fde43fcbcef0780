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

// fleetSize is how many servers and nodes there are; the traffic of a node stays the same.
type fleetSize struct{ servers, nodes int }

var (
	usualSize = fleetSize{200, 56}
	mostSize  = fleetSize{3200, 900}
)

// changesAgent is a registry's agent that tells its node what has changed since the version that it has.
type changesAgent struct {
	*httptest.Server
	bytes atomic.Int64 // of lists

	mu        sync.Mutex
	told      *sync.Cond     // a request has come
	log       []listChange   // the n-th has version n+1
	last      map[string]int // version of a server's last change
	news      chan struct{}  // closed at the next change
	snapshots int            // full snapshots that were asked for
	heard     int            // the version that was asked from last
}

// listChange is one change of an entry.
type listChange struct{ uid, state, text string }

func newChangesAgent(t testing.TB) *changesAgent {
	a := &changesAgent{last: map[string]int{}, news: make(chan struct{})}
	a.told = sync.NewCond(&a.mu)
	a.Server = httptest.NewServer(a)
	t.Cleanup(a.Close)
	return a
}

// tell changes entries.
func (a *changesAgent) tell(endpoint string, changes ...listChange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range changes {
		c.text = testpeer.Entry(c.uid, endpoint, c.state)
		a.log = append(a.log, c)
		a.last[c.uid] = len(a.log)
	}
	close(a.news)
	a.news = make(chan struct{})
}

// awaitHeard waits until the node has all that was told.
func (a *changesAgent) awaitHeard() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.heard < len(a.log) {
		a.told.Wait()
	}
}

// since are the newest entries behind a version. The caller holds mu.
func (a *changesAgent) since(version int) (texts []string) {
	for i, c := range a.log[version:] {
		if a.last[c.uid] == version+i+1 && (version > 0 || c.state != "terminated") {
			texts = append(texts, c.text)
		}
	}
	return texts
}

func (a *changesAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	complete := err != nil
	a.mu.Lock()
	a.heard = max(a.heard, from)
	a.told.Broadcast()
	if news := a.news; !complete && from == len(a.log) {
		a.mu.Unlock()
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		select {
		case <-news:
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

// needs is what a node needed over a day.
type needs struct {
	cpu         time.Duration
	heap        uint64 // at most
	descriptors int    // at most
	connections int    // made to servers
	bytes       int64  // of lists
}

// cpuTime is the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// countingServer answers all requests, and counts the connections made to it.
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

// uid names the n-th server, in no order of its own.
func uid(n int) string { return fmt.Sprintf("s-%08x", uint32(n)*2654435761) }

// startFleetNode runs a node of a fleet that asks an agent.
func startFleetNode(t testing.TB, size fleetSize, agent *changesAgent) *Node {
	cfg := testpeer.Config()
	cfg.Pools[0].Registry.Address = strings.TrimPrefix(agent.URL, "http://")
	cfg.Pools[0].Balancers = config.Balancers{Count: size.nodes, Index: size.nodes / 3}
	n, err := NewPlatform(cfg, config.InitialState{Seed: 1}, quiet(), Options{schedule: &shutdownSchedule{answerAll: 100 * time.Millisecond, finish: testpeer.Limit}})
	if err != nil {
		t.Fatal(err)
	}
	runUntilEnd(t, n)
	testpeer.Until(t, "the list", n.pools[config.PlatformPool].engine.Ready)
	agent.awaitHeard()
	return n
}

// replace tells in one message that servers drain, others join, and those of the message before are gone.
func (a *changesAgent) replace(size fleetSize, endpoint string, before, from, to int) {
	var l []listChange
	for i := before; i < from; i++ {
		l = append(l, listChange{uid(i), "terminated", ""})
	}
	for i := from; i < to; i++ {
		l = append(l, listChange{uid(i), "terminating", ""}, listChange{uid(size.servers + i), "in_service", ""})
	}
	a.tell(endpoint, l...)
	a.awaitHeard()
}

// playDay has a node serve the same traffic while servers are replaced, as many in each message.
func playDay(t testing.TB, size fleetSize, replaced, messages int) (n needs) {
	const requests = 2 // to a message
	endpoint, made := countingServer(t)
	agent := newChangesAgent(t)
	for i := range size.servers {
		agent.tell(endpoint, listChange{uid(i), "in_service", ""})
	}
	runtime.GC()
	before := openDescriptors(t)
	node := startFleetNode(t, size, agent)
	client := &http.Client{}
	defer client.CloseIdleConnections()
	begun := cpuTime()
	look := func() {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		n.heap, n.descriptors = max(n.heap, m.HeapAlloc), max(n.descriptors, openDescriptors(t)-before)
	}
	last := 0
	for r := range requests * messages {
		if m := r / requests; r%requests == 0 {
			from, to := replaced*m/messages, replaced*(m+1)/messages
			agent.replace(size, endpoint, last, from, to)
			last = from
		}
		q, err := http.NewRequest("GET", "http://"+node.Addr("main")+"/view/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("X-Request-Id", fmt.Sprint("r", r))
		q.Header.Set("X-Deadline", "3")
		resp, err := client.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.Body.Close(); resp.StatusCode != http.StatusOK {
			t.Errorf("request %d: status %d", r, resp.StatusCode)
		}
		if r%(requests*messages/10) == 0 {
			look()
		}
	}
	n.cpu, n.connections, n.bytes = cpuTime()-begun, int(made.Load()), agent.bytes.Load()
	if agent.mu.Lock(); agent.snapshots != 1 {
		t.Errorf("%d servers: the full snapshot was asked for %d times, want once", size.servers, agent.snapshots)
	}
	agent.mu.Unlock()
	return n
}

// beyond tells where what a node needs in the largest fleet is more than STANDING allows against the usual one. Without
// processor time, which a test holds against itself.
func beyond(usual, most needs) (found []string) {
	thousands := float64(mostSize.servers) / 1000
	for _, c := range []struct {
		what             string
		got, usual, most float64
	}{
		{"bytes of the heap", float64(most.heap), float64(usual.heap), 1.5*float64(usual.heap) + (8+4*thousands)*(1<<20)},
		{"descriptors", float64(most.descriptors), float64(usual.descriptors), 2*float64(usual.descriptors) + 40},
		{"connections made", float64(most.connections), float64(usual.connections), 2.5*float64(usual.connections) + 40},
		{"bytes of lists", float64(most.bytes), float64(usual.bytes), 2*float64(usual.bytes) + (64+500*thousands)*(1<<10)},
	} {
		if c.got > c.most {
			found = append(found, fmt.Sprintf("%s: %.0f, at the usual size %.0f; at most %.0f", c.what, c.got, c.usual, c.most))
		}
	}
	return found
}

// With sixteen times the servers and nodes and the same traffic a node needs no more than the table of the fleet's terms
// allows, and a change of the list takes about the same processor time however long the list is.
func TestResourceUseBarelyGrowsWithFleetSize(t *testing.T) {
	const replaced = 300 // each in a message of its own
	usual, most := playDay(t, usualSize, replaced, replaced), playDay(t, mostSize, replaced, replaced)
	t.Logf("usual %+v, most %+v", usual, most)
	for _, found := range beyond(usual, most) {
		t.Error(found)
	}
	if most.cpu > 2*usual.cpu {
		t.Errorf("the changes took %v of processor time, at the usual size %v", most.cpu, usual.cpu)
	}
}

// BenchmarkGrowth plays a day in which six in ten servers are replaced, at the usual size and at the largest. The
// processor time is that of the node, its agent, servers and clients together.
func BenchmarkGrowth(b *testing.B) {
	for _, size := range []fleetSize{usualSize, mostSize} {
		b.Run(fmt.Sprint(size.servers), func(b *testing.B) {
			var n needs
			for b.Loop() {
				n = playDay(b, size, size.servers*6/10, 120)
			}
			b.ReportMetric(n.cpu.Seconds(), "cpu-s")
			b.ReportMetric(float64(n.heap)/(1<<20), "heap-MB")
			b.ReportMetric(float64(n.descriptors), "descriptors")
			b.ReportMetric(float64(n.connections), "connections")
			b.ReportMetric(float64(n.bytes)/(1<<10), "list-KB")
		})
	}
}
