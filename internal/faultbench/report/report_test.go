package report

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"damsontrestle/internal/faultbench"
	"damsontrestle/internal/faultbench/audit"
)

// results returns one result per seed. P99 and InAim grow with the seed, and step is added to InAim.
func results(step float64, seeds ...uint64) (out []*faultbench.Result) {
	for _, s := range seeds {
		h := audit.NewHistogram()
		for i := range 100 {
			h.RecordValue(int64(1000 * (i + 1)))
		}
		latency, _ := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		out = append(out, &faultbench.Result{Version: faultbench.ResultVersion, Experiment: "day", Seed: s, Policy: "program", Figures: audit.Metrics{
			InAim: 0.5 + float64(s)/100 + step, P99: time.Duration(s) * time.Millisecond, Latency: latency,
			BySecond: []audit.Second{{Calls: 2, InAim: 1}, {Calls: 2, InAim: 0.5}},
			Series:   []audit.Point{{At: 0, Waiting: 1}, {At: time.Second, Waiting: 2}},
			Spread:   audit.Spread{Counts: []int{3, 5, 4}}}})
	}
	return out
}

// The seeds differ much more from one another than the two sets do, so only pairing reveals the difference.
func TestPairedComparisonDetectsSmallDifference(t *testing.T) {
	slow := results(0, 9)
	slow[0].Slow = "too slow"
	pairs, left := Pairs(append(results(0, 1, 2, 3, 4, 5), slow...), results(0.02, 5, 4, 3, 2, 7, 9))
	if len(pairs) != 4 || len(left) != 3 {
		t.Fatalf("%d pairs, excluded %v; want four pairs, and 1, 7 and 9 excluded", len(pairs), left)
	}
	rows := Compare(pairs)
	if r := rows[0]; r.Name != "served within the aim" || r.Difference < 0.0199 || r.Difference > 0.0201 || !r.Significant() {
		t.Errorf("%+v; want a significant difference of 0.02", r)
	}
	for _, r := range rows[1:] {
		if r.Significant() {
			t.Errorf("%+v: significant, but only the first figure differs", r)
		}
	}
	var out bytes.Buffer
	if err := Page(&out, "a title", "before", "after", pairs, left); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a title", "before", "&#43;0.020", "<svg", "day, seed 9: the machine was too slow"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
}

func TestParseRejectsOtherVersionsAndUnknownFields(t *testing.T) {
	good, err := json.Marshal(results(0, 1)[0])
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(good); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"Version":1`, `"Version":2`, "found version 2; allowed: 1"},
		{`"Policy"`, `"Polity"`, "Polity"},
		{`"Policy":"program"`, `"Policy":""`, "no policy"},
		{`{`, ``, "result:"},
	} {
		_, err := Parse([]byte(strings.Replace(string(good), c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s in place of %s: %v; want %q", c.new, c.old, err, c.want)
		}
	}
}

func FuzzParse(f *testing.F) {
	good, _ := json.Marshal(results(0, 1)[0])
	f.Add(good)
	f.Add([]byte(`{"Version":1,"Experiment":"x","Policy":"jsq","Figures":{"Spread":{"Counts":[-1]},"Latency":"AAAA"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := Parse(text)
		if err != nil {
			return
		}
		var out bytes.Buffer
		pairs, left := Pairs([]*faultbench.Result{r}, []*faultbench.Result{r})
		if err := Page(&out, "x", "a", "b", pairs, left); err != nil && !strings.HasPrefix(err.Error(), "report:") {
			t.Error(err)
		}
	})
}
