package balancer

import (
	"time"
)

// Action is something the host must do, in the order given: one of the types below.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request (numbered from 0); it times out after Timeout, which for a
	// Partial request runs from Uploaded on.
	Send struct {
		ID, Server string
		Timeout    time.Duration
		NotAfter   time.Duration // clock time from which it may not begin: it ends as NotStarted or Unreachable
	}
	// Poll asks servers for their load. For each a LoadUpdate with this ID follows, soon or not at all. Nothing of the
	// request itself goes there.
	Poll struct {
		ID      string
		Servers []string
		Timeout time.Duration
	}
	// Cancel stops waiting for an attempt; its Outcome still comes.
	Cancel struct {
		ID      string
		Attempt int
	}
	// CloseIdle closes the idle connections to a server: the next Send there opens one.
	CloseIdle struct{ Server string }
	// Reject is a response that promises that a retry does no harm.
	Reject struct {
		ID         string
		RetryAfter time.Duration // how long the client is asked to wait; 0: not told
	}
	// Fail is a response that promises nothing.
	Fail struct{ ID string }
	// SetTimer asks for a Timer with this token at the clock time At.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// Subscribe asks discovery for the list and its changes.
	Subscribe struct{}
)

func (Send) action() {}

func (Poll) action() {}

func (Cancel) action() {}

func (CloseIdle) action() {}

func (Reject) action() {}

func (Fail) action() {}

func (SetTimer) action() {}

func (Subscribe) action() {}
