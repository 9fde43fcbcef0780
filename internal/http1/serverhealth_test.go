package http1

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/testpeer"
)

// testFleet is a group of servers that fail requests of some classes at once with a 500, and count all requests received.
type testFleet struct {
	mu          sync.Mutex
	received    map[string]int  // number of requests by uid and class
	failing     map[string]bool // by uid and class
	servedOneIn int             // of the requests to fail, one in this many is served; 0: none
	capacity    int             // concurrent requests of each server, beyond which it rejects; 0: unlimited
	inFlight    map[string]int
	serviceTime time.Duration // how long it takes to serve a request
	slowServer  string        // uid of the server that never replies
	hangsOneIn  int           // one in this many views gets no reply; 0: none
	rng         *rand.Rand
}

func newTestFleet(servedOneIn, capacity int, failing ...string) *testFleet {
	f := &testFleet{received: map[string]int{}, failing: map[string]bool{}, inFlight: map[string]int{}, servedOneIn: servedOneIn,
		capacity: capacity, serviceTime: 5 * time.Millisecond, rng: rand.New(rand.NewPCG(1, 2))}
	for _, k := range failing {
		f.failing[k] = true
	}
	return f
}

// serve starts a server and returns its entry for the endpoint list.
func (f *testFleet) serve(t *testing.T, uid string) string {
	server := testpeer.NewServer(t, func(conn net.Conn, r *http.Request, body string) bool {
		class := strings.Split(r.URL.Path, "/")[1]
		f.mu.Lock()
		f.received[uid+" "+class]++
		failing := f.failing[uid+" "+class] && !(f.servedOneIn > 0 && f.rng.IntN(f.servedOneIn) == 0)
		full := f.capacity > 0 && f.inFlight[uid] >= f.capacity
		hangs := f.hangsOneIn > 0 && class == "view" && f.rng.IntN(f.hangsOneIn) == 0
		f.inFlight[uid]++
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			f.inFlight[uid]--
			f.mu.Unlock()
		}()
		status := ""
		switch {
		case full:
			status = "503 Full\r\nX-Not-Run: 1"
		case failing:
			status = "500 Oh"
		case uid == f.slowServer || hangs:
			conn.Read(make([]byte, 1)) // returns when the node gives up
			return false
		default:
			time.Sleep(f.serviceTime)
			return testpeer.Echo(conn, r, body)
		}
		_, err := io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	return testpeer.Entry(uid, server.Address(), "in_service")
}

// countRequests resets the counts and returns a function that reports which share of a class's requests since then went to
// these servers.
func (f *testFleet) countRequests() func(class string, uids ...string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = map[string]int{}
	return func(class string, uids ...string) float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		total, matching := 0, 0
		for key, count := range f.received {
			uid, requestClass, _ := strings.Cut(key, " ")
			if requestClass == class {
				total += count
				if slices.Contains(uids, uid) {
					matching += count
				}
			}
		}
		return float64(matching) / float64(max(1, total))
	}
}

