package upstream

// closeReason is why a connection to a server was closed. Its text is the key of the metric.
type closeReason string

// Values of closeReason.
const (
	closedByServer        closeReason = "closed_by_server"   // the server closed or reset it while it was idle
	closeUnattributed     closeReason = "unattributed_input" // the server sent input that belongs to no request
	closeNotReusable      closeReason = "not_reusable"       // the reply ended the connection, or its end could not be told
	closeExchangeFailed   closeReason = "exchange_failed"    // the connection broke, or the reply was malformed
	closeAttemptEnded     closeReason = "attempt_ended"      // the attempt was cancelled, timed out or could not start
	closeWriteFailed      closeReason = "write_failed"
	closeIdleTimeout      closeReason = "idle_timeout"
	closeForCapacity      closeReason = "capacity"         // another connection needed its place
	closeServerNotReady   closeReason = "server_not_ready" // the server drains, was removed or has restarted
	closeBalancerDecision closeReason = "balancer"         // the balancer closed the server's idle connections
	closePoolClosed       closeReason = "pool_closed"
	closeInputUnknown     closeReason = "input_unknown" // the system could not tell whether there is input
)
