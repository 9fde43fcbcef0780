package discovery

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"

	"woodpick/internal/standin"
)

// told is what a sink was told.
type told struct {
	list   List
	failed bool
}

// sink keeps what it is told for the test.
type sink chan told

func (s sink) TakeList(l List) { s <- told{list: l} }
func (s sink) ListFailed()     { s <- told{failed: true} }

func TestMalformedListIsDroppedWhole(t *testing.T) {
	for _, bad := range []string{"", "{", "[]", `{"rev":2,"targets":[]}`, `{"all":true,"targets":[]}`,
		`{"rev":2,"all":true,"targets":[` + standin.Entry("s1", "127.0.0.1:1", "in_service") + `,` + standin.Entry("s2", "name:80", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[` + standin.Entry("s1", "127.0.0.1:1", "asleep") + `]}`,
		`{"rev":2,"all":true,"targets":[` + standin.Entry("", "127.0.0.1:1", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[` + standin.Entry("s1", "127.0.0.1:1", "in_service") + `,` + standin.Entry("s1", "127.0.0.1:2", "in_service") + `]}`,
		`{"rev":2,"all":true,"targets":[{"uid":"s1","endpoint":"127.0.0.1:1","state":"in_service","boot_ms":-1}]}`,
	} {
		if l, err := Parse([]byte(bad)); err == nil || l.Targets != nil {
			t.Errorf("%q: %v, %v", bad, l, err)
		}
	}
}

// A watch that ends without news is no news: the module would take it for a change.
func TestWatchWithoutNewsTellsNothing(t *testing.T) {
	ag := standin.NewAgent(t)
	events := make(sink, 10)
	d := NewWatch(ag.Address(), 1, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for i, c := range []struct {
		text string
		want int
	}{{`{"rev":%d,"all":false,"targets":[]}`, 0}, {standin.Whole(), 1},
		{`{"rev":%d,"all":false,"targets":[` + standin.Entry("s1", "127.0.0.1:1", "in_service") + `]}`, 2}} {
		ag.Tell(false, c.text)
		if err := d.watch(t.Context(), d.place()); err != nil {
			t.Fatal(err)
		}
		if len(events) != c.want || d.place().rev != int64(ag.Rev()) {
			t.Errorf("call %d: %d events at rev %d, want %d at %d", i, len(events), d.place().rev, c.want, ag.Rev())
		}
	}
}

// Where discovery is asked, a watch follows only a Subscribe, and its failure is told.
func TestAskedDiscoveryFollowsSubscribe(t *testing.T) {
	ag := standin.NewAgent(t)
	events := make(sink, 10)
	d := NewWatch(ag.Address(), 7, events, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ag.Tell(false, standin.Whole(standin.Entry("s1", "127.0.0.1:1", "in_service")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Ask(ctx)
	d.Subscribe()
	if q := standin.Receive(t, ag.Asked, "a watch"); !strings.HasPrefix(q, "from=7&") {
		t.Errorf("asked %q", q)
	}
	if e := standin.Receive(t, events, "the list"); e.failed || len(e.list.Targets) != 1 {
		t.Errorf("got %v", e)
	}
	standin.Receive(t, ag.Asked, "the watch to go on")
	ag.Tell(false, "{bad %d")
	if e := standin.Receive(t, events, "the failure"); !e.failed {
		t.Errorf("got %v", e)
	}
	select {
	case q := <-ag.Asked:
		t.Errorf("asked %q without a Subscribe", q)
	default:
	}
}
