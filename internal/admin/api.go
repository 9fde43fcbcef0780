// Package admin is the daemon's Unix socket and its client: HTTP with JSON bodies, for whoever may open the socket
// (mode 0600). It carries operators' requests and streams the steps and the outcome of a change; decisions are the
// daemon's, and a change goes on to its end when its client disconnects.
//
//	GET  /v1/show                what runs, and what it does
//	POST /v1/apply?wait=10s      a plan; answered with a line of JSON for each step, the last with "done"
//	POST /v1/rollback?wait=10s   what must run now, as a Running; answered likewise
package admin

import (
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/node"
	"damsontrestle/internal/plan"
)

// ShowResponse is what runs and what it does.
type ShowResponse struct {
	plan.Running
	By             string         `json:"by"`    // start, apply, rollback, reload
	Since          time.Time      `json:"since"` // when it was put in place
	StartSource    string         `json:"start"` // which configuration the last start found, and why that one
	Config         *config.Config `json:"config"`
	Status         node.Status    `json:"status"`
	Needs          config.Needs   `json:"needs"`
	Previous       *plan.Running  `json:"previous,omitempty"`        // that a rollback leads back to,
	PreviousConfig *config.Config `json:"previous_config,omitempty"` // with its configuration
	NeedsRestart   []string       `json:"needs_restart,omitempty"`   // fields that take effect at the next start
	Diverged       bool           `json:"state_diverged,omitempty"`  // the state folder may hold another record
	CurrentStep    string         `json:"under_way,omitempty"`       // the step of a change under way
	LastChange     *Outcome       `json:"last_change,omitempty"`     // of the last change that was begun
	InMemoryOnly   bool           `json:"only_in_memory,omitempty"`  // no state folder: a restart forgets it
}

// Outcome is what came of a change.
type Outcome struct {
	By    string    `json:"by"`
	At    time.Time `json:"at"`
	Error string    `json:"error,omitempty"`
}

// ChangeEvent is one line of the answer to a change.
type ChangeEvent struct {
	Step    string        `json:"step,omitempty"`
	Took    string        `json:"took,omitempty"` // time that the step took
	Done    bool          `json:"done,omitempty"`
	Error   string        `json:"error,omitempty"`
	Code    string        `json:"code,omitempty"`
	Running *plan.Running `json:"running,omitempty"` // once done
}

// Codes of refusals, for programs.
const (
	CodeUnreadable   = "unreadable" // the plan is cut, edited or none
	CodeNewer        = "newer"      // of a newer format
	CodeOtherNode    = "other_node" // for another node
	CodeInvalid      = "invalid"    // its configuration does not pass the checks
	CodeStale        = "stale"      // something else runs than what it was made for
	CodeBusy         = "busy"       // another change is under way
	CodeShuttingDown = "ending"     // the node is ending
	CodeNoPrevious   = "nothing"    // there is nothing to roll back to
	CodeFailed       = "failed"     // a step failed, and what was done is undone
	CodeRequest      = "request"    // the request itself is malformed
)

// Error is what a daemon answers instead of doing what it was asked.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"error"`
}

func (e *Error) Error() string { return e.Message }

// Control is what the socket's requests are carried out by.
type Control interface {
	// ShowResponse is what runs and what it does.
	Show() ShowResponse
	// Apply carries a plan out. It goes on to its end whether or not anybody waits; step is called after each step.
	Apply(text []byte, wait time.Duration, step func(name string, took time.Duration)) (plan.Running, error)
	// Rollback goes back to the configuration before the one that must run now.
	Rollback(now plan.Running, wait time.Duration, step func(name string, took time.Duration)) (plan.Running, error)
}
