package node

import (
	"testing"
	"time"

	"woodpick/internal/engine"
	"woodpick/internal/facts"
)

// What is told are rates between two glimpses, versions, the own zone's servers, and of servers those in trouble; what was
// counted anew is not told as a rate below nothing.
func TestWhatIsTold(t *testing.T) {
	was := glimpse{at: time.Second, sights: map[string]engine.Sight{"p": {Classes: map[string]engine.ClassSight{"view": {Calls: 10, Refused: 5}},
		Zones: map[string]engine.ZoneSight{"a": {Ended: 8, Bad: 1, Took: time.Second}}, Servers: map[string]engine.ServerSight{"s1": {Bad: 1}, "s2": {Bad: 1}}}}}
	is := glimpse{at: 3 * time.Second, zone: "a", shared: 77, sights: map[string]engine.Sight{"p": {Rev: 9, Classes: map[string]engine.ClassSight{"view": {Calls: 16, Refused: 2, Open: 3}},
		Zones:   map[string]engine.ZoneSight{"a": {Ended: 12, Bad: 3, Took: 2 * time.Second, Ready: 4, Warm: 2}, "b": {Ready: 9}},
		Servers: map[string]engine.ServerSight{"s1": {Bad: 3, Held: 6}, "s2": {Bad: 1, Held: 2}}, Took: [engine.Buckets]int64{4: 2}}}}
	got := map[facts.Entry]bool{}
	seen := told(was, is)
	for _, e := range seen.Entries {
		got[e] = true
	}
	name := facts.SubjectOf
	want := []facts.Entry{{Kind: facts.Demand, Subject: name("view"), Value: 3}, {Kind: facts.Open, Subject: name("view"), Value: 3},
		{Kind: facts.Sent, Subject: name("a"), Value: 2}, {Kind: facts.Bad, Subject: name("a"), Value: 1}, {Kind: facts.Lag, Subject: name("a"), Value: 0.5},
		{Kind: facts.Ready, Subject: name("a"), Value: 4}, {Kind: facts.Warm, Subject: name("a"), Value: 2},
		{Kind: facts.Newest, Subject: name("list of p"), Value: 9}, {Kind: facts.Oldest, Subject: name("list of p"), Value: 9},
		{Kind: facts.Newest, Subject: name("configuration"), Value: 77}, {Kind: facts.Oldest, Subject: name("configuration"), Value: 77},
		{Kind: facts.Trouble, Subject: name("s1"), Value: 1}, {Kind: facts.Held, Subject: name("s1"), Value: 6}, {Kind: facts.Sketch, Subject: 4, Value: 1}}
	for _, e := range want {
		if !got[e] {
			t.Errorf("%+v is not told", e)
		}
	}
	if len(got) != len(want) || seen.Names[name("s1")] != "s1" {
		t.Errorf("%d are told, %d wanted: %v", len(got), len(want), seen.Entries)
	}
}