// runLoad sends requests of both classes from concurrent clients, each waiting for its response before the next request, and
// returns the share served.
func runLoad(t *testing.T, node *testNode, clients, requestsEach int) float64 {
	var served atomic.Int64
	var wg sync.WaitGroup
	for i := range clients {
		client := testpeer.Dial(t, node.Addr())
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range requestsEach {
				id := fmt.Sprintf("%p-%d-%d", client, i, j)
				if j%3 == 0 {
					client.Get(id)
				} else {
					client.Send("POST", "/note/k", id, "x", "60")
				}
				r, err := http.ReadResponse(client.Reader, nil)
				if err != nil {
					t.Error(err)
					return
				}
				io.Copy(io.Discard, r.Body)
				if r.StatusCode == 200 {
					served.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	return float64(served.Load()) / float64(clients*requestsEach)
}

// Servers that fail all or most requests of one class at once still serve the other class, so they have no long run of
// failures, and with few requests in flight they are preferred by the balancer. Their failure rate keeps that class away from
// them, also after they are replaced by servers that fail in the same way, while they keep getting the other class.
func TestServersFailingOneClassGetFewOfItsRequests(t *testing.T) {
	for _, servedOneIn := range []int{0, 4} {
		t.Run(fmt.Sprint("one served in ", servedOneIn), func(t *testing.T) {
			fleet := newTestFleet(servedOneIn, 0, "s3 view", "s4 view", "s5 view", "s6 view")
			list := []string{fleet.serve(t, "s1"), fleet.serve(t, "s2"), fleet.serve(t, "s3"), fleet.serve(t, "s4")}
			node := startNode(t, testConfig(testpeer.FullSnapshot(list...)), nil)
			for _, bad := range [][]string{{"s3", "s4"}, {"s5", "s6"}} {
				if bad[0] == "s5" {
					list[2], list[3] = fleet.serve(t, "s5"), fleet.serve(t, "s6")
					node.updateList(t, testpeer.FullSnapshot(list...))
					testpeer.Until(t, "the new list to be applied", func() bool {
						_, listed := node.backend.server("s6")
						return listed
					})
				}
				runLoad(t, node, 20, 20) // learns about the servers
				share := fleet.countRequests()
				served := runLoad(t, node, 20, 90)
				views, notes := share("view", bad...), share("note", bad...)
				if views > 0.35 || notes < 0.4 || served < 0.97 {
					t.Errorf("%v got %.2f of the views and %.2f of the notes; %.3f of all were served",
						bad, views, notes, served)
				}
			}
		})
	}
}

// A server on which requests time out occupies its share of the node's requests to no effect, and in a small fleet no server
// may be excluded. Its failure rate keeps requests away from it.
func TestServerWithTimeoutsGetsFewRequests(t *testing.T) {
	fleet := newTestFleet(0, 0)
	fleet.serviceTime, fleet.slowServer = 400*time.Millisecond, "s4"
	var list []string
	for _, uid := range []string{"s1", "s2", "s3", "s4"} {
		list = append(list, fleet.serve(t, uid))
	}
	cfg := testConfig(testpeer.FullSnapshot(list...))
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = config.Duration(900 * time.Millisecond)
	}
	node := startNode(t, cfg, nil)
	runLoad(t, node, 24, 8)
	share := fleet.countRequests()
	runLoad(t, node, 24, 8)
	if view, note := share("view", "s4"), share("note", "s4"); (view+note)/2 > 0.1 {
		t.Errorf("the slow server got %.2f of the views and %.2f of the notes", view, note)
	}
}

// If requests hang now and then on all servers alike, no server can be avoided: below the first tier, attempts of retryable
// requests are cancelled while there is time for a retry. Attempts of other requests are never cancelled.
func TestHangingRequestsAreRetriedInTime(t *testing.T) {
	fleet := newTestFleet(0, 0)
	fleet.hangsOneIn = 5
	cfg := testConfig(testpeer.FullSnapshot(fleet.serve(t, "s1"), fleet.serve(t, "s2"), fleet.serve(t, "s3"), fleet.serve(t, "s4")))
	cfg.Pools[0].Tier = 1
	node := startNode(t, cfg, nil)
	const clients, requestsEach = 8, 20
	var served [2]atomic.Int64 // views and notes
	var wg sync.WaitGroup
	for i := range clients {
		client := testpeer.Dial(t, node.Addr())
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range 2 * requestsEach {
				method, target, body := "GET", "/view/k", ""
				if j%2 == 1 {
					method, target, body = "POST", "/note/k", "x"
				}
				client.Send(method, target, fmt.Sprintf("%d-%d", i, j), body, "1")
				r, err := http.ReadResponse(client.Reader, nil)
				if err != nil {
					t.Error(err)
					return
				}
				io.Copy(io.Discard, r.Body)
				if r.StatusCode == 200 {
					served[j%2].Add(1)
				}
			}
		}()
	}
	wg.Wait()
	views, notes := float64(served[0].Load())/(clients*requestsEach), float64(served[1].Load())/(clients*requestsEach)
	if views < 0.9 || notes < 0.99 {
		t.Errorf("%.2f of the views and %.2f of the notes were served", views, notes)
	}
}

// Servers that failed all requests and have recovered get their share back within some dozens of replies.
func TestRecoveredServersAreUsedAgain(t *testing.T) {
	fleet := newTestFleet(0, 0, "s2 view", "s2 note", "s4 view", "s4 note")
	var list []string
	for _, uid := range []string{"s1", "s2", "s3", "s4"} {
		list = append(list, fleet.serve(t, uid))
	}
	node := startNode(t, testConfig(testpeer.FullSnapshot(list...)), nil)
	runLoad(t, node, 20, 100)
	fleet.mu.Lock()
	clear(fleet.failing)
	fleet.mu.Unlock()
	runLoad(t, node, 2, 60)
	share := fleet.countRequests()
	runLoad(t, node, 2, 90)
	for _, uid := range []string{"s2", "s4"} {
		if got := share("note", uid); got < 0.1 {
			t.Errorf("%s got %.2f of the notes", uid, got)
		}
	}
}

// In overload every server rejects requests, and if the tier behind the servers has a fault they all fail alike: no server is
// excluded in either case.
func TestPanicThresholdKeepsFailingServersInUse(t *testing.T) {
	for name, fleet := range map[string]*testFleet{"all fail": newTestFleet(2, 0, "s1 view", "s2 view", "s3 view", "s4 view",
		"s1 note", "s2 note", "s3 note", "s4 note"), "all are full": newTestFleet(0, 1), "all fail and are full": newTestFleet(2, 1,
		"s1 view", "s2 view", "s3 view", "s4 view")} {
		t.Run(name, func(t *testing.T) {
			uids := []string{"s1", "s2", "s3", "s4"}
			var list []string
			for _, uid := range uids {
				list = append(list, fleet.serve(t, uid))
			}
			node := startNode(t, testConfig(testpeer.FullSnapshot(list...)), nil)
			runLoad(t, node, 6, 60)
			share := fleet.countRequests()
			runLoad(t, node, 6, 200)
			for _, uid := range uids {
				for _, class := range []string{"view", "note"} {
					if got := share(class, uid); got < 0.07 {
						t.Errorf("%s got %.2f of class %s", uid, got, class)
					}
				}
			}
		})
	}
}
