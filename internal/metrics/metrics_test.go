package metrics

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
)

func TestRecorderCountsByClass(t *testing.T) {
	var recorder Recorder
	recorder.RegisterClasses("note", "view")
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for _, r := range []Result{Fulfilled, Fulfilled, Throttled, Faulted} {
				recorder.RequestStarted()
				recorder.AttemptSent()
				recorder.RequestEnded("view", r)
			}
			recorder.RequestStarted()
			recorder.ClientDisconnected()
		})
	}
	wg.Wait()
	recorder.RequestStarted()
	got, err := json.Marshal(recorder.Report())
	if err != nil {
		t.Fatal(err)
	}
	want := `{"fulfilled":{"note":0,"view":100},"throttled":{"note":0,"view":50},"faulted":{"note":0,"view":50},` +
		`"relayed":200,"open_requests":1,"registry_entries":0,"out_of_rotation":0}`
	if string(got) != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// Servers beyond the maximum are counted together, so that servers that come and go don't use up memory.
func TestUnattributedInputIsBounded(t *testing.T) {
	var recorder Recorder
	for i := range maxServers + 5 {
		recorder.UnattributedInput(fmt.Sprint("s", i), "while_idle")
	}
	recorder.UnattributedInput("s1", "while_idle")
	report := recorder.Report()
	if n := len(report.UnattributedInput); n != maxServers+1 {
		t.Errorf("%d servers are reported, want %d", n, maxServers+1)
	}
	if got := report.UnattributedInput[otherServers]["while_idle"]; got != 5 {
		t.Errorf("%d for other servers, want 5", got)
	}
	if got := report.UnattributedInput["s1"]["while_idle"]; got != 2 {
		t.Errorf("%d for s1, want 2", got)
	}
}
