package balancer

import (
	"math"
	"slices"
	"strings"
	"time"
)

// ServerState is what discovery says of a server.
type ServerState int

// Server states.
const (
	Ready    ServerState = iota
	Draining             // gets no new requests, and finishes those it has
	Removed              // is not listed any more
)

// Server is an entry of the endpoint list.
type Server struct {
	ID    string
	Zone  string
	Cell  int
	State ServerState
	Size  float64       // capacity against others, as listed; 0: not told
	Boot  time.Duration // clock time of its last start; 0: long ago
}

// leftShare is the share of the list that is in the left group.
const leftShare = 0.5

// listTimer is the token of the timer that subscribes to the list again.
const listTimer = "list"

// Bounds of the wait before the list is asked for again.
const (
	maxSubscribeWait    = time.Second
	minSubscribeDivisor = 16 // the first wait is that part of the longest one
	maxWaitDoublings    = 4
)

// server is a listed server, or one that left the list while own requests are in flight there.
type server struct {
	Server
	zone      *zone
	listed    bool
	inFlight  int        // own requests in flight
	uploading int        // own requests whose bodies are still on their way there
	open      []*attempt // the attempts in flight, in order of sending

	badStreak       int // bad results in a row
	ejectionLevel   int // doublings of the next ejection
	goodStreak      int // good results in a row
	ejectedUntil    time.Duration
	logLatencyRatio float64 // mean log of latency over the class mean
	latencySamples  int
	lastSuccess     time.Duration
	knownCapacity   int           // own requests in flight there when it rejected one more
	fullUntil       time.Duration // no more than knownCapacity until then
	rejections      int           // in a row
	excluded        bool          // for the request at hand
	failures        map[*class]fadingShare
	subsetShare     float64       // part of it that lies in this node's subset; 0: none
	reportedLoad    float64       // requests that it held by its last load report
	reportedAt      time.Duration // when that was so; 0: nothing is known
}

// groups are the left and the right group, or a part of each.
type groups struct{ left, right []*server }

// idle says that no own request is at a server, or on its way there.
func (s *server) idle() bool { return s.inFlight+s.uploading == 0 }

// takeList applies a list or its changes. A new boot time resets what is known of a server.
func (b *Balancer) takeList(e ServerList) {
	if e.Full {
		for _, s := range b.servers {
			s.listed = false
		}
	}
	for _, entry := range e.Servers {
		b.takeServer(entry)
	}
	if e.Full {
		for _, s := range b.servers {
			b.updateOrder(s)
		}
	}
	b.forgetZones()
	b.meanSize = meanServerSize(b.ready)
	cut := int(math.Ceil(leftShare * float64(len(b.ready))))
	b.allGroups.left = b.ready[:cut]
	b.allGroups.right = b.ready[cut:]
	b.subsetSize = 0
	if b.window == 0 { // the first list
		b.window = windowStart * b.serversPerNode()
	}
	b.listFailures = 0
	if e.Cached { // as at a start, before anything has failed
		b.pollAgain()
	}
	b.releaseDelayed()
}

// takeServer applies one entry of the list.
func (b *Balancer) takeServer(entry Server) {
	s := b.servers[entry.ID]
	if s == nil {
		s = &server{failures: map[*class]fadingShare{}}
		b.servers[entry.ID] = s
	} else if s.Boot != entry.Boot {
		s.forgetLearned()
	}
	s.Server = entry
	s.zone = b.zoneOf(entry.Zone)
	s.listed = entry.State != Removed
	b.updateOrder(s)
}

// forgetLearned drops what was learned of a server that has started anew. Its open requests stay.
func (s *server) forgetLearned() {
	*s = server{
		inFlight:  s.inFlight,
		uploading: s.uploading,
		open:      s.open,
		failures:  map[*class]fadingShare{},
	}
}

// updateOrder keeps a server's place in the shared order, by id, which all see alike. An idle unlisted one is
// forgotten.
func (b *Balancer) updateOrder(s *server) {
	byID := func(o *server, id string) int { return strings.Compare(o.ID, id) }
	i, found := slices.BinarySearchFunc(b.ready, s.ID, byID)
	if found {
		b.ready = slices.Delete(b.ready, i, i+1)
	}
	if s.listed && s.State == Ready {
		b.ready = slices.Insert(b.ready, i, s)
		return
	}
	if !s.listed && s.idle() {
		delete(b.servers, s.ID)
	}
}

// forgetServer drops a server that has left the list once nothing is in flight there.
func (b *Balancer) forgetServer(s *server) {
	if s.listed || !s.idle() {
		return
	}
	if b.servers[s.ID] == s {
		delete(b.servers, s.ID)
	}
}

// pollAgain sets the timer of a Subscribe where the list must be asked for. Jitter keeps nodes that start, or lose
// their subscription, together from overloading discovery; the backoff doubles with each failure and stays short, for
// a change of the list counts as known soon after discovery had it.
func (b *Balancer) pollAgain() {
	if !b.settings.PollDiscovery {
		return
	}
	longest := min(maxSubscribeWait, b.settings.PollInterval/4)
	doublings := min(b.listFailures, maxWaitDoublings)
	wait := min(longest, longest/minSubscribeDivisor<<doublings)
	jittered := time.Duration(b.rng.Float64() * float64(wait))
	b.subscribeAt = b.now + jittered + 1
	b.emit(SetTimer{At: b.subscribeAt, Token: listTimer})
}

// nodes is the number of nodes of this tier, at least 1.
func (b *Balancer) nodes() float64 {
	return float64(max(1, b.settings.Balancers))
}

// serversPerNode is how many ready servers there are for each node of this tier.
func (b *Balancer) serversPerNode() float64 {
	return float64(len(b.ready)) / b.nodes()
}
