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

// testFleet is a list of servers that fail some requests at once with a 500, by class, and count all they get.
type testFleet struct {
	mu          sync.Mutex
	received    map[string]int  // by uid and class
	failing     map[string]bool // by uid and class
	servedOneIn int             // of those that fail one in so many is served all the same; 0: none
	capacity    int             // requests that each serves at once; beyond that it rejects. 0: any number
	inFlight    map[string]int
	serviceTime time.Duration // how long what is served takes
	slowServer  string        // the server that takes too long for anything
	hangsOneIn  int           // of the views, one in so many is never answered; 0: none
	rng         *rand.Rand
}

func newTestFleet(part, room int, fails ...string) *testFleet {
	f := &testFleet{received: map[string]int{}, failing: map[string]bool{}, inFlight: map[string]int{}, servedOneIn: part, capacity: room, serviceTime: 5 * time.Millisecond,
		rng: rand.New(rand.NewPCG(1, 2))}
	for _, k := range fails {
		f.failing[k] = true
	}
	return f
}

// serve starts a server and returns its entry.
func (f *testFleet) serve(t *testing.T, uid string) string {
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		class := strings.Split(r.URL.Path, "/")[1]
		f.mu.Lock()
		f.received[uid+" "+class]++
		fails := f.failing[uid+" "+class] && !(f.servedOneIn > 0 && f.rng.IntN(f.servedOneIn) == 0)
		full := f.capacity > 0 && f.inFlight[uid] >= f.capacity
		hangs := f.hangsOneIn > 0 && class == "view" && f.rng.IntN(f.hangsOneIn) == 0
		f.inFlight[uid]++
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			f.inFlight[uid]--
			f.mu.Unlock()
		}()
		head := ""
		switch {
		case full:
			head = "503 Full\r\nX-Not-Run: 1"
		case fails:
			head = "500 Oh"
		case uid == f.slowServer || hangs:
			c.Read(make([]byte, 1)) // returns when the node gives up
			return false
		default:
			time.Sleep(f.serviceTime)
			return testpeer.Echo(c, r, body)
		}
		_, err := io.WriteString(c, "HTTP/1.1 "+head+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	return testpeer.Entry(uid, s.Address(), "in_service")
}

// countRequests forgets what came so far and returns a function that tells the share of a class that some got since.
func (f *testFleet) countRequests() func(class string, uids ...string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = map[string]int{}
	return func(class string, uids ...string) float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		all, some := 0, 0
		for k, n := range f.received {
			uid, c, _ := strings.Cut(k, " ")
			if c == class {
				all += n
				if slices.Contains(uids, uid) {
					some += n
				}
			}
		}
		return float64(some) / float64(max(1, all))
	}
}

