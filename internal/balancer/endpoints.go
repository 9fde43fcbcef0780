package balancer

import (
	"math"
	"slices"
	"strings"
	"time"
)

// ServerState is the state of a server in the endpoint list.
type ServerState int

// Server states.
const (
	Ready    ServerState = iota
	Draining             // gets no new requests and finishes those it has
	Removed              // no longer listed
)

// Server is an entry of the endpoint list.
type Server struct {
	ID    string
	Zone  string
	Cell  int
	State ServerState
	Size  float64       // listed capacity relative to the others; 0: unknown
	Boot  time.Duration // clock time of its last start; 0: long ago
}

// leftGroupShare is the share of the list that forms the left group.
const leftGroupShare = 0.5

// listTimer is the token of the timer for the next Subscribe.
const listTimer = "list"

// Bounds of the delay before the next Subscribe.
const (
	maxSubscribeWait      = time.Second
	subscribeWaitDivisor  = 16 // the first delay is the longest one divided by this
	maxSubscribeDoublings = 4
)

// server is a listed server, or one that left the list while own requests are still in flight to it.
type server struct {
	Server
	zone      *zone
	listed    bool
	inFlight  int        // own requests in flight
	uploading int        // own requests whose bodies are still being sent
	open      []*attempt // attempts in flight, in the order sent

	badStreak       int // consecutive bad results
	ejectionLevel   int // times that the next ejection time is doubled
	goodStreak      int // consecutive good results
	ejectedUntil    time.Duration
	logLatencyRatio float64 // mean logarithm of the latency relative to the class mean
	latencySamples  int
	lastSuccess     time.Duration
	knownCapacity   int           // own requests in flight when it rejected another one
	fullUntil       time.Duration // until then it gets at most knownCapacity requests
	rejections      int           // in a row
	excluded        bool          // from the selection for the current request
	failures        map[*class]decayingShare
	subsetShare     float64       // share of the server in this node's subset; 0: none
	reportedLoad    float64       // requests that it held at its last load report
	reportedAt      time.Duration // time of that report; 0: none
}

// groups is a left and a right group of servers, or a part of each.
type groups struct{ left, right []*server }

// idle reports whether no own request is in flight or being sent to the server.
func (s *server) idle() bool { return s.inFlight+s.uploading == 0 }

// handleServerList applies a full list or its changes. A new boot time resets a server's statistics.
func (b *Balancer) handleServerList(e ServerList) {
	if e.Full {
		for _, s := range b.servers {
			s.listed = false
		}
	}
	for _, entry := range e.Servers {
		b.updateServer(entry)
	}
	if e.Full {
		for _, s := range b.servers {
			b.updateOrder(s)
		}
	}
	b.removeEmptyZones()
	b.meanSize = meanServerSize(b.ready)
	middle := int(math.Ceil(leftGroupShare * float64(len(b.ready))))
	b.allGroups.left = b.ready[:middle]
	b.allGroups.right = b.ready[middle:]
	b.subsetSize = 0
	if b.window == 0 { // the first list
		b.window = initialWindowPerServer * b.serversPerNode()
	}
	b.listFailures = 0
	if e.Cached { // as at a start, with no failures so far
		b.scheduleSubscribe()
	}
	b.releaseDelayed()
}

// updateServer applies one entry of the list.
func (b *Balancer) updateServer(entry Server) {
	s := b.servers[entry.ID]
	if s == nil {
		s = &server{failures: map[*class]decayingShare{}}
		b.servers[entry.ID] = s
	} else if s.Boot != entry.Boot {
		s.resetStatistics()
	}
	s.Server = entry
	s.zone = b.zoneOf(entry.Zone)
	s.listed = entry.State != Removed
	b.updateOrder(s)
}

// resetStatistics drops the statistics of a server that has restarted. Its open requests stay.
func (s *server) resetStatistics() {
	*s = server{
		inFlight:  s.inFlight,
		uploading: s.uploading,
		open:      s.open,
		failures:  map[*class]decayingShare{},
	}
}

// updateOrder updates a server's position in the shared order, sorted by ID so that all nodes agree on it. It deletes
// an idle unlisted server.
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

// removeUnlistedServer deletes a server that has left the list once none of its requests is in flight.
func (b *Balancer) removeUnlistedServer(s *server) {
	if s.listed || !s.idle() {
		return
	}
	if b.servers[s.ID] == s {
		delete(b.servers, s.ID)
	}
}

// scheduleSubscribe sets the timer for the next Subscribe if the list has to be polled. Jitter keeps nodes that
// start, or lose their subscription, at the same time from overloading discovery. The delay doubles with each failure
// but stays short, because a change must be known soon after discovery publishes it.
func (b *Balancer) scheduleSubscribe() {
	if !b.settings.PollDiscovery {
		return
	}
	longest := min(maxSubscribeWait, b.settings.PollInterval/4)
	doublings := min(b.listFailures, maxSubscribeDoublings)
	wait := min(longest, longest/subscribeWaitDivisor<<doublings)
	jittered := time.Duration(b.rng.Float64() * float64(wait))
	b.subscribeAt = b.now + jittered + 1
	b.emit(SetTimer{At: b.subscribeAt, Token: listTimer})
}

// nodes returns the number of nodes of this tier, at least 1.
func (b *Balancer) nodes() float64 {
	return float64(max(1, b.settings.Balancers))
}

// serversPerNode returns the number of ready servers per node of this tier.
func (b *Balancer) serversPerNode() float64 {
	return float64(len(b.ready)) / b.nodes()
}
