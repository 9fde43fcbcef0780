package gateway

import (
	"time"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
)

// answerOf is an outcome as clients are told it.
func responseOf(outcome replication.Outcome) engine.Response {
	if response, ok := outcome.Live.(engine.Response); ok {
		return response
	}
	switch outcome.Kind {
	case replication.Served:
		if outcome.TooLong {
			return engine.Response{Kind: engine.Failed} // it was served, and its answer was too long to be kept
		}
		return engine.Response{Kind: engine.Served, Reply: engine.Reply{Body: outcome.Body, ContentType: outcome.ContentType, Length: int64(len(outcome.Body))}}
	case replication.Rejected:
		return engine.Response{Kind: engine.Rejected, RetryAfter: max(outcome.RetryAfter, time.Millisecond), NotRun: outcome.NotRun, Why: outcome.Reason}
	}
	return engine.Response{Kind: engine.Failed}
}

// settled is an outcome that holds for all who ask.
func settledResponse(outcome replication.Outcome) engine.Response {
	response := responseOf(outcome)
	response.Settled = true
	return response
}

// outcomeOf is an answer as it is settled.
func outcomeOf(response engine.Response) replication.Outcome {
	outcome := replication.Outcome{Live: response}
	switch response.Kind {
	case engine.Served:
		outcome.Kind, outcome.ContentType = replication.Served, response.Reply.ContentType
		if response.Reply.Rest != nil {
			outcome.TooLong = true
		} else {
			outcome.Body = response.Reply.Body
		}
	case engine.Rejected:
		outcome.Kind, outcome.RetryAfter, outcome.Reason, outcome.NotRun = replication.Rejected, response.RetryAfter, response.Why, response.NotRun
	default:
		outcome.Kind = replication.Failed
	}
	return outcome
}

// rejected is a refusal of a request of which nothing was begun.
func rejection(retry time.Duration) engine.Response {
	return engine.Response{Kind: engine.Rejected, NotRun: true, RetryAfter: max(retry, time.Millisecond)}
}
