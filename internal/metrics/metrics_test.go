package metrics

import (
	"encoding/json"
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
