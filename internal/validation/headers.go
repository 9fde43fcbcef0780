package validation

// Header fields of responses that gateways give one another, and servers give nodes.
const (
	HeaderNotRun     = "X-Not-Run"    // "1": nothing of the request has run, so that sending it again is harmless
	HeaderRejectedBy = "X-Refused-By" // the rule by which a request was rejected
	HeaderSettled    = "X-Settled"    // "1": everybody who asks about the request gets this response
)
