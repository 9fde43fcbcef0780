package wire

import (
	"bytes"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/balancer"
)

const sample = "sync\t8412.25\nabout\t3\nlist\t0\t1\nitem\ts:1\tz\tk\t4\t2\t1.5\t6100.5\nannounce\t2\t0\t41\n" +
	"job_in\tid\t8652.25\t-\tget\t3\t-\t12.0\noutcome\tid\ts:1\t18.5\t1\t0\tsuccess\tbusy_reqs:3,odd:1\neob\n"

func decodeAll(t *testing.T, text string) ([]Message, error) {
	t.Helper()
	decoder := NewDecoder(strings.NewReader(text))
	var messages []Message
	for {
		m, err := decoder.Next()
		if err == io.EOF {
			return messages, nil
		}
		if err != nil {
			return messages, err
		}
		messages = append(messages, m)
	}
}

func TestDecodeResolvesBatch(t *testing.T) {
	got, err := decodeAll(t, sample)
	if err != nil {
		t.Fatal(err)
	}
	want := []Message{
		{Kind: BatchStart, Instance: -1, Now: 8412250 * time.Microsecond},
		{Kind: Event, Instance: 3, Event: balancer.ServerList{Full: true, Cached: true,
			Servers: []balancer.Server{{ID: "s:1", Zone: "z", Cell: 4, Size: 1.5, Boot: 6100500 * time.Microsecond}}}},
		{Kind: Event, Instance: 3, Event: balancer.Request{ID: "id", Class: "get", Retry: true,
			Deadline: 8652250 * time.Microsecond}},
		{Kind: Event, Instance: 3, Event: balancer.Outcome{ID: "id", Server: "s:1", Ended: true,
			Latency: 18500 * time.Microsecond, Load: &balancer.Load{Busy: 3, Service: -1}}},
		{Kind: BatchEnd, Instance: 3},
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v\nwant %+v", got, want)
	}
}

func TestDecodeErrorsNameLineAndValue(t *testing.T) {
	for text, want := range map[string]string{
		"eob\n":                                "line 1: \"eob\" outside a batch",
		"sync\tx\n":                            "line 1: sync: value 1 is not a time",
		"sync\t1\nhuh\t1\n":                    "line 2: \"huh\" before an about line",
		"sync\t1\nabout\t1\nhuh\t1\n":          "line 3: unknown message \"huh\"",
		"sync\t1\nabout\t1\njob_in\ta\n":       "line 3: job_in: value 2",
		"sync\t1\nlist\t0\t2\nitem\ta\tb\n":    "value 4 is missing",
		"sync\t1\nlist\t77\t2\n":               "out of range",
		"sync\t1\n":                            "input ends inside a batch",
		"sync\t1\nabout\t1\nhello\t5\t{bad\n":  "settings",
		"sync\t1\nabout\t1\nannounce\t9\t0\t0": "input ends inside a batch",
	} {
		if _, err := decodeAll(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

func TestUnknownEffectIsUnsafe(t *testing.T) {
	s, err := ParseSettings([]byte(`{"lanes":[{"name":"a","effect":"odd"},{"name":"b","effect":"read_like"}],"new":1}`))
	if err != nil || s.Classes[0].Effect != balancer.Unsafe || s.Classes[1].Effect != balancer.Safe {
		t.Fatalf("got %+v, %v", s, err)
	}
}

func TestEncoderGroupsActionsByInstance(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	e.Action(3, balancer.Send{ID: "a", Server: "s", Timeout: 80500 * time.Microsecond})
	e.Action(3, balancer.Cancel{ID: "a", Attempt: 1})
	e.Action(5, balancer.CloseIdle{Server: "s"})
	e.Action(5, balancer.Reject{ID: "b"})
	if err := e.Flush(); err != nil {
		t.Fatal(err)
	}
	want := "instance\t3\nforward\ta\ts\t80.5\nretract\ta\t1\ninstance\t5\nlet_go\ts\nturn_away\tb\t0\nyield\n"
	if out.String() != want {
		t.Fatalf("got %q, want %q", out.String(), want)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(sample)
	f.Add("sync\t1\nabout\t0\ncrash_now\neob\n")
	f.Fuzz(func(t *testing.T, text string) {
		d := NewDecoder(strings.NewReader(text))
		for range 1000 {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}
