package node

import (
	"os"
	"testing"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/zonestate"
)

// The published load has rates between two samples, versions, the servers of the own zone, and individual servers only if
// they had failures. A counter that restarted is not published as a negative rate.
func TestPublishedLoad(t *testing.T) {
	previous := sample{at: time.Second, stats: map[string]engine.Stats{"p": {Classes: map[string]engine.ClassStats{"view": {Requests: 10, Rejected: 5}},
		Zones: map[string]engine.ZoneStats{"a": {Ended: 8, Failures: 1, TotalLatency: time.Second}}, Servers: map[string]engine.ServerStats{"s1": {Failures: 1}, "s2": {Failures: 1}}}}}
	current := sample{at: 3 * time.Second, zone: "a", sharedConfig: 77, stats: map[string]engine.Stats{"p": {ListRevision: 9, Classes: map[string]engine.ClassStats{"view": {Requests: 16, Rejected: 2, InFlight: 3}},
		Zones:   map[string]engine.ZoneStats{"a": {Ended: 12, Failures: 3, TotalLatency: 2 * time.Second, Ready: 4, WarmedUp: 2}, "b": {Ready: 9}},
		Servers: map[string]engine.ServerStats{"s1": {Failures: 3, InFlight: 6}, "s2": {Failures: 1, InFlight: 2}}, LatencyHistogram: [engine.LatencyBuckets]int64{4: 2}}}}
	got := map[zonestate.Entry]bool{}
	load := loadBetween(previous, current)
	for _, e := range load.Entries {
		got[e] = true
	}
	name := zonestate.SubjectOf
	want := []zonestate.Entry{{Kind: zonestate.Demand, Subject: name("view"), Value: 3}, {Kind: zonestate.OpenRequests, Subject: name("view"), Value: 3},
		{Kind: zonestate.Attempts, Subject: name("a"), Value: 2}, {Kind: zonestate.FailedAttempts, Subject: name("a"), Value: 1}, {Kind: zonestate.AttemptTime, Subject: name("a"), Value: 0.5},
		{Kind: zonestate.ReadyServers, Subject: name("a"), Value: 4}, {Kind: zonestate.WarmServers, Subject: name("a"), Value: 2},
		{Kind: zonestate.NewestVersion, Subject: name("list of p"), Value: 9}, {Kind: zonestate.OldestVersion, Subject: name("list of p"), Value: 9},
		{Kind: zonestate.NewestVersion, Subject: name("configuration"), Value: 77}, {Kind: zonestate.OldestVersion, Subject: name("configuration"), Value: 77},
		{Kind: zonestate.ServerFailures, Subject: name("s1"), Value: 1}, {Kind: zonestate.ServerInFlight, Subject: name("s1"), Value: 6}, {Kind: zonestate.LatencyHistogram, Subject: 4, Value: 1}}
	for _, e := range want {
		if !got[e] {
			t.Errorf("missing entry %+v", e)
		}
	}
	if len(got) != len(want) || load.Names[name("s1")] != "s1" {
		t.Errorf("got %d entries, want %d: %v", len(got), len(want), load.Entries)
	}
}

// The platform's configuration has no peers block and no federation, so the node opens no gossip transport and no links,
// and collects no stats for peers.
func TestPlatformNodeOpensNoGossipSocket(t *testing.T) {
	ag := testpeer.NewAgent(t)
	cfg := testConfig(`{"rev":%d,"all":true,"targets":[]}`)
	*cfg.registry() = ag.Address()
	n, _ := startNode(t, cfg, nil)
	testpeer.Until(t, "the node to run", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.serving
	})
	if s := n.Status(); n.peers != nil || s.Peers != nil || n.gateway != nil || s.Gateway != nil || len(n.pools) != 1 {
		t.Errorf("gossip transport is open: %+v", s.Peers)
	}
	for name, p := range n.pools {
		if s := p.engine.Stats(); s.Classes != nil {
			t.Errorf("pool %s collects stats for peers: %+v", name, s)
		}
	}
}

// A node with a peers block reports the peers and zones that it knows.
func TestManagementReportsPeers(t *testing.T) {
	cfg := testConfig(`{"rev":%d,"all":true,"targets":[]}`)
	*cfg.registry() = testpeer.NewAgent(t).Address()
	key := t.TempDir() + "/key"
	if err := os.WriteFile(key, []byte("a key of sixteen bytes or more"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg.Node.Name = "n1"
	cfg.Node.Peers = config.Peers{Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", KeyFile: key, ProbeInterval: config.Duration(time.Second),
		MaxZoneStateAge: config.Duration(time.Second), MaxDelay: config.Duration(10 * time.Millisecond)}
	n, _ := startNode(t, cfg, nil)
	testpeer.Until(t, "its own zone to be known", func() bool {
		p := n.Metrics().Peers
		return p != nil && p.Isolated && p.Zones["fresh"] == 1 && len(p.Members) == 0
	})
}
