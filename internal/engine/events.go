package engine

import (
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// event is what other goroutines tell the loop: one of the types below. Times are clock times.
type event any

type (
	requestArrived struct{ request *Request }

	clientDisconnected struct {
		request *Request
		at      time.Duration
	}

	// uploadCompleted says that the last byte of a streamed request was written to the server of an attempt.
	uploadCompleted struct {
		attempt *Attempt
		at      time.Duration
	}

	attemptEnded struct {
		attempt *Attempt
		outcome Outcome
	}

	// loadReport is what a server said when it was polled for its load.
	loadReport struct {
		requestID string // the request that the poll was for
		server    string
		busy      float64
		polledAt  time.Duration
	}

	listUpdated struct{ list discovery.List }

	listFailed struct{}

	// shutdownScheduled says when answerAll will come.
	shutdownScheduled struct{ at time.Duration }

	// answerAll has every request that has no response yet be answered now.
	answerAll struct{}

	reconfigure struct {
		settings balancer.Settings
		pushed   bool
	}

	retire struct{}

	statusQuery struct{ to chan Status }

	statsQuery struct{ to chan Stats }
)
