package engine

import (
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// event is posted to the loop by other goroutines: one of the types below. Times are clock times.
type event any

type (
	requestArrived struct{ request *Request }

	clientDisconnected struct {
		request *Request
		at      time.Duration
	}

	// uploadCompleted reports that the last byte of a streamed request was written to the server of an attempt.
	uploadCompleted struct {
		attempt    *Attempt
		at         time.Duration // of the write of the last byte to the server
		receivedAt time.Duration // of its reception from the client
	}

	replyBegun struct {
		attempt *Attempt
		at      time.Duration
	}

	attemptEnded struct {
		attempt *Attempt
		outcome Outcome
	}

	// loadReport is the reply of a server to a load poll.
	loadReport struct {
		requestID string // the request that the poll was for
		server    string
		busy      float64
		polledAt  time.Duration
	}

	listUpdated struct{ list discovery.List }

	listFailed struct{}

	// shutdownScheduled announces when the shutdown event will be posted.
	shutdownScheduled struct{ at time.Duration }

	// shutdown ends every pending request now.
	shutdown struct{}

	reconfigure struct {
		settings    balancer.Settings
		listsPushed bool
	}

	retire struct{}

	statusQuery struct{ reply chan Status }

	statsQuery struct{ reply chan Stats }
)
