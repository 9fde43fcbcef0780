package gateway

import (
	"slices"
	"strings"
	"testing"

	"damsontrestle/internal/routeexchange"
)

// An envelope holds for the request that it was made for, by the key of the partner that sends it, and for nothing else.
func TestEnvelopeIsBoundToItsRequest(t *testing.T) {
	keys := func(partner string) []byte {
		if partner == "p1" || partner == "p2" {
			return []byte("the key with " + partner)
		}
		return nil
	}
	p := envelope{ID: "c1", Target: "/note/p0/x?y", Path: []string{"p2", "p1"}, Advertisement: routeexchange.ID{Origin: "p0", Name: "note"}, Tenant: "acme", QuotaDraws: []string{"notes"}, From: "p1"}
	text, err := p.seal(keys("p1"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := openEnvelope([]string{text}, keys, "c1", "/note/p0/x?y")
	if err != nil || got.Tenant != "acme" || !slices.Equal(got.Path, p.Path) || got.Advertisement != p.Advertisement || !slices.Equal(got.QuotaDraws, p.QuotaDraws) || got.QueryOnly {
		t.Fatalf("%+v, %v", got, err)
	}
	forged, _ := p.seal(keys("p2"))
	head, tag, _ := strings.Cut(text, ".")
	for name, c := range map[string]struct {
		header     []string
		id, target string
	}{
		"another request's":  {[]string{text}, "c2", p.Target},
		"another target's":   {[]string{text}, "c1", "/note/p0/z"},
		"of another key":     {[]string{forged}, "c1", p.Target},
		"without a tag":      {[]string{head}, "c1", p.Target},
		"changed":            {[]string{"A" + head[1:] + "." + tag}, "c1", p.Target},
		"twice":              {[]string{text, text}, "c1", p.Target},
		"missing":            {nil, "c1", p.Target},
		"no text of base64":  {[]string{"%." + tag}, "c1", p.Target},
		"of nobody we know":  {[]string{strings.Repeat("a", 20) + "." + tag}, "c1", p.Target},
		"longer than it may": {[]string{strings.Repeat("a", maxEnvelopeSize+1)}, "c1", p.Target},
	} {
		if got, err := openEnvelope(c.header, keys, c.id, c.target); err == nil {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// FuzzOpenEnvelope: whatever a header holds, it ends in an error or in an envelope of the request.
func FuzzOpenEnvelope(f *testing.F) {
	p := envelope{ID: "c1", Target: "/note/p0/x", Path: []string{"p1"}}
	text, _ := p.seal([]byte("key"))
	f.Add(text)
	f.Fuzz(func(t *testing.T, header string) {
		got, err := openEnvelope([]string{header}, func(string) []byte { return []byte("key") }, "c1", "/note/p0/x")
		if err == nil && got.ID != "c1" {
			t.Errorf("%+v", got)
		}
	})
}
