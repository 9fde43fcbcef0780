package node

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/route"
	"damsontrestle/internal/testpeer"
)

// dispatchWait is how long the test waits for a request to be dispatched during a change. A node that blocks the request,
// as it should, uses up all of this time.
const dispatchWait = 20 * time.Millisecond

// noHeaders are the headers of a request without headers.
type noHeaders struct{}

func (noHeaders) Values(string) []string { return nil }

// federationConfig returns a configuration of a single federation gateway with these classes.
func federationConfig(t *testing.T, peers, keyFile, server string, classes ...string) *config.Config {
	t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "node \"n1\" {\n limits {\n memory = \"128MiB\"\n descriptors = 512\n }\n peers {\n listen = %q\n key_file = %q\n }\n}\n", peers, keyFile)
	for _, class := range classes {
		fmt.Fprintf(&text, "class %q {\n effect = \"safe\"\n aim = \"10s\"\n deadline = \"20s\"\n}\n", class)
	}
	fmt.Fprintf(&text, "listener \"main\" {\n address = \"127.0.0.1:0\"\n}\npool \"p\" {\n server \"s\" {\n address = %q\n }\n}\n", server)
	text.WriteString("route \"all\" {\n default = true\n pool = \"p\"\n}\nfederation \"chavara\" {\n}\n")
	cfg, problems := config.Parse([]byte(text.String()), "node.hcl")
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	return cfg
}

// dispatchResult is the result of dispatching a request.
type dispatchResult struct {
	request *engine.Request
	err     error
}

// A change replaces the classes and the gateway's rules for them atomically: no request is dispatched in between, whether
// it was read under the old snapshot or the new one. The test dispatches requests just before and just after the rules are
// adopted. Each must wait until the change is complete: a request read before it is stale, and one read after it follows
// both new classes and new rules.
func TestRulesAndSnapshotChangeAtomically(t *testing.T) {
	server := newTestServer(t, "a").Address()
	keyFile := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(keyFile, []byte(strings.Repeat("k", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	peers := testpeer.ClosedPort(t)
	old, next := federationConfig(t, peers, keyFile, server, "view"), federationConfig(t, peers, keyFile, server, "view", "new")
	var (
		n       *Node
		results []chan dispatchResult
		o       Options
	)
	// tryDispatch dispatches a request that is read under the current snapshot, and waits at most dispatchWait for the result.
	tryDispatch := func(class string) {
		snapshot, result, id := n.dispatcher.Snapshot(), make(chan dispatchResult, 1), fmt.Sprint("call", len(results))
		go func() {
			c := engine.NewRequest(id, engine.Message{Method: "GET", Target: "/" + class + "/k"})
			c.Class, c.At, c.Deadline = class, n.clock.Now(), n.clock.Now()+testpeer.Limit
			result <- dispatchResult{c, n.dispatcher.Dispatch(snapshot, c, &route.Request{Listener: "main", Class: class, Path: "/k", Headers: noHeaders{}, HashKey: c.ID})}
		}()
		results = append(results, result)
		select {
		case r := <-result:
			result <- r
		case <-time.After(dispatchWait):
		}
	}
	o.aroundAdopt = func() {
		if _, known := n.dispatcher.Snapshot().Class("new"); known {
			t.Error("new snapshot is current before or while the rules are adopted")
			tryDispatch("new")
			return
		}
		tryDispatch("view")
	}
	n = startWithConfig(t, old, o)
	applyConfig(t, n, next)
	if len(results) != 2 {
		t.Fatalf("got %d requests dispatched while the rules were adopted, want 2", len(results))
	}
	for i, result := range results {
		if r := testpeer.Receive(t, result, "the request to be dispatched"); !errors.Is(r.err, dispatch.ErrStale) {
			t.Errorf("request %d during the change: got error %v, want ErrStale", i, r.err)
		}
	}
	tryDispatch("new")
	r := testpeer.Receive(t, results[2], "the request to be dispatched")
	if r.err != nil {
		t.Fatal(r.err)
	}
	if a := testpeer.Receive(t, r.request.Response(), "its response"); a.Kind != engine.Served {
		t.Errorf("got response %+v, want it served", a)
	}
}
