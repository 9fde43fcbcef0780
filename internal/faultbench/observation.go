package faultbench

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/faultbench/audit"
)

// Sight is what a node came to hold of another, when its log said so.
type StatusChange struct {
	At     time.Duration
	Node   int // that holds it
	Of     int
	Status string // alive, suspect, dead, left
}

// sight takes a line of a node's log, if it tells of a member.
func (f *fleet) recordStatusChange(n *node, line string) {
	_, rest, found := strings.Cut(line, "msg=member ")
	if !found {
		return
	}
	s := StatusChange{At: f.now(), Node: n.index, Of: -1}
	for _, word := range strings.Fields(rest) {
		if name, is := strings.CutPrefix(word, "name=n"); is {
			fmt.Sscan(name, &s.Of)
		}
		if status, is := strings.CutPrefix(word, "status="); is {
			s.Status = status
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statusChanges = append(f.statusChanges, s)
}

// Strike is a node that a fault has struck: from when until when it was no good to others.
type Strike struct {
	Fault    string
	Node     int
	From, To time.Duration
}

// struck notes one.
func (f *fleet) recordStrike(s Strike) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.strikes = append(f.strikes, s)
}

// Deaths tells how well nodes came to know of one another's deaths.
type DeathDetection struct {
	Struck  int           // nodes that were killed or stopped
	Known   float64       // share of the others, over all of these, that came to hold them for dead
	Median  time.Duration // from the strike until a node held it for dead, of those that did
	Most    time.Duration
	Wrongly int // times that a node came to hold for dead one that was not struck by then, links cut or not
}

// Deaths works it out over a run of so many nodes.
func (r *Result) DeathDetection(nodes int) (d DeathDetection) {
	var delays []time.Duration
	strikesByNode := map[int][]Strike{}
	for _, s := range r.Strikes {
		strikesByNode[s.Node] = append(strikesByNode[s.Node], s)
		d.Struck++
	}
	seen := map[[3]int]bool{}
	for _, s := range r.Sights {
		if s.Status != "dead" {
			continue
		}
		found := false
		for k, x := range strikesByNode[s.Of] {
			// A word of a death may still come when the dead one is back.
			if s.At >= x.From && s.At <= x.To+10*time.Second {
				found = true
				if key := [3]int{s.Of, k, s.Node}; !seen[key] {
					seen[key] = true
					delays = append(delays, s.At-x.From)
				}
			}
		}
		if !found {
			d.Wrongly++
		}
	}
	if len(delays) > 0 {
		slices.Sort(delays)
		d.Known = float64(len(delays)) / float64(d.Struck*(nodes-1))
		d.Median, d.Most = delays[len(delays)/2], delays[len(delays)-1]
	}
	return d
}

// Holds is what each node holds of each other at a time of the run, by the sights until then: "" of one that it never
// heard of.
func (r *Result) Statuses(nodes int, at time.Duration) [][]string {
	held := make([][]string, nodes)
	for i := range held {
		held[i] = make([]string, nodes)
	}
	for _, s := range r.Sights {
		if s.At <= at && s.Node < nodes && s.Of >= 0 && s.Of < nodes {
			held[s.Node][s.Of] = s.Status
		}
	}
	return held
}

// Word is what a node came to say of what it knows of a zone, when its log said so.
type ZoneStateChange struct {
	At       time.Duration
	Node     int
	Zone     string
	Facts    string // fresh, stale, unknown
	From, Of int    // nodes of the zone that were in it, and that it holds for alive
}

// word takes a line of a node's log, if it tells of a zone, or of an age that was under-reported: only a build for the fault bench
// knows of that.
func (f *fleet) recordZoneStateChange(n *node, line string) {
	_, rest, found := strings.Cut(line, "msg=zone ")
	if !found {
		if strings.Contains(line, `msg="an age was under-reported"`) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.ageBreaches = append(f.ageBreaches, audit.Breach{Rule: "age", At: f.now(), Words: fmt.Sprintf("node %d: %s", n.index, line)})
		}
		return
	}
	w := ZoneStateChange{At: f.now(), Node: n.index}
	for _, word := range strings.Fields(rest) {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "zone":
			w.Zone = value
		case "facts":
			w.Facts = value
		case "from":
			fmt.Sscan(value, &w.From)
		case "of":
			fmt.Sscan(value, &w.Of)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zoneStateChanges = append(f.zoneStateChanges, w)
}

// Freshness tells how much of the time nodes had fresh zone state.
type Freshness struct {
	Share   float64       // of node, zone and time, while the node was not struck
	Longest time.Duration // that a node was without fresh zone state of a zone
	Median  time.Duration // of the stretches without
	Gaps    int           // such stretches
}

// Fresh works it out from one time of the run to another, over the zones that nodes spoke of.
func (r *Result) Freshness(nodes int, from, to time.Duration) (out Freshness) {
	zones := map[string]bool{}
	changesByNode := map[int][]ZoneStateChange{}
	for _, w := range r.Words {
		zones[w.Zone] = true
		changesByNode[w.Node] = append(changesByNode[w.Node], w)
	}
	var gaps []time.Duration
	var fresh, all time.Duration
	for i := range nodes {
		for zone := range zones {
			// What it said, cut into stretches by what it said and by what struck it.
			at, state := time.Duration(0), ""
			stretch := func(until time.Duration) {
				a, b := max(at, from), min(until, to)
				if b > a && state != "struck" {
					if all += b - a; state == "fresh" {
						fresh += b - a
					} else {
						gaps = append(gaps, b-a)
					}
				}
				at = max(at, until)
			}
			// Stale and unknown are one stretch without.
			same := func(a, b string) bool {
				return a == b || a != "fresh" && b != "fresh" && a != "struck" && b != "struck"
			}
			type change struct {
				at   time.Duration
				word string
			}
			var changes []change
			for _, w := range changesByNode[i] {
				if w.Zone == zone {
					changes = append(changes, change{w.At, w.Facts})
				}
			}
			for _, s := range r.Strikes {
				if s.Node == i {
					changes = slices.DeleteFunc(changes, func(t change) bool { return t.at >= s.From && t.at < s.To })
					changes = append(changes, change{s.From, "struck"}, change{s.To, "unknown"})
				}
			}
			slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
			for _, t := range changes {
				if !same(state, t.word) {
					stretch(t.at)
				}
				state = t.word
			}
			stretch(to)
		}
	}
	if all > 0 {
		out.Share = float64(fresh) / float64(all)
	}
	if slices.Sort(gaps); len(gaps) > 0 {
		out.Gaps, out.Median, out.Longest = len(gaps), gaps[len(gaps)/2], gaps[len(gaps)-1]
	}
	return out
}
