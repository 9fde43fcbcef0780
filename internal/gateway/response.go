package gateway

import (
	"time"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
)

// responseOf is an outcome as a client gets it.
func responseOf(outcome replication.Outcome) engine.Response {
	if response, ok := outcome.Response.(engine.Response); ok {
		return response
	}
	switch outcome.Kind {
	case replication.Served:
		if outcome.BodyOmitted {
			return engine.Response{Kind: engine.Failed} // it was served, and its body was too long to be kept
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

// settledResponse is an outcome that holds for all who ask.
func settledResponse(outcome replication.Outcome) engine.Response {
	response := responseOf(outcome)
	response.Settled = true
	return response
}

// outcomeOf is a response as it is settled.
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

// reasonBusy is the reason of a rejection to a partner's gateway that no rule was the cause of.
const reasonBusy = "busy"

// rejection rejects a request of which nothing was begun.
func rejection(retry time.Duration) engine.Response {
	return engine.Response{Kind: engine.Rejected, NotRun: true, RetryAfter: max(retry, time.Millisecond)}
}
