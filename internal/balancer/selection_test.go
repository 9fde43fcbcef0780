package balancer

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/spectest"
)

// Covers what the design page does not: no server is picked from empty groups, and draws from one group are uniform.
func TestSelectionFollowsDesign(t *testing.T) {
	newServers := func(requests ...int) []*server {
		var list []*server
		for i, c := range requests {
			list = append(list, &server{Server: Server{ID: fmt.Sprint(i, c)}, inFlight: c})
		}
		return list
	}
	b := newBalancer(t, nil)
	const n = 20000
	if b.pick(nil, nil) != nil {
		t.Error("picked a server from empty groups")
	}
	left, count := newServers(0, 0, 0, 0), map[*server]int{}
	for range n {
		count[b.pick(left, nil)]++
	}
	for _, s := range left {
		if got := float64(count[s]) / n; math.Abs(got-0.25) > 0.02 {
			t.Errorf("a server got %.3f of the draws, want 0.25", got)
		}
	}
}

// Below the first tier a server with several own requests is skipped while others are idle.
func TestOverloadedServerIsSkipped(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(6)})
	b.servers["s00"].inFlight, b.inFlight = 2, 2
	got := sendTraffic(b, 300, "get", func(string) Result { return Success })
	if got["s00"] != 0 || len(got) != 5 {
		t.Errorf("first attempts by server: %v, want none at s00 and some at the other five", got)
	}
}

// Slow servers are drawn less often, even if each node has no requests in flight to them.
func TestSelectionFollowsSizeAndLatency(t *testing.T) {
	list := servers(4)
	for i := range list {
		list[i].Size = 1
	}
	list[0].Size = 2
	b := newBalancer(t, func(s *Settings) { s.Tier, s.Balancers = 1, 1 })
	b.Handle(msec, ServerList{Full: true, Servers: list})
	b.servers["s02"].logLatencyRatio = math.Log(2)
	got := map[string]int{}
	for range 9000 {
		got[b.selectServer(&request{class: b.classes["get"]}).ID]++
	}
	// The other group is drawn by weight too, so the tie at zero gives each server its share of the total weight.
	total := 2 + 0.25
	for id, weight := range map[string]float64{"s00": 1, "s01": 0.5, "s02": 0.25, "s03": 0.5} {
		if f := float64(got[id]) / 9000; math.Abs(f-weight/total) > 0.02 {
			t.Errorf("%s got %.3f of the draws, want %.3f", id, f, weight/total)
		}
	}
}

// Sizes from an external list may be invalid: a server must be drawn nevertheless.
func TestServersWithUnusualSizesAreSelectable(t *testing.T) {
	list := servers(4)
	for i, size := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		list[i].Size = size
	}
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: list})
	if got := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second})); len(got) != 1 {
		t.Errorf("sent %v, want one Send", got)
	}
}

// With a coarse clock, replies may take no measurable time: that must not reduce every server's weight to zero.
func TestInstantResponsesLeaveServersSelectable(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, ServerList{Full: true, Servers: servers(4)})
	for i := range 50 {
		id := fmt.Sprint(i)
		got := sends(b.Handle(msec, Request{ID: id, Class: "get", Deadline: time.Second}))
		if len(got) != 1 {
			t.Fatalf("request %d: sent %v, want one Send", i, got)
		}
		endOnlyAttempt(b, msec, id, got[0], Success)
	}
}

// Checks every row of the design page's tables.
func TestSelectionDesignTables(t *testing.T) {
	const page = "../../docs/design/pick.md"
	group := func(inFlights string) (out []*server) {
		for i, f := range strings.Fields(inFlights) {
			if f == "none" {
				continue
			}
			n, err := strconv.Atoi(f)
			if err != nil {
				t.Fatalf("%s: %q is not a list of counts of requests in flight", page, inFlights)
			}
			out = append(out, &server{Server: Server{ID: fmt.Sprint(i)}, inFlight: n})
		}
		return out
	}
	for _, r := range spectest.Rows(t, page, "Who wins") {
		b := newBalancer(t, nil)
		left, right := group(r.At("left")), group(r.At("right"))
		want, err := strconv.ParseFloat(r.At("left wins"), 64)
		if err != nil {
			t.Fatalf("%s:%d: %v", page, r.Line, err)
		}
		const draws = 20_000
		wins := 0
		for range draws {
			s := b.pick(left, right)
			for _, member := range left {
				if s == member {
					wins++
				}
			}
		}
		if got := float64(wins) / draws; math.Abs(got-want) > 0.015 {
			t.Errorf("%s:%d: the left group wins %.3f of the draws", page, r.Line, got)
		}
	}
	for _, r := range spectest.Rows(t, page, "How the order is cut") {
		b := newBalancer(t, nil)
		list := ServerList{Full: true}
		for _, id := range strings.Fields(r.At("servers")) {
			list.Servers = append(list.Servers, Server{ID: id})
		}
		b.Handle(time.Second, list)
		names := func(group []*server) string {
			var out []string
			for _, s := range group {
				out = append(out, s.ID)
			}
			return strings.Join(out, " ")
		}
		if names(b.allGroups.left) != r.At("left") || names(b.allGroups.right) != r.At("right") {
			t.Errorf("%s:%d: the groups are %q and %q", page, r.Line, names(b.allGroups.left), names(b.allGroups.right))
		}
	}
}
