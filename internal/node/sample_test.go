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

// What is told are rates between two glimpses, versions, the own zone's servers, and of servers those in trouble; what was
// counted anew is not told as a rate below nothing.
func TestPublishedLoad(t *testing.T) {
	was := sample{at: time.Second, stats: map[string]engine.Stats{"p": {Classes: map[string]engine.ClassStats{"view": {Requests: 10, Rejected: 5}},
		Zones: map[string]engine.ZoneStats{"a": {Ended: 8, Failures: 1, TotalLatency: time.Second}}, Servers: map[string]engine.ServerStats{"s1": {Failures: 1}, "s2": {Failures: 1}}}}}
	is := sample{at: 3 * time.Second, zone: "a", shared: 77, stats: map[string]engine.Stats{"p": {ListRevision: 9, Classes: map[string]engine.ClassStats{"view": {Requests: 16, Rejected: 2, InFlight: 3}},
		Zones:   map[string]engine.ZoneStats{"a": {Ended: 12, Failures: 3, TotalLatency: 2 * time.Second, Ready: 4, WarmedUp: 2}, "b": {Ready: 9}},
		Servers: map[string]engine.ServerStats{"s1": {Failures: 3, InFlight: 6}, "s2": {Failures: 1, InFlight: 2}}, LatencyHistogram: [engine.LatencyBuckets]int64{4: 2}}}}
	got := map[zonestate.Entry]bool{}
	seen := loadBetween(was, is)
	for _, e := range seen.Entries {
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
			t.Errorf("%+v is not told", e)
		}
	}
	if len(got) != len(want) || seen.Names[name("s1")] != "s1" {
		t.Errorf("%d are told, %d wanted: %v", len(got), len(want), seen.Entries)
	}
}

// On the platform, whose configuration has no peers block and no federation, no room is opened, no links are, and nothing is
// counted for others.
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
		t.Errorf("a room is open: %+v", s.Peers)
	}
	for name, p := range n.pools {
		if s := p.engine.Stats(); s.Classes != nil {
			t.Errorf("pool %s counts for others: %+v", name, s)
		}
	}
}

// A node with a peers block tells operators whom it knows.
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
