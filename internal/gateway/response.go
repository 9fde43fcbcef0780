package gateway

import (
	"time"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
)

// responseOf converts an outcome to the response for the client.
func responseOf(outcome replication.Outcome) engine.Response {
	if response, ok := outcome.Response.(engine.Response); ok {
		return response
	}
	switch outcome.Kind {
	case replication.Served:
		if outcome.BodyOmitted {
			return engine.Response{Kind: engine.Failed} // it was served, but its body was too long to keep
		}
		reply := engine.Reply{Body: outcome.Body, ContentType: outcome.ContentType, Length: int64(len(outcome.Body))}
		return engine.Response{Kind: engine.Served, Reply: reply}
	case replication.Rejected:
		return engine.Response{
			Kind:       engine.Rejected,
			RetryAfter: max(outcome.RetryAfter, time.Millisecond),
			NotRun:     outcome.NotRun,
			Reason:     outcome.Reason,
		}
	}
	return engine.Response{Kind: engine.Failed}
}

// settledResponse converts an outcome that is final for all duplicates of the request.
func settledResponse(outcome replication.Outcome) engine.Response {
	response := responseOf(outcome)
	response.Settled = true
	return response
}

// outcomeOf converts a response to the outcome to settle.
func outcomeOf(response engine.Response) replication.Outcome {
	outcome := replication.Outcome{Response: response}
	switch response.Kind {
	case engine.Served:
		outcome.Kind = replication.Served
		outcome.ContentType = response.Reply.ContentType
		outcome.BodyOmitted = response.Reply.Rest != nil
		if !outcome.BodyOmitted {
			outcome.Body = response.Reply.Body
		}
	case engine.Rejected:
		outcome.Kind = replication.Rejected
		outcome.RetryAfter = response.RetryAfter
		outcome.Reason = response.Reason
		outcome.NotRun = response.NotRun
	default:
		outcome.Kind = replication.Failed
	}
	return outcome
}

// reasonBusy is the reason sent to a partner's gateway for a rejection that no rule caused.
const reasonBusy = "busy"

// rejection returns the response that rejects a request without any started attempt.
func rejection(retry time.Duration) engine.Response {
	return engine.Response{Kind: engine.Rejected, NotRun: true, RetryAfter: max(retry, time.Millisecond)}
}