// runLoad has clients send both classes, each waiting for its answer, and returns the share served.
func runLoad(t *testing.T, n *testNode, most, each int) float64 {
	var served atomic.Int64
	var clients sync.WaitGroup
	for i := range most {
		c := testpeer.Dial(t, n.Addr())
		clients.Add(1)
		go func() {
			defer clients.Done()
			for j := range each {
				id := fmt.Sprintf("%p-%d-%d", c, i, j)
				if j%3 == 0 {
					c.Get(id)
				} else {
					c.Send("POST", "/note/k", id, "x", "60")
				}
				r, err := http.ReadResponse(c.Reader, nil)
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
	clients.Wait()
	return float64(served.Load()) / float64(most*each)
}

// Servers that fail one class at once, wholly or in part, serve the others well, so no run of bad endings
// lasts, and having few requests they win the draw. Their share of failures keeps that class away from them,
// also when they are replaced by others that do the same, and the rest of the work stays with them.
func TestServersFailingOneClassGetFewOfItsRequests(t *testing.T) {
	for _, part := range []int{0, 4} {
		t.Run(fmt.Sprint("one served in ", part), func(t *testing.T) {
			f := newTestFleet(part, 0, "s3 view", "s4 view", "s5 view", "s6 view")
			list := []string{f.serve(t, "s1"), f.serve(t, "s2"), f.serve(t, "s3"), f.serve(t, "s4")}
			n := startNode(t, testConfig(testpeer.Whole(list...)), nil)
			for _, bad := range [][]string{{"s3", "s4"}, {"s5", "s6"}} {
				if bad[0] == "s5" {
					list[2], list[3] = f.serve(t, "s5"), f.serve(t, "s6")
					n.updateList(t, testpeer.Whole(list...))
					testpeer.Until(t, "the new list", func() bool {
						_, listed := n.backend.server("s6")
						return listed
					})
				}
				runLoad(t, n, 20, 20) // to meet them
				share := f.countRequests()
				served := runLoad(t, n, 20, 90)
				views, notes := share("view", bad...), share("note", bad...)
				if views > 0.35 || notes < 0.4 || served < 0.97 {
					t.Errorf("%v got %.2f of the views and %.2f of the notes; %.3f of all were served",
						bad, views, notes, served)
				}
			}
		})
	}
}

// A server that lets most time out holds its part of the node's requests for nothing, and in a small fleet none
// may be ruled out. Its share of failures keeps requests away from it.
func TestServerWithTimeoutsGetsFewRequests(t *testing.T) {
	f := newTestFleet(0, 0)
	f.serviceTime, f.slowServer = 400*time.Millisecond, "s4"
	var list []string
	for _, uid := range []string{"s1", "s2", "s3", "s4"} {
		list = append(list, f.serve(t, uid))
	}
	cfg := testConfig(testpeer.Whole(list...))
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = config.Duration(900 * time.Millisecond)
	}
	n := startNode(t, cfg, nil)
	runLoad(t, n, 24, 8)
	share := f.countRequests()
	runLoad(t, n, 24, 8)
	if view, note := share("view", "s4"), share("note", "s4"); (view+note)/2 > 0.1 {
		t.Errorf("it got %.2f of the views and %.2f of the notes", view, note)
	}
}

// Where servers alike let requests hang now and then, nobody can be avoided: those that may run again are cut
// short while there is time for another, below the first tier. A request that may not run again is never cut.
func TestHangingRequestsAreRetriedInTime(t *testing.T) {
	f := newTestFleet(0, 0)
	f.hangsOneIn = 5
	cfg := testConfig(testpeer.Whole(f.serve(t, "s1"), f.serve(t, "s2"), f.serve(t, "s3"), f.serve(t, "s4")))
	cfg.Pools[0].Tier = 1
	n := startNode(t, cfg, nil)
	const callers, each = 8, 20
	var served [2]atomic.Int64 // of the views and of the notes
	var all sync.WaitGroup
	for i := range callers {
		c := testpeer.Dial(t, n.Addr())
		all.Add(1)
		go func() {
			defer all.Done()
			for j := range 2 * each {
				method, target, body := "GET", "/view/k", ""
				if j%2 == 1 {
					method, target, body = "POST", "/note/k", "x"
				}
				c.Send(method, target, fmt.Sprintf("%d-%d", i, j), body, "1")
				r, err := http.ReadResponse(c.Reader, nil)
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
	all.Wait()
	views, notes := float64(served[0].Load())/(callers*each), float64(served[1].Load())/(callers*each)
	if views < 0.9 || notes < 0.99 {
		t.Errorf("%.2f of the views and %.2f of the notes were served", views, notes)
	}
}

// Servers that failed all and have recovered get their part back in the time that some dozens of answers take.
func TestRecoveredServersAreUsedAgain(t *testing.T) {
	f := newTestFleet(0, 0, "s2 view", "s2 note", "s4 view", "s4 note")
	var list []string
	for _, uid := range []string{"s1", "s2", "s3", "s4"} {
		list = append(list, f.serve(t, uid))
	}
	n := startNode(t, testConfig(testpeer.Whole(list...)), nil)
	runLoad(t, n, 20, 100)
	f.mu.Lock()
	clear(f.failing)
	f.mu.Unlock()
	runLoad(t, n, 2, 60)
	share := f.countRequests()
	runLoad(t, n, 2, 90)
	for _, uid := range []string{"s2", "s4"} {
		if got := share("note", uid); got < 0.1 {
			t.Errorf("%s got %.2f of the notes", uid, got)
		}
	}
}

// In overload every server turns requests away, and where the tier behind them is in trouble all fail alike:
// nobody is left out for that.
func TestPanicThresholdKeepsFailingServersInUse(t *testing.T) {
	for name, f := range map[string]*testFleet{"all fail": newTestFleet(2, 0, "s1 view", "s2 view", "s3 view", "s4 view",
		"s1 note", "s2 note", "s3 note", "s4 note"), "all are full": newTestFleet(0, 1), "all fail and are full": newTestFleet(2, 1,
		"s1 view", "s2 view", "s3 view", "s4 view")} {
		t.Run(name, func(t *testing.T) {
			uids := []string{"s1", "s2", "s3", "s4"}
			var list []string
			for _, uid := range uids {
				list = append(list, f.serve(t, uid))
			}
			n := startNode(t, testConfig(testpeer.Whole(list...)), nil)
			runLoad(t, n, 6, 60)
			share := f.countRequests()
			runLoad(t, n, 6, 200)
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
