package balancer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// After an outage a node's whole subset may return in slow start. Slow start must still apply while the rest of the
// list is warmed up; otherwise many such nodes would overload the servers in slow start.
func TestSlowStartSubsetKeepsThinning(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier, s.Balancers = 1, 50 })
	list := servers(40)
	b.Handle(msec, ServerList{Full: true, Servers: list})
	b.selectServer(&request{class: b.classes["get"]})
	for _, s := range append(append([]*server{}, b.subset.left...), b.subset.right...) {
		for i := range list {
			if list[i].ID == s.ID {
				list[i].Boot = time.Second
			}
		}
	}
	b.Handle(time.Second, ServerList{Full: true, Servers: list})
	inSlowStart := 0
	for range 1000 {
		if s := b.selectServer(&request{class: b.classes["get"]}); s.Boot > 0 {
			inSlowStart++
		}
	}
	if got := float64(inSlowStart) / 1000; got > 0.05 { // a few of 40 servers, drawn a fifth as often
		t.Errorf("%.2f of the requests went to servers in slow start, want at most 0.05", got)
	}
}

// A server in slow start must get at most overloadMultiple times its capacity in any overloadWindow.
const overloadMultiple, overloadWindow = 3.0, 2 * time.Second

// slowStartLoad makes nodes send at three quarters of the capacity of 6 servers, one of which starts at second 1. It
// returns how many requests that one got, and the highest number within any overloadWindow relative to
// overloadMultiple times its capacity at that time.
func slowStartLoad(set Settings, nodes int, send func(node int, now time.Duration, id string) string) (int, float64) {
	const capacity = 50.0 // requests per second of a warmed-up server
	rng := rand.New(rand.NewPCG(3, 3))
	var inSlowStart []time.Duration
	for i := range int(0.75 * 6 * capacity * 12) {
		now := time.Second + time.Duration(float64(i)/(0.75*6*capacity)*float64(time.Second))
		if send(rng.IntN(nodes), now, fmt.Sprint(i)) == "s02" {
			inSlowStart = append(inSlowStart, now)
		}
	}
	worst := 0.0
	for i := range inSlowStart {
		n := 0
		for _, at := range inSlowStart[i:] {
			if at < inSlowStart[i]+overloadWindow {
				n++
			}
		}
		grown := float64(inSlowStart[i]-time.Second) / float64(set.SlowStartWindow)
		budget := overloadMultiple * capacity * min(1, set.SlowStartMinimum+(1-set.SlowStartMinimum)*grown) * overloadWindow.Seconds()
		worst = max(worst, float64(n)/budget)
	}
	return len(inSlowStart), worst
}

func TestServerInSlowStartIsNotOverloaded(t *testing.T) {
	set := testSettings()
	for _, nodes := range []int{12, 200} {
		set.Tier, set.Balancers = 1, nodes
		list := servers(6)
		list[2].Boot = time.Second
		var bs []*Balancer
		for i := range nodes {
			set.Index = i
			b, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			b.Handle(0, ServerList{Full: true, Servers: list})
			bs = append(bs, b)
		}
		requests, worst := slowStartLoad(set, nodes, func(node int, now time.Duration, id string) string {
			s := sends(bs[node].Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))[0]
			bs[node].Handle(now+20*msec, Outcome{ID: id, Server: s.Server, Result: Success, Ended: true})
			return s.Server
		})
		if requests < 20 || worst > 1 {
			t.Errorf("%d nodes: %d requests to the server in slow start, at most %.2f of its limit; want at least 20, at most 1", nodes, requests, worst)
		}
	}
	// The check can fail: sending every request to the server in slow start exceeds its limit.
	_, worst := slowStartLoad(set, 12, func(int, time.Duration, string) string { return "s02" })
	if worst <= 1 {
		t.Errorf("all requests to the server in slow start are %.2f of its limit, want more than 1", worst)
	}
}

// pendingOutcomes is a heap of future outcomes, earliest first.
type pendingOutcomes []pendingOutcome

type pendingOutcome struct {
	at   time.Duration
	node int
	out  Outcome
}

func (d pendingOutcomes) Len() int { return len(d) }

