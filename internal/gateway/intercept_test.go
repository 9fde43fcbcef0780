package gateway

import (
	"testing"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/route"
	"damsontrestle/internal/testpeer"
)

// noHeaders are a request's that has none, so that it comes without a partner's envelope.
type noHeaders struct{}

func (noHeaders) Values(string) []string { return nil }

// A request of a class that the gateway's rules do not have goes no way around them: a class may be new in a configuration whose
// rules are not in place yet.
func TestRequestOfUnknownClassIsRejected(t *testing.T) {
	g := &Gateway{}
	g.policy.Store(&policy{partnerListener: "partners"})
	request := engine.NewRequest("request", engine.Message{})
	request.Class = "new"
	if !g.Intercept(nil, request, &route.Request{Listener: "partners", Class: "new", Headers: noHeaders{}}) {
		t.Fatal("the request was left to an engine, and nobody has asked for its envelope")
	}
	if response := testpeer.Receive(t, request.Response(), "the rejection"); response.Kind != engine.Rejected || !response.NotRun || response.RetryAfter <= 0 {
		t.Errorf("%+v", response)
	}
}
