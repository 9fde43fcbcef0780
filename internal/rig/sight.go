package rig

import (
	"fmt"
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