func (d pendingOutcomes) Less(i, j int) bool { return d[i].at < d[j].at }

func (d pendingOutcomes) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *pendingOutcomes) Push(x any) { *d = append(*d, x.(pendingOutcome)) }

func (d *pendingOutcomes) Pop() any { o := *d; x := o[len(o)-1]; *d = o[:len(o)-1]; return x }

// slowStartFleet is a fleet of nodes that send to servers of which some have just started.
type slowStartFleet struct {
	nodes        int
	assumedNodes int           // number of nodes in the settings; 0: the actual number
	uneven       bool          // one tenth of the nodes send half of the load
	adjacent     bool          // with uneven: the nodes with half of the load are adjacent
	burst        bool          // 1.5 times the load from 3 s to 6 s, above the warmed-up servers' capacity
	restartAfter time.Duration // time after which the started servers restart; 0: never
}

// Parameters of the servers and their load.
const (
	slowStartServers  = 40
	restartedServers  = 10
	slowStartCapacity = 40.0 // requests per second of a warmed-up server
	slowStartLatency  = 100 * time.Millisecond
	slowStartLength   = 12 * time.Second
	slowStartWindow   = 10 * time.Second
	slowStartMinimum  = 0.2
	slowStartBegin    = 100 * time.Second
)

// run sends the load. It returns the times of the requests by server, and the times at which the servers in slow
// start started.
func (f slowStartFleet) run(t *testing.T) (sent map[string][]time.Duration, starts []time.Duration) {
	t.Helper()
	rng := rand.New(rand.NewPCG(uint64(f.nodes), 1))
	list := servers(slowStartServers)
	for i := range restartedServers {
		list[3*i].Boot = slowStartBegin
	}
	if f.assumedNodes == 0 {
		f.assumedNodes = f.nodes
	}
	fleet := make([]*Balancer, f.nodes)
	for i := range fleet {
		set := testSettings()
		set.Balancers, set.Index, set.SlowStartWindow, set.SlowStartMinimum = f.assumedNodes, i%f.assumedNodes, slowStartWindow, slowStartMinimum
		b, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(slowStartBegin-time.Second, ServerList{Full: true, Servers: list})
		fleet[i] = b
	}
	sent = map[string][]time.Duration{}
	starts = []time.Duration{slowStartBegin}
	var out pendingOutcomes
	execute := func(node int, now time.Duration, acts []Action) {
		for _, s := range sends(acts) {
			sent[s.Server] = append(sent[s.Server], now)
			heap.Push(&out, pendingOutcome{now + slowStartLatency, node, Outcome{ID: s.ID, Server: s.Server, Result: Success, Latency: slowStartLatency, Ended: true}})
		}
	}
	for now, n := slowStartBegin, 0; now < slowStartBegin+slowStartLength; n++ {
		rate := 0.75 * slowStartServers * slowStartCapacity
		if since := now - slowStartBegin; f.burst && since > 3*time.Second && since < 6*time.Second {
			rate *= 1.5
		}
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		for len(out) > 0 && out[0].at <= now {
			a := heap.Pop(&out).(pendingOutcome)
			execute(a.node, a.at, fleet[a.node].Handle(a.at, a.out))
		}
		if f.restartAfter > 0 && len(starts) == 1 && now >= slowStartBegin+f.restartAfter {
			starts = append(starts, now)
			for i := range restartedServers {
				list[3*i].Boot = now
			}
			for i, b := range fleet {
				execute(i, now, b.Handle(now, ServerList{Full: true, Servers: list}))
			}
		}
		sender := rng.IntN(f.nodes)
		if busyNodes := max(1, f.nodes/10); f.uneven && rng.IntN(2) == 0 {
			if sender = rng.IntN(busyNodes); !f.adjacent {
				sender *= f.nodes / busyNodes
			}
		}
		execute(sender, now, fleet[sender].Handle(now, Request{ID: fmt.Sprint("r", n), Class: "get", Deadline: now + time.Minute}))
	}
	return sent, starts
}

