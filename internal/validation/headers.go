package validation

// Header fields of responses between gateways, and from servers to nodes.
const (
	HeaderNotRun     = "X-Not-Run"    // "1": no part of the request has run, so it can be sent again safely
	HeaderRejectedBy = "X-Refused-By" // the rule that rejected the request
	HeaderSettled    = "X-Settled"    // "1": final outcome, returned to every query about the request
)
