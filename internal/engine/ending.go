package engine

import "time"

// EndReason tells why a response has no reply of a server, or why an attempt ended without one. Its text is the key of the metric.
type EndReason string

// Values of EndReason.
const (
	EndNotSent          EndReason = "not_sent"           // the balancer sent it to no server
	EndShutdown         EndReason = "shutdown"           // the node ends
	EndNoCapacity       EndReason = "no_capacity"        // the front end has no memory or descriptors for it
	EndInvalid          EndReason = "invalid"            // the request can't be used
	EndDuplicate        EndReason = "duplicate"          // its id is in use
	EndBodyIncomplete   EndReason = "body_incomplete"    // the client did not send the body completely or in time
	EndClientGone       EndReason = "client_gone"        // the client has disconnected
	EndClientTime       EndReason = "client_time"        // the time that the client waits was over
	EndAttemptTime      EndReason = "attempt_time"       // the server made no progress in the time of its attempt
	EndNotStarted       EndReason = "not_started"        // the attempt found no connection, or had no time left
	EndUnreachable      EndReason = "unreachable"        // the server did not receive the request completely
	EndConnectionLost   EndReason = "connection_lost"    // the connection ended before the reply did
	EndBeyondLength     EndReason = "beyond_length"      // more followed the reply than its length tells
	EndServerRejected   EndReason = "server_rejected"    // the server states that it has not run the request
	EndServerFailed     EndReason = "server_failed"      // the server replied with a failure
	EndReplyStopped     EndReason = "reply_stopped"      // the server stopped within a reply that was being passed on
	EndClientNotReading EndReason = "client_not_reading" // the client took nothing of a response that was being passed on
	EndOther            EndReason = "other"
)

// Stage is how far an exchange had come when it ended.
type Stage string

// Values of Stage.
const (
	StageNone      Stage = ""           // no attempt was made
	StageConnect   Stage = "connect"    // no byte was written
	StageRequest   Stage = "request"    // the request was being written
	StageReplyHead Stage = "reply_head" // the request was written; the reply's head had not come
	StageReplyBody Stage = "reply_body" // the reply's body was being received
	StagePassingOn Stage = "passing_on" // the reply was being passed on to the client
)

// EndReporter is implemented by the rest of a reply that can tell why it ended early.
type EndReporter interface {
	// EndState describes the end of the reply. It is called after a Read has failed.
	EndState() EndState
}

// EndState describes the end of an attempt or a response, for logs and metrics.
type EndState struct {
	Reason        EndReason
	Server        string        // of the last attempt; empty: none
	Attempts      int           // that were made
	Stage         Stage         // of the last attempt
	Received      int64         // bytes of the reply's body
	SinceProgress time.Duration // since the server last took or sent anything
}
