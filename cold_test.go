package woodpick

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// due are outcomes to come, the earliest first.
type due []arrival

type arrival struct {
	at   time.Duration
	node int
	out  Outcome
}

func (d due) Len() int           { return len(d) }
func (d due) Less(i, j int) bool { return d[i].at < d[j].at }
func (d due) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *due) Push(x any)        { *d = append(*d, x.(arrival)) }
func (d *due) Pop() any          { o := *d; x := o[len(o)-1]; *d = o[:len(o)-1]; return x }

// A cold server falls when it gets more than N + 3 root of N + 3 calls in the time that the settings name, N being what it
// can do then. Whatever the number of nodes that deal out the same load, no cold server gets as many, though each node
// goes by its own few calls: here N is what it can do in a second at the share of its capacity that it has, and the
// fleet asks three quarters of what all warm servers can do.
func TestAFleetPushesNoColdServerOver(t *testing.T) {
	const (
		all, cold = 40, 10
		capacity  = 40.0 // calls a second of a warm server
		took      = 100 * time.Millisecond
		length    = 12 * time.Second
		window    = time.Second
	)
	for _, nodes := range []int{1, 50, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(nodes), 1))
			start := 100 * time.Second
			list := servers(all)
			for i := range cold {
				list[3*i].Boot = start
			}
			fleet := make([]*Balancer, nodes)
			for i := range fleet {
				set := testSettings()
				set.Balancers, set.Index, set.WarmAfter, set.ColdFrom = nodes, i, 10*time.Second, 0.2
				b, err := New(set, uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				b.Handle(start-time.Second, ServerList{Full: true, Servers: list})
				fleet[i] = b
			}
			sent := map[string][]time.Duration{}
			var out due
			do := func(node int, now time.Duration, acts []Action) {
				for _, s := range sends(acts) {
					sent[s.Server] = append(sent[s.Server], now)
					heap.Push(&out, arrival{now + took, node, Outcome{ID: s.ID, Server: s.Server, Ending: Success, Latency: took, Ended: true}})
				}
			}
			rate := 0.75 * all * capacity
			now, n := start, 0
			for now < start+length {
				now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
				for len(out) > 0 && out[0].at <= now {
					a := heap.Pop(&out).(arrival)
					do(a.node, a.at, fleet[a.node].Handle(a.at, a.out))
				}
				n++
				k := rng.IntN(nodes)
				do(k, now, fleet[k].Handle(now, Request{ID: fmt.Sprint(n), Class: "get", Deadline: now + time.Minute}))
			}
			worst, total := 0.0, 0
			for i := range cold {
				times := sent[list[3*i].ID]
				total += len(times)
				for from, j := 0, 0; j < len(times); j++ {
					for times[j]-times[from] > window {
						from++
					}
					share := min(1, 0.2+0.8*(times[from]-start).Seconds()/10)
					allowed := share * capacity
					worst = max(worst, float64(j-from+1)/(allowed+3*math.Sqrt(allowed)+3))
				}
			}
			t.Logf("%d nodes: at most %.2f of what pushes a cold server over; the cold ones got %d calls", nodes, worst, total)
			if worst > 1 {
				t.Errorf("a cold server got %.2f of what pushes it over", worst)
			}
			if total < 500 {
				t.Errorf("the cold servers got %d calls: the ramp never rose", total)
			}
		})
	}
}
