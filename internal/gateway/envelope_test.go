package gateway

import (
	"slices"
	"strings"
	"testing"

	"damsontrestle/internal/routeexchange"
)

// An envelope is valid only for the request that it was sealed for, with the key of the partner that sends it.
func TestEnvelopeIsBoundToItsRequest(t *testing.T) {
	keys := func(partner string) []byte {
		if partner == "p1" || partner == "p2" {
			return []byte("the key with " + partner)
		}
		return nil
	}
	sent := envelope{ID: "c1", Target: "/note/p0/x?y", Path: []string{"p2", "p1"}, Advertisement: routeexchange.ID{Origin: "p0", Name: "note"}, Tenant: "acme", QuotaDraws: []string{"notes"}, From: "p1"}
	text, err := sent.seal(keys("p1"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := openEnvelope([]string{text}, keys, "c1", "/note/p0/x?y")
	if err != nil || got.Tenant != "acme" || !slices.Equal(got.Path, sent.Path) || got.Advertisement != sent.Advertisement || !slices.Equal(got.QuotaDraws, sent.QuotaDraws) || got.QueryOnly {
		t.Fatalf("opened envelope is %+v, error %v; want %+v", got, err, sent)
	}
	forged, _ := sent.seal(keys("p2"))
	head, tag, _ := strings.Cut(text, ".")
	for name, c := range map[string]struct {
		header     []string
		id, target string
	}{
		"other request ID":  {[]string{text}, "c2", sent.Target},
		"other target":      {[]string{text}, "c1", "/note/p0/z"},
		"other key":         {[]string{forged}, "c1", sent.Target},
		"no tag":            {[]string{head}, "c1", sent.Target},
		"changed text":      {[]string{"A" + head[1:] + "." + tag}, "c1", sent.Target},
		"two headers":       {[]string{text, text}, "c1", sent.Target},
		"no header":         {nil, "c1", sent.Target},
		"malformed base64":  {[]string{"%." + tag}, "c1", sent.Target},
		"malformed content": {[]string{strings.Repeat("a", 20) + "." + tag}, "c1", sent.Target},
		"too long":          {[]string{strings.Repeat("a", maxEnvelopeSize+1)}, "c1", sent.Target},
	} {
		if got, err := openEnvelope(c.header, keys, c.id, c.target); err == nil {
			t.Errorf("%s: openEnvelope accepted %+v, want an error", name, got)
		}
	}
}

// FuzzOpenEnvelope checks that any header yields either an error or an envelope of the request.
func FuzzOpenEnvelope(f *testing.F) {
	p := envelope{ID: "c1", Target: "/note/p0/x", Path: []string{"p1"}}
	text, _ := p.seal([]byte("key"))
	f.Add(text)
	f.Fuzz(func(t *testing.T, header string) {
		got, err := openEnvelope([]string{header}, func(string) []byte { return []byte("key") }, "c1", "/note/p0/x")
		if err == nil && got.ID != "c1" {
			t.Errorf("openEnvelope accepted an envelope of another request: %+v", got)
		}
	})
}
