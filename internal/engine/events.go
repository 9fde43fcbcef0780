package engine

import (
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// event is what the other parts tell the loop: one of the types below.
type event interface{}

type (
	requestArrived     struct{ request *Request }
	clientDisconnected struct {
		request *Request
		at      time.Duration
	}
	uploadCompleted struct {
		attempt *Attempt
		at      time.Duration
	}
	attemptEnded struct {
		attempt *Attempt
		outcome Outcome
	}
	loadReport struct {
		id       string // of the request that the asking was for
		server   string
		busy     float64
		polledAt time.Duration // clock time
	}
	listUpdated       struct{ list discovery.List }
	listFailed        struct{}
	shutdownScheduled struct{ at time.Duration }
	answerAll         struct{} // the node ends: what is unanswered is answered now
	reconfigure       struct {
		settings balancer.Settings
		pushed   bool
	}
	retire      struct{}
	statusQuery struct{ to chan Status }
	statsQuery  struct{ to chan Stats }
)
