// Package replication keeps a request alive past the gateway that carries it: a successor takes it over, once.
//
// A replicated request is recorded at a few gateways of its owner's group, its replicas, and whoever carries it goes by ballots, as
// in Paxos (Lamport, "Paxos Made Simple", 2001) and the views of Viewstamped Replication (Liskov, Cowling, "Viewstamped
// Replication Revisited", 2012). Each request is a register of its own, a single decree, whose value is its outcome. The owner
// needs no first phase: its ballot is the lowest one, and holds only at replicas that accepted its record; a majority has promised
// every later one. A majority of the replicas must accept an attempt's intent before the attempt begins, and the outcome before
// the response is sent. A successor claims the request with a higher ballot at a majority, and learns there each intent and outcome
// that any majority has accepted before, for two majorities have a replica in common.
//
// It owns the replicated records of a gateway: its own requests (Work), those that it stores as a replica (store), and the watch
// for requests whose owner is gone.
//
// It promises:
//
//   - No attempt begins by a ballot once a majority has promised a higher one: a superseded owner, however long it was stopped or
//     cut off, begins nothing. No clock and no failure detector is part of this. (An intent is asked for again where it is older
//     than Options.MaxIntentAge when the first byte is to be written. What is left is a stop that is shorter or falls between that
//     look and the write, against which only the server could help.) Kept in Work.Intend, MayIntend and MayClaim.
//   - At most one outcome is sent, to the client and to all who ask, at any gateway: it is sent once a majority has accepted it, and
//     a successor that finds one accepted goes on with it. Kept in Work.settle, MaySettle and Merge.
//   - A successor sends a request again only where that is harmless: none of its attempts may have run, or its effect is safe, or it
//     is idempotent by a key, and then only to the group that discards repeats and while that remembers, which the decision module
//     sees to. What is unsafe and may have run ends as failed. Kept in NextStep.
//   - A gateway that restarted is no replica of what its earlier incarnation had accepted. Kept by the incarnation that each message
//     names, and by recovery for keys.
//   - Memory is bounded (Options.Memory): past it new requests are not replicated, and what that means the class says
//     (when_alone). A response is kept for Options.Retention after it was decided, or until capacity is needed.
//
// It leaves to others: who is alive (internal/membership), the links (internal/peering), how an attempt is carried out and which
// server it goes to (Options.Run), and what a class's effect is.
//
// The rules are plain functions without state: acceptor.go, successor.go and replicas.go. docs/design/custody.md has them as tables,
// and a test plays each row.
package replication
