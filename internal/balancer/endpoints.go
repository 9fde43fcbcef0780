package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ServerState is what discovery says of a server.
type ServerState int

// Server states.
const (
	Ready ServerState = iota
	Draining
	Removed
)

// Server is an entry of the discovery list.
type Server struct {
	ID    string
	Zone  string
	Cell  int
	State ServerState
	Size  float64       // what it can carry against others, as listed; 0: not told
	Boot  time.Duration // clock time of its last start; 0: long ago
}

const (
	leftShare = 0.5 // share of the list in the left group
)

// server is a listed server, or one that left with requests of ours still out.
type server struct {
	Server
	zone      *zone
	listed    bool
	inFlight  int        // own requests in flight
	uploading int        // own requests whose bodies still go there
	open      []*attempt // the same requests in order of sending

	badStreak       int // bad endings in a row
	ejectionLevel   int // doublings of the next ejection
	goodStreak      int // good endings in a row
	ejectedUntil    time.Duration
	logLatencyRatio float64 // mean log of latency over the class mean
	latencySamples  int
	lastSuccess     time.Duration
	knownCapacity   int           // own requests that it had taken when it refused one more
	fullUntil       time.Duration // no more than room until then
	rejections      int           // in a row
	excluded        bool          // ruled out for the request at hand
	failures        map[*class]fadingShare
	subsetShare     float64       // of it that lies in this node's pool; 0: none
	reportedLoad    float64       // requests that it held by the last word of it
	reportedAt      time.Duration // when it did; 0: nothing is known
}

// groups are the left and the right group, or a part of each.
type groups struct{ left, right []*server }

// idle says that no own request is at a server, or on its way there.
func (s *server) idle() bool { return s.inFlight+s.uploading == 0 }

// takeList applies news of the servers. A new boot time resets what is known of a server.
func (b *Balancer) takeList(e ServerList) {
	if e.Full {
		for _, s := range b.servers {
			s.listed = false
		}
	}
	for _, n := range e.Servers {
		s := b.servers[n.ID]
		if s == nil {
			s = &server{failures: map[*class]fadingShare{}}
			b.servers[n.ID] = s
		} else if s.Boot != n.Boot {
			*s = server{inFlight: s.inFlight, uploading: s.uploading, open: s.open, failures: map[*class]fadingShare{}}
		}
		s.Server, s.zone, s.listed = n, b.zoneOf(n.Zone), n.State != Removed
		b.updateOrder(s)
	}
	if e.Full {
		for _, s := range b.servers {
			b.updateOrder(s)
		}
	}
	b.forgetZones()
	b.meanSize = meanServerSize(b.ready)
	cut := int(math.Ceil(leftShare * float64(len(b.ready))))
	b.allGroups, b.subsetSize = groups{b.ready[:cut], b.ready[cut:]}, 0
	b.window = cmp.Or(b.window, windowStart*b.serversPerNode())
	b.listFailures = 0
	if e.Cached { // as at a start, before anything has failed
		b.pollAgain()
	}
	b.releaseDelayed()
}

// updateOrder keeps a server's place in the shared order, by id, which all see alike. An idle unlisted one is
// forgotten.
func (b *Balancer) updateOrder(s *server) {
	i, in := slices.BinarySearchFunc(b.ready, s.ID, func(o *server, id string) int { return cmp.Compare(o.ID, id) })
	if in {
		b.ready = slices.Delete(b.ready, i, i+1)
	}
	if s.listed && s.State == Ready {
		b.ready = slices.Insert(b.ready, i, s)
	} else if !s.listed && s.idle() {
		delete(b.servers, s.ID)
	}
}

// pollAgain plans a Subscribe where the list must be asked for. Jitter keeps copies that start, or lose their
// subscription, together from swamping discovery; the wait doubles with each failure, but all counts as told soon.
func (b *Balancer) pollAgain() {
	if !b.settings.PollDiscovery {
		return
	}
	most := min(time.Second, b.settings.PollInterval/4)
	wait := min(most, most/16<<min(b.listFailures, 4))
	b.subscribeAt = b.now + time.Duration(b.rng.Float64()*float64(wait)) + 1
	b.emit(SetTimer{At: b.subscribeAt, Token: "list"})
}

// serversPerNode is how many servers there are for each copy of this tier.
func (b *Balancer) serversPerNode() float64 {
	return float64(len(b.ready)) / float64(max(1, b.settings.Balancers))
}
