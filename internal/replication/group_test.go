package replication

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"damsontrestle/internal/peering"
	"damsontrestle/internal/testpeer"
)

// testNode is a replicator with its links.
type testNode struct {
	hub        *peering.Hub
	replicator *Replicator
}

// testGroup holds replicators by name, connected to one another over loopback.
type testGroup map[string]*testNode

type hubLinks struct{ hub *peering.Hub }

func (l hubLinks) To(name string) *peering.Link {
	return l.hub.Link(peering.GatewayID{Partner: "p", Name: name})
}
func (l hubLinks) All() []*peering.Link { return l.hub.Links("p") }

// newTestNode starts a replicator without links. Its clock starts at begin.
func newTestNode(tb testing.TB, self Gateway, members func() []Gateway, run RunFunc, begin time.Time) *testNode {
	tb.Helper()
	links := &hubLinks{}
	log := slog.New(slog.DiscardHandler)
	replicator := New(Options{
		Self:           self,
		Links:          links,
		Group:          members,
		Run:            run,
		NextStep:       func(*Record, []Intent, time.Duration) Step { return GiveUp },
		Heartbeat:      250 * time.Millisecond,
		Silence:        time.Minute,
		Replicas:       3,
		Memory:         1 << 30,
		Retention:      time.Second,
		RecoveryWindow: func() time.Duration { return time.Second },
		MaxIntentAge:   time.Minute,
		Now:            func() time.Duration { return time.Since(begin) },
		Log:            log,
	})
	hub, err := peering.Open(peering.Options{
		Self:             peering.Peer{Partner: "p", Name: self.Name, Incarnation: self.Incarnation},
		Listen:           "127.0.0.1:0",
		Key:              func(string) []byte { return []byte("key") },
		Topics:           replicator.Topics(),
		HeartbeatTimeout: time.Minute,
		Log:              log,
	})
	if err != nil {
		tb.Fatal(err)
	}
	links.hub = hub
	return &testNode{hub, replicator}
}

// newTestGroup starts n replicators that are connected to one another and execute requests with run.
func newTestGroup(tb testing.TB, n int, run RunFunc) testGroup {
	tb.Helper()
	group := testGroup{}
	var names []string
	begin := time.Now()
	for i := range n {
		names = append(names, fmt.Sprint("g", i))
	}
	members := func() (out []Gateway) {
		for i, name := range names {
			out = append(out, Gateway{Name: name, Incarnation: uint64(i + 1)})
		}
		return out
	}
	for i, name := range names {
		group[name] = newTestNode(tb, Gateway{Name: name, Incarnation: uint64(i + 1)}, members, run, begin)
	}
	tb.Cleanup(func() {
		for _, node := range group {
			node.replicator.Close()
			node.hub.Close()
		}
	})
	for i, a := range names {
		for _, b := range names[i+1:] {
			group[a].hub.Connect(group[b].hub.Addr(), "p")
		}
	}
	for name, node := range group {
		testpeer.Until(tb, name+" to be connected to all other nodes", func() bool { return len(node.hub.Links("p")) >= n-1 })
	}
	return group
}
