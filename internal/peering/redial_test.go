package peering

import (
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/spectest"
)

const designPage = "../../docs/design/peering.md"

// TestRedialDelayMatchesDesignTable compares RedialDelay with the table in the design page.
func TestRedialDelayMatchesDesignTable(t *testing.T) {
	for _, row := range spectest.Rows(t, designPage, "When a link is opened again") {
		lastDelay, err := time.ParseDuration(row.At("last pause"))
		if err != nil {
			t.Fatalf("%s:%d: %v", designPage, row.Line, err)
		}
		linkResult, after, _ := strings.Cut(row.At("link"), " after ")
		var lifetime time.Duration
		if after != "" {
			if lifetime, err = time.ParseDuration(after); err != nil {
				t.Fatalf("%s:%d: %v", designPage, row.Line, err)
			}
		}
		switch linkResult {
		case "did not come up", "broke", "silent":
		default:
			t.Errorf("%s:%d: no case for %q", designPage, row.Line, linkResult)
			continue
		}
		if got := RedialDelay(lastDelay, linkResult != "did not come up", linkResult == "silent", lifetime, time.Second); got.String() != row.At("outcome") {
			t.Errorf("%s:%d: RedialDelay returned %v", designPage, row.Line, got)
		}
	}
}
