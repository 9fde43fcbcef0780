package metrics

import (
	"encoding/json"
	"sync"
	"testing"
)

func TestMetricsAreCountedByClass(t *testing.T) {
	var s Set
	s.Know("note", "view")
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for _, r := range []Result{Fulfilled, Fulfilled, Throttled, Faulted} {
				s.Begin()
				s.Relay()
				s.End("view", r)
			}
			s.Begin()
			s.Left()
		})
	}
	wg.Wait()
	s.Begin()
	got, err := json.Marshal(s.Report())
	if err != nil {
		t.Fatal(err)
	}
	want := `{"fulfilled":{"note":0,"view":100},"throttled":{"note":0,"view":50},"faulted":{"note":0,"view":50},` +
		`"relayed":200,"open_requests":1,"registry_entries":0,"out_of_rotation":0}`
	if string(got) != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}
