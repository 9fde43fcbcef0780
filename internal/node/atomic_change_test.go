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

// dispatchWait is how long a request may try to get in between a change's rules and its view. Where it can't, it waits so long.
const dispatchWait = 20 * time.Millisecond

// noHeaders are a request's that has none.
type noHeaders struct{}

func (noHeaders) Values(string) []string { return nil }

// federationConfig is a configuration of a gateway that is alone, with these classes.
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

// dispatchResult is what came of handing a request over.
type dispatchResult struct {
	request *engine.Request
	err     error
}

// A change's classes and the gateway's rules for them come at once: no request gets in between, whether it was read under the
// old view or is to be read under the new one. Requests are begun just before the rules are adopted and just after: each must
// wait for the complete change, so that one that was read before is stale, and one read after goes by both.
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
	// try begins a request that is read under the view of now, and waits a little whether it is handed over.
	try := func(class string) {
		view, result, id := n.dispatcher.Snapshot(), make(chan dispatchResult, 1), fmt.Sprint("call", len(results))
		go func() {
			c := engine.NewRequest(id, engine.Message{Method: "GET", Target: "/" + class + "/k"})
			c.Class, c.At, c.Deadline = class, n.clock.Now(), n.clock.Now()+testpeer.Limit
			result <- dispatchResult{c, n.dispatcher.Dispatch(view, c, &route.Request{Listener: "main", Class: class, Path: "/k", Headers: noHeaders{}, HashKey: c.ID})}
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
			t.Error("the new view is in place before the rules are, or while they are adopted")
			try("new")
			return
		}
		try("view")
	}
	n = startWithConfig(t, old, o)
	applyConfig(t, n, next)
	if len(results) != 2 {
		t.Fatalf("%d calls were begun while the rules were adopted", len(results))
	}
	for i, result := range results {
		if r := testpeer.Receive(t, result, "the call to be handed over"); !errors.Is(r.err, dispatch.ErrStale) {
			t.Errorf("call %d got in between: %v", i, r.err)
		}
	}
	try("new")
	r := testpeer.Receive(t, results[2], "the call to be handed over")
	if r.err != nil {
		t.Fatal(r.err)
	}
	if a := testpeer.Receive(t, r.request.Response(), "its answer"); a.Kind != engine.Served {
		t.Errorf("%+v", a)
	}
}
