package gateway

import (
	"testing"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/route"
	"damsontrestle/internal/testpeer"
)

// noHeaders is a request without headers, and therefore without an envelope.
type noHeaders struct{}

func (noHeaders) Values(string) []string { return nil }

// A request of a class that is unknown to the gateway's policy is rejected rather than passed on unchecked. This happens when a
// configuration adds a class and the gateway does not have its policy yet.
func TestRequestOfUnknownClassIsRejected(t *testing.T) {
	g := &Gateway{}
	g.policy.Store(&policy{partnerListener: "partners"})
	request := engine.NewRequest("request", engine.Message{})
	request.Class = "new"
	if !g.Intercept(nil, request, &route.Request{Listener: "partners", Class: "new", Headers: noHeaders{}}) {
		t.Fatal("the request was passed on to an engine without a check of its envelope")
	}
	if response := testpeer.Receive(t, request.Response(), "the rejection"); response.Kind != engine.Rejected || !response.NotRun || response.RetryAfter <= 0 {
		t.Errorf("response is %+v, want a rejection with NotRun and RetryAfter", response)
	}
}
