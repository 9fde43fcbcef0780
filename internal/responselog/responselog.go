// Package responselog logs and counts the responses that a node makes itself or breaks off: one line for each, with the request's id
// and the reason. Lines are limited in rate, so that a client that sends bad requests can't fill the log; the counters are complete.
package responselog

import (
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/metrics"
)

// Limits of the lines of one front end.
const (
	linesPerSecond = 20
	lineBurst      = 100
)

// maxLoggedID is how many bytes of a request's id are logged: the id of an invalid request has no bound.
const maxLoggedID = 128

// Log logs and counts responses of one front end. Its methods are safe for concurrent use.
type Log struct {
	log        *slog.Logger
	counters   *metrics.Recorder
	limiter    *rate.Limiter
	suppressed atomic.Int64 // lines since the last one that was written
}

// New returns a Log that counts in counters.
func New(log *slog.Logger, counters *metrics.Recorder) *Log {
	return &Log{log: log, counters: counters, limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
}

// Unserved records a response that has no reply of a server.
func (l *Log) Unserved(request, class string, response engine.Response) {
	l.record("response without a server's reply", request, class, response.Kind.String(), response.EndState)
}

// Refused records a response with an HTTP status to a request that the front end did not submit.
func (l *Log) Refused(request, class string, status int, reason engine.EndReason) {
	l.counters.ResponseEnded(string(reason))
	if l.mayLog() {
		l.log.Info("request refused", "request", loggedID(request), "class", class, "status", status, "reason", reason, "suppressed", l.suppressed.Swap(0))
	}
}

// Cut records a response that was broken off after a part of it was passed on.
func (l *Log) Cut(request, class string, ending engine.EndState) {
	l.record("response broken off", request, class, "cut", ending)
}

// record counts an ending and logs it.
func (l *Log) record(message, request, class, kind string, ending engine.EndState) {
	if ending.Reason == "" {
		ending.Reason = engine.EndOther
	}
	l.counters.ResponseEnded(string(ending.Reason))
	if !l.mayLog() {
		return
	}
	l.log.Info(message,
		"request", loggedID(request),
		"class", class,
		"kind", kind,
		"reason", ending.Reason,
		"attempts", ending.Attempts,
		"server", ending.Server,
		"stage", ending.Stage,
		"received", ending.Received,
		"since_progress", ending.SinceProgress,
		"suppressed", l.suppressed.Swap(0))
}

// mayLog reports whether another line is within the rate, and counts the lines that are not.
func (l *Log) mayLog() bool {
	if l.limiter.Allow() {
		return true
	}
	l.suppressed.Add(1)
	return false
}

// loggedID returns the part of a request's id that is logged.
func loggedID(id string) string { return id[:min(len(id), maxLoggedID)] }
