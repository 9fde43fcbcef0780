package engine

import (
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/discovery"
)

// event is what the other parts tell the loop: one of the types below.
type event interface{}

type (
	arrived            struct{ request *Request }
	clientDisconnected struct {
		request *Request
		at      time.Duration
	}
	uploaded struct {
		attempt *Attempt
		at      time.Duration
	}
	ended struct {
		attempt *Attempt
		outcome Outcome
	}
	loadReport struct {
		id     string // of the request that the asking was for
		server string
		busy   float64
		asked  time.Duration // clock time
	}
	listNews    struct{ list discovery.List }
	listFailed  struct{}
	closing     struct{ at time.Duration }
	answerAll   struct{} // the node ends: what is unanswered is answered now
	reconfigure struct {
		settings balancer.Settings
		pushed   bool
	}
	retire     struct{}
	status     struct{ to chan Status }
	statsQuery struct{ to chan Stats }
)
