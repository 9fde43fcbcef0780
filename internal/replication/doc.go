// Package replication preserves a request when the gateway that executes it fails: a successor takes the request over, and resends
// it only where that is harmless.
//
// A replicated request is recorded at a few gateways of its owner's group, its replicas. Executing it requires a ballot, as in Paxos
// (Lamport, "Paxos Made Simple", 2001) and the views of Viewstamped Replication (Liskov, Cowling, "Viewstamped Replication
// Revisited", 2012). Each request is a separate single-decree register whose value is the outcome of the request. The owner skips
// the first phase: it has the lowest ballot, which is valid only at replicas that accepted its record; every later ballot has been
// promised by a majority. A majority of the replicas must accept the intent of an attempt before the attempt begins, and the
// outcome before the response is sent. A successor claims the request with a higher ballot at a majority. There it learns every
// intent and outcome that any majority has accepted before, because two majorities have a replica in common.
//
// The package owns the replicated records of a gateway: its own requests (Work), those that it stores as a replica (store), and the
// detection of requests whose owner has failed.
//
// It guarantees:
//
//   - No attempt begins with a ballot once a majority has promised a higher one: a superseded owner begins no attempt, however long
//     it was suspended or partitioned. This depends neither on a clock nor on a failure detector. (Work.Intend repeats an intent
//     that is older than Options.MaxIntentAge when the first byte is about to be written. What remains is a pause that is shorter
//     or falls between that check and the write; only the server could protect against it.) Enforced by Work.Intend, MayIntend and
//     MayClaim.
//   - At most one outcome is sent to the client and to all who query it, at any gateway: it is sent once a majority has accepted it,
//     and a successor that finds an accepted outcome settles that one. Enforced by Work.settle, MaySettle and Merge.
//   - A successor resends a request only where that is harmless: no attempt can have run, or its effect is safe, or the request is
//     idempotent by a key. With a key it is resent only to the group of servers that discards repeats of the key, and while that
//     group remembers the key; the decision module ensures this. An unsafe request that may have run fails. Enforced by NextStep.
//   - A restarted gateway is no replica for what its earlier incarnation had accepted. Enforced by the incarnation in each message,
//     and for keys by the recovery.
//   - Memory is bounded (Options.Memory): beyond the limit new requests are not replicated, and the class determines what happens to
//     them (when_alone). A response is kept for Options.Retention after it was decided, or until its memory is needed.
//
// Not part of this package: which gateways are alive (internal/membership), the links (internal/peering), how an attempt is executed
// and at which server (Options.Run), and the effect of a class.
//
// The rules are pure functions in acceptor.go, successor.go and replicas.go. docs/design/custody.md lists them as tables, and tests
// check each row.
package replication
