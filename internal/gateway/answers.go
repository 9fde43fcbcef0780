package gateway

import (
	"time"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
)

// answerOf is an outcome as clients are told it.
func answerOf(o replication.Outcome) engine.Response {
	if a, ok := o.Live.(engine.Response); ok {
		return a
	}
	switch o.Kind {
	case replication.Served:
		if o.TooLong {
			return engine.Response{Kind: engine.Failed} // it was served, and its answer was too long to be kept
		}
		return engine.Response{Kind: engine.Served, Reply: engine.Reply{Body: o.Body, ContentType: o.ContentType, Length: int64(len(o.Body))}}
	case replication.Rejected:
		return engine.Response{Kind: engine.Rejected, RetryAfter: max(o.RetryAfter, time.Millisecond), NotRun: o.NotRun, Why: o.Reason}
	}
	return engine.Response{Kind: engine.Failed}
}

// settled is an outcome that holds for all who ask.
func settled(o replication.Outcome) engine.Response {
	a := answerOf(o)
	a.Settled = true
	return a
}

// outcomeOf is an answer as it is settled.
func outcomeOf(a engine.Response) replication.Outcome {
	o := replication.Outcome{Live: a}
	switch a.Kind {
	case engine.Served:
		o.Kind, o.ContentType = replication.Served, a.Reply.ContentType
		if a.Reply.Rest != nil {
			o.TooLong = true
		} else {
			o.Body = a.Reply.Body
		}
	case engine.Rejected:
		o.Kind, o.RetryAfter, o.Reason, o.NotRun = replication.Rejected, a.RetryAfter, a.Why, a.NotRun
	default:
		o.Kind = replication.Failed
	}
	return o
}

// rejected is a refusal of a request of which nothing was begun.
func rejected(retry time.Duration) engine.Response {
	return engine.Response{Kind: engine.Rejected, NotRun: true, RetryAfter: max(retry, time.Millisecond)}
}
