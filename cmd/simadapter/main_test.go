package main

import (
	"bytes"
	"strings"
	"testing"
)

const hello = `hello	7	{"lanes":[{"name":"get","effect":"read_like","target-ms":500,"deadline-ms":900}],` +
	`"limits":{"max-attempts":3},"tick-ms":2,"tiers":["a"]}`

func TestEachBatchGetsOneReply(t *testing.T) {
	in := "sync\t1\neob\nsync\t2\nabout\t0\n" + hello + "\nlist\t0\t1\nitem\ts:1\tz\tk\t0\t2\t1\t0\n" +
		"announce\t2\t0\t1\njob_in\tid\t900\t-\tget\t0\t-\t-\neob\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); !strings.HasPrefix(got, "yield\ninstance\t0\nforward\tid\ts:1\t") ||
		!strings.HasSuffix(got, "yield\n") {
		t.Fatalf("got %q", got)
	}
}

func TestBadInputEndsWithoutPartialReply(t *testing.T) {
	for _, bad := range []string{"nonsense\n", "sync\t2\nabout\t0\njob_in\n", "sync\t2\nabout\t0\nhello\t7\t{}\neob\n"} {
		var out bytes.Buffer
		err := run(strings.NewReader("sync\t1\neob\n"+bad), &out)
		if err == nil {
			t.Errorf("%q: got no error", bad)
		}
		if out.String() != "yield\n" {
			t.Errorf("%q: got output %q, want only the reply to the first batch", bad, out.String())
		}
	}
}

// A killed instance loses its state: after its restart, events of an old request are ignored. With an empty list a new
// request is queued until it is rejected.
func TestKilledInstanceForgetsItsRequests(t *testing.T) {
	list := "list\t0\t1\nitem\ts:1\tz\tk\t0\t2\t1\t0\nannounce\t2\t0\t1\n"
	in := "sync\t2\nabout\t0\n" + hello + "\n" + list + "job_in\told\t900\t-\tget\t0\t-\t-\neob\n" +
		"sync\t4\nabout\t0\ncrash_now\n" + hello + "\nlist\t1\t0\nannounce\t2\t1\t1\n" +
		"outcome\told\ts:1\t2\t0\t0\tfailure\t-\njob_in\tnew\t900\t-\tget\t0\t-\t-\neob\n" +
		"sync\t890\nabout\t0\nring\tr:old\neob\nsync\t898\nabout\t0\nring\tr:new\neob\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(out.String(), "yield\n")
	if len(replies) != 5 || !strings.Contains(replies[0], "forward\told") {
		t.Fatalf("got %q", replies)
	}
	if strings.Contains(replies[1], "old") || !strings.Contains(replies[1], "remind") ||
		strings.Contains(replies[1], "forward") {
		t.Errorf("after the restart: unexpected reply %q", replies[1])
	}
	if replies[2] != "" || !strings.Contains(replies[3], "turn_away\tnew") {
		t.Errorf("after the timers: unexpected replies %q and %q", replies[2], replies[3])
	}
}
