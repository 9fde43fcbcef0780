package faultbench

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/faultbench/audit"
)

// StatusChange is a change in the membership status of one node as seen by another, at the time of its log line.
type StatusChange struct {
	At     time.Duration
	Node   int    // the observer
	Of     int    // the node observed; -1: unknown
	Status string // alive, suspect, dead, left
}

// recordStatusChange records a node's log line if it reports a member's status.
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

// Strike is a fault at a node, and the period in which the node was unavailable.
type Strike struct {
	Fault    string
	Node     int
	From, To time.Duration
}

// recordStrike records a node fault.
func (f *fleet) recordStrike(s Strike) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.strikes = append(f.strikes, s)
}

// DeathDetection summarizes how well nodes detected the deaths of others.
type DeathDetection struct {
	Struck  int           // nodes that were killed or stopped
	Known   float64       // share of the other nodes, over all strikes, that detected the death
	Median  time.Duration // from the strike until detection, of the nodes that detected it
	Most    time.Duration
	Wrongly int // times that a node declared dead one that was not struck at the time, whether or not links were cut
}

// DeathDetection computes the summary for a run with the given number of nodes.
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
			// A death may still be reported after the node has returned.
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

// Statuses returns the status of each node as seen by each other at a run time: "" for a node never heard of. The first
// index is the observer.
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

// ZoneStateChange is a change in a node's state of a zone, at the time of its log line.
type ZoneStateChange struct {
	At       time.Duration
	Node     int
	Zone     string
	Facts    string // fresh, stale, unknown
	From, Of int    // nodes of the zone included in the state, and those seen as alive
}

// recordZoneStateChange records a node's log line if it reports zone state or an under-reported age. Only a build for the
// fault bench detects the latter.
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

// Freshness summarizes the time for which nodes had fresh zone state.
type Freshness struct {
	Share   float64       // of the time of every node and zone, except while the node was struck
	Longest time.Duration // longest time that a node had no fresh state of a zone
	Median  time.Duration // of the gaps
	Gaps    int           // periods without fresh state
}

// Freshness computes the summary between two run times, over the zones that nodes reported.
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
			// Divide the time into periods at each change of state and each strike.
			at, state := time.Duration(0), ""
			closePeriod := func(until time.Duration) {
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
			// Adjacent stale and unknown periods form one gap.
			samePeriod := func(a, b string) bool {
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
				if !samePeriod(state, t.word) {
					closePeriod(t.at)
				}
				state = t.word
			}
			closePeriod(to)
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