// worstOverload returns the highest number of requests that a server in slow start got within a window, as a share of
// overloadLimit, and the total number. overloadLimit returns the limit for the requests that the server can serve in
// that time.
func worstOverload(sent map[string][]time.Duration, starts []time.Duration, window time.Duration, overloadLimit func(capacity float64) float64) (share float64, total int) {
	for i := range restartedServers {
		times := sent[servers(slowStartServers)[3*i].ID]
		total += len(times)
		for from, j := 0, 0; j < len(times); j++ {
			start := starts[0]
			for _, s := range starts {
				if s <= times[j] {
					start = s
				}
			}
			for times[j]-times[from] > window || times[from] < start { // a restart drops all earlier requests
				from++
			}
			capacityShare := min(1, slowStartMinimum+(1-slowStartMinimum)*(times[from]-start).Seconds()/slowStartWindow.Seconds())
			share = max(share, float64(j-from+1)/overloadLimit(capacityShare*slowStartCapacity*window.Seconds()))
		}
	}
	return share, total
}

// maxWarmedUpRequests returns the highest number of requests that a warmed-up server got within a window.
func maxWarmedUpRequests(sent map[string][]time.Duration, window time.Duration) (most int) {
	for i, s := range servers(slowStartServers) {
		if i%3 == 0 && i < 3*restartedServers {
			continue
		}
		times := sent[s.ID]
		for from, j := 0, 0; j < len(times); j++ {
			for times[j]-times[from] > window {
				from++
			}
			most = max(most, j-from+1)
		}
	}
	return most
}

// A server in slow start is overloaded by more than N + 2√N + 2 requests in the time that the settings name, from all
// nodes together; N is what the settings allow it then, three times its capacity. For any number of nodes that send
// the same load, however uneven their parts, in a burst and for servers that return in slow start, no server in slow
// start may get more than 0.9 of that, although each node knows only its own few requests. Under steady load, at one
// node and at many, none may get more than C + 3√C + 3 requests for a capacity of C. The number of nodes comes from
// the settings and may be wrong by a factor of two, and the nodes with half of the load may all share a subset.
func TestFleetDoesNotOverloadServerInSlowStart(t *testing.T) {
	const window = time.Second
	overloadLimit := func(capacity float64) float64 { return 3*capacity + 2*math.Sqrt(3*capacity) + 2 }
	steadyLimit := func(capacity float64) float64 { return capacity + 3*math.Sqrt(capacity) + 3 }
	for _, nodes := range []int{1, 5, 20, 30, 50, 300} {
		for name, f := range map[string]slowStartFleet{
			"steady":                        {nodes: nodes},
			"burst":                         {nodes: nodes, burst: true},
			"burst, uneven":                 {nodes: nodes, burst: true, uneven: true},
			"burst, servers restart":        {nodes: nodes, burst: true, uneven: true, restartAfter: 4 * time.Second},
			"burst, uneven, adjacent":       {nodes: nodes, burst: true, uneven: true, adjacent: true},
			"half of the nodes in settings": {nodes: nodes, assumedNodes: max(1, nodes/2), burst: true, uneven: true},
			"twice the nodes in settings":   {nodes: nodes, assumedNodes: 2 * nodes, burst: true, uneven: true},
		} {
			t.Run(fmt.Sprint(nodes, " ", name), func(t *testing.T) {
				t.Parallel()
				sent, starts := f.run(t)
				share, total := worstOverload(sent, starts, window, overloadLimit)
				steady, _ := worstOverload(sent, starts, window, steadyLimit)
				t.Logf("%d nodes, %s: servers in slow start got at most %.2f of the overload limit, %.2f of the steady limit, %d requests in total; a warmed-up server got at most %d",
					nodes, name, share, steady, total, maxWarmedUpRequests(sent, window))
				if share > 0.9 {
					t.Errorf("a server in slow start got %.2f of the overload limit, want at most 0.9", share)
				}
				if alone, many := nodes == 1, nodes >= 50; name == "steady" && (alone || many) && steady > 1 {
					t.Errorf("a server in slow start got %.2f of the steady limit, want at most 1", steady)
				}
				if total < 500 {
					t.Errorf("the servers in slow start got %d requests, want at least 500", total)
				}
			})
		}
	}
}
