package rig

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Sight is what a node came to hold of another, when its log said so.
type Sight struct {
	At     time.Duration
	Node   int // that holds it
	Of     int
	Status string // alive, suspect, dead, left
}

// sight takes a line of a node's log, if it tells of a member.
func (f *fleet) sight(n *node, line string) {
	_, rest, found := strings.Cut(line, "msg=member ")
	if !found {
		return
	}
	s := Sight{At: f.now(), Node: n.index, Of: -1}
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
	f.sights = append(f.sights, s)
}

// Strike is a node that a fault has struck: from when until when it was no good to others.
type Strike struct {
	Fault    string
	Node     int
	From, To time.Duration
}

// struck notes one.
func (f *fleet) struck(s Strike) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.strikes = append(f.strikes, s)
}

// Deaths tells how well nodes came to know of one another's deaths.
type Deaths struct {
	Struck  int           // nodes that were killed or stopped
	Known   float64       // share of the others, over all of these, that came to hold them for dead
	Median  time.Duration // from the strike until a node held it for dead, of those that did
	Most    time.Duration
	Wrongly int // times that a node came to hold for dead one that was not struck by then, links cut or not
}

// Deaths works it out over a run of so many nodes.
func (r *Result) Deaths(nodes int) (d Deaths) {
	var took []time.Duration
	by := map[int][]Strike{}
	for _, s := range r.Strikes {
		by[s.Node] = append(by[s.Node], s)
		d.Struck++
	}
	seen := map[[3]int]bool{}
	for _, s := range r.Sights {
		if s.Status != "dead" {
			continue
		}
		found := false
		for k, x := range by[s.Of] {
			// A word of a death may still come when the dead one is back.
			if s.At >= x.From && s.At <= x.To+10*time.Second {
				found = true
				if key := [3]int{s.Of, k, s.Node}; !seen[key] {
					seen[key] = true
					took = append(took, s.At-x.From)
				}
			}
		}
		if !found {
			d.Wrongly++
		}
	}
	if len(took) > 0 {
		slices.Sort(took)
		d.Known = float64(len(took)) / float64(d.Struck*(nodes-1))
		d.Median, d.Most = took[len(took)/2], took[len(took)-1]
	}
	return d
}

// Holds is what each node holds of each other at a time of the run, by the sights until then: "" of one that it never
// heard of.
func (r *Result) Holds(nodes int, at time.Duration) [][]string {
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
