package peering

import (
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/spectest"
)

const designPage = "../../docs/design/peering.md"

// TestRedialPauses plays the table of pauses in the design page.
func TestRedialPauses(t *testing.T) {
	for _, r := range spectest.Rows(t, designPage, "When a link is opened again") {
		wait, err := time.ParseDuration(r.At("last pause"))
		if err != nil {
			t.Fatalf("%s:%d: %v", designPage, r.Line, err)
		}
		how, after, _ := strings.Cut(r.At("link"), " after ")
		var lifetime time.Duration
		if after != "" {
			if lifetime, err = time.ParseDuration(after); err != nil {
				t.Fatalf("%s:%d: %v", designPage, r.Line, err)
			}
		}
		switch how {
		case "did not come up", "broke", "silent":
		default:
			t.Errorf("%s:%d: no case for %q", designPage, r.Line, how)
			continue
		}
		if got := RedialDelay(wait, how != "did not come up", how == "silent", lifetime, time.Second); got.String() != r.At("outcome") {
			t.Errorf("%s:%d: %v", designPage, r.Line, got)
		}
	}
}
