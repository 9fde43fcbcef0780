package gateway

import (
	"time"

	"woodpick/internal/custody"
	"woodpick/internal/engine"
)

// answerOf is an outcome as callers are told it.
func answerOf(o custody.Outcome) engine.Answer {
	if a, ok := o.Live.(engine.Answer); ok {
		return a
	}
	switch o.Kind {
	case custody.Served:
		if o.Long {
			return engine.Answer{Kind: engine.Failed} // it was served, and its answer was too long to be kept
		}
		return engine.Answer{Kind: engine.Served, Reply: engine.Reply{Body: o.Body, ContentType: o.Type, Length: int64(len(o.Body))}}
	case custody.Refused:
		return engine.Answer{Kind: engine.Refused, RetryAfter: max(o.Retry, time.Millisecond), NotRun: o.NotRun, Why: o.Why}
	}
	return engine.Answer{Kind: engine.Failed}
}

// settled is an outcome that holds for all who ask.
func settled(o custody.Outcome) engine.Answer {
	a := answerOf(o)
	a.Settled = true
	return a
}

// outcomeOf is an answer as it is settled.
func outcomeOf(a engine.Answer) custody.Outcome {
	o := custody.Outcome{Live: a}
	switch a.Kind {
	case engine.Served:
		o.Kind, o.Type = custody.Served, a.Reply.ContentType
		if a.Reply.Rest != nil {
			o.Long = true
		} else {
			o.Body = a.Reply.Body
		}
	case engine.Refused:
		o.Kind, o.Retry, o.Why, o.NotRun = custody.Refused, a.RetryAfter, a.Why, a.NotRun
	default:
		o.Kind = custody.Failed
	}
	return o
}

// refused is a refusal of a call of which nothing was begun.
func refused(retry time.Duration) engine.Answer {
	return engine.Answer{Kind: engine.Refused, NotRun: true, RetryAfter: max(retry, time.Millisecond)}
}
