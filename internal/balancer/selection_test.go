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

// The page of the pick holds, row by row.
func TestSelectionDesignTables(t *testing.T) {
	const page = "../../docs/design/pick.md"
	group := func(words string) (out []*server) {
		for i, f := range strings.Fields(words) {
			if f == "none" {
				continue
			}
			n, err := strconv.Atoi(f)
			if err != nil {
				t.Fatalf("%s: nobody plays %q", page, words)
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
			for _, l := range left {
				if s == l {
					wins++
				}
			}
		}
		if got := float64(wins) / draws; math.Abs(got-want) > 0.015 {
			t.Errorf("%s:%d: left wins %.3f", page, r.Line, got)
		}
	}
	for _, r := range spectest.Rows(t, page, "How the order is cut") {
		b := newBalancer(t, nil)
		l := ServerList{Full: true}
		for _, id := range strings.Fields(r.At("servers")) {
			l.Servers = append(l.Servers, Server{ID: id})
		}
		b.Handle(time.Second, l)
		names := func(group []*server) string {
			var out []string
			for _, s := range group {
				out = append(out, s.ID)
			}
			return strings.Join(out, " ")
		}
		if names(b.allGroups.left) != r.At("left") || names(b.allGroups.right) != r.At("right") {
			t.Errorf("%s:%d: %q and %q", page, r.Line, names(b.allGroups.left), names(b.allGroups.right))
		}
	}
}
