// Package replication keeps work in hand alive past the gateway that had it: another takes it over, once.
//
// A request replicated is recorded at a few gateways of the owner's own group, its replicas, and whoever has it in hand goes by
// ballots, as in Paxos (Lamport 2001) and Viewstamped Replication's views (Liskov, Cowling 2012). The owner's ballot is the
// first one, and holds only at replicas that took its record; every later one was promised by a majority. Before an attempt its intent, and before the answer the outcome, must have been taken by a majority of the
// replicas. a successor claims the request with a higher ballot at a majority, and learns there every intent and outcome that any
// majority has taken before, for two majorities meet.
//
// What it promises:
//
//   - No attempt begins by a ballot once a majority has promised a higher one: whoever was claimed from, however long it was
//     stopped or cut off, begins nothing. No clock and no verdict on who is dead is part of this. (An intent is asked for
//     again where it is older than Options.Fresh when the first byte is to be written. What is left is a stop that is shorter
//     or falls between that look and the write, against which only the server could help.)
//   - At most one outcome is ever told, to the client and to all who ask, at any gateway: it is told once a majority has taken
//     it, and a successor that finds one taken goes on with it.
//   - a successor sends a request again only where that is harmless: none of its intents may have run, or its effect is safe, or it
//     is keyed, and then only to the group that drops repeats and while that remembers, which the decision module sees to.
//     What is unsafe and may have run ends as failed.
//   - A gateway that was started anew is no replica in what its earlier incarnation had taken.
//   - Memory is bounded (Options.Memory): past it new requests are not taken into replication, and what that means the class says
//     (when_alone). An answer is kept for Options.Keep after it was settled, or until room is needed.
//
// The rules are this file's plain functions; docs/design/custody.md has them as tables, and a test plays each row.
package replication
