// Package admin implements the daemon's Unix socket and its client: HTTP with JSON bodies, for users with access to the socket
// (mode 0600). It passes operators' requests to the daemon and streams the steps and the outcome of a change. A change continues
// to its end if its client disconnects.
//
//	GET  /v1/show                returns the running configuration and its status
//	POST /v1/apply?wait=10s      takes a plan; responds with a line of JSON for each step, the last with "done"
//	POST /v1/rollback?wait=10s   takes the plan.Running that must be current; responds likewise
package admin

import (
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/node"
	"damsontrestle/internal/plan"
)

// ShowResponse is the running configuration with its status.
type ShowResponse struct {
	plan.Running
	By             string         `json:"by"`    // start, apply, rollback, reload
	Since          time.Time      `json:"since"` // when it was put in place
	StartSource    string         `json:"start"` // configuration that the last start used, and why
	Config         *config.Config `json:"config"`
	Status         node.Status    `json:"status"`
	Needs          config.Needs   `json:"needs"`
	Previous       *plan.Running  `json:"previous,omitempty"`        // target of a rollback,
	PreviousConfig *config.Config `json:"previous_config,omitempty"` // and its configuration
	NeedsRestart   []string       `json:"needs_restart,omitempty"`   // fields that take effect at the next start
	Diverged       bool           `json:"state_diverged,omitempty"`  // the state folder may hold another record
	CurrentStep    string         `json:"under_way,omitempty"`       // current step of a change in progress
	LastChange     *Outcome       `json:"last_change,omitempty"`     // of the last change that was started
	InMemoryOnly   bool           `json:"only_in_memory,omitempty"`  // no state folder: a restart loses the configuration
}

// Outcome is the outcome of a change.
type Outcome struct {
	By    string    `json:"by"`
	At    time.Time `json:"at"`
	Error string    `json:"error,omitempty"`
}

// ChangeEvent is one line of the response to a change.
type ChangeEvent struct {
	Step    string        `json:"step,omitempty"`
	Took    string        `json:"took,omitempty"` // duration of the step
	Done    bool          `json:"done,omitempty"`
	Error   string        `json:"error,omitempty"`
	Code    string        `json:"code,omitempty"`
	Running *plan.Running `json:"running,omitempty"` // if the change succeeded
}

// Machine-readable codes of an Error.
const (
	CodeUnreadable   = "unreadable" // the plan is truncated or modified, or is not a plan
	CodeNewer        = "newer"      // the plan has a newer format
	CodeOtherNode    = "other_node" // the plan is for another node
	CodeInvalid      = "invalid"    // the plan's configuration does not pass the checks
	CodeStale        = "stale"      // the running configuration is not the one that the plan was made for
	CodeBusy         = "busy"       // another change is in progress
	CodeShuttingDown = "ending"     // the node is shutting down
	CodeNoPrevious   = "nothing"    // there is nothing to roll back to
	CodeFailed       = "failed"     // a step failed and the change was undone
	CodeRequest      = "request"    // the request itself is malformed
)

// Error is the daemon's response to a request that it rejected or that failed.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"error"`
}

func (e *Error) Error() string { return e.Message }

// Control executes the requests of the socket.
type Control interface {
	// Show returns the running configuration with its status.
	Show() ShowResponse
	// Apply applies a plan and calls step after each step. It continues to its end even if the client disconnects.
	Apply(text []byte, wait time.Duration, step func(name string, took time.Duration)) (plan.Running, error)
	// Rollback restores the configuration that preceded current. It fails if the running configuration is not current.
	Rollback(current plan.Running, wait time.Duration, step func(name string, took time.Duration)) (plan.Running, error)
}
