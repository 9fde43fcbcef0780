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
		NotAfter   time.Duration // time from which it may not begin any more: then it ends as Void, or as Unreachable
	}
	// Poll asks servers how much they hold, each of which a Known with this ID is to follow for, soon or not at all.
	// Nothing of the request itself goes there.
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
	// Reject is a final answer that promises that a retry does no harm.
	Reject struct {
		ID         string
		RetryAfter time.Duration // advice; 0: none
	}
	// Fail is a final answer that promises nothing.
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
