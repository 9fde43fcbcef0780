package balancer

import (
	"time"
)

// Action is an instruction to the host: one of the types below. The host carries out actions in the order returned.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request (numbered from 0). It times out after Timeout, which for a Partial
	// request is measured from Uploaded.
	Send struct {
		ID, Server string
		Timeout    time.Duration
		NotAfter   time.Duration // must start before this clock time, or it ends as NotStarted or Unreachable
	}
	// Poll asks servers for their load. A LoadUpdate with this ID may follow for each server, with any delay or not
	// at all. No part of the request itself is sent.
	Poll struct {
		ID      string
		Servers []string
		Timeout time.Duration
	}
	// Cancel stops waiting for an attempt. Its Outcome is still reported.
	Cancel struct {
		ID      string
		Attempt int
	}
	// CloseIdle closes the idle connections to a server, so that the next Send to it opens a new one.
	CloseIdle struct{ Server string }
	// Reject sends a response that guarantees that a retry is harmless.
	Reject struct {
		ID         string
		RetryAfter time.Duration // delay that the client is asked for; 0: none given
	}
	// Fail sends a response that guarantees nothing about a retry.
	Fail struct{ ID string }
	// SetTimer requests a Timer event with this token at the clock time At.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// Subscribe asks discovery for the endpoint list and its changes.
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
