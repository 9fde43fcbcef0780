// Package routeexchange exchanges routes between partners, each under the rules of its owner. Its model and terms are those of
// BGP (RFC 4271), but it does not speak the BGP protocol.
//
// A partner advertises what it serves: a class and a path prefix, with rules on which partners may receive the advertisement,
// whether they may advertise it further, and which requests may use it. The advertisements of each source that pass the import
// rules are its Adj-RIB-In; the best route to each destination is in the Loc-RIB; what the export rules allow to be sent to a
// neighbour is its Adj-RIB-Out.
//
// The package guarantees:
//
//   - Rules only narrow along a path. A re-advertised route has rules at least as strict as those it was received with, and its
//     path is longer by the partner that re-advertises it (Narrow, CheckExport).
//   - No path contains a partner twice, so requests do not loop (CheckImport, CheckServe).
//   - Two gateways with the same advertisements and the same configuration select the same routes, in whatever order the
//     advertisements arrived (Compare is a total order).
//   - The owner checks its current rules again when a request arrives (CheckServe). A tightened rule is effective at that
//     gateway as soon as it is applied, whatever other partners have received. Such a rejection proves that the request was not
//     run.
//   - Advertisements that are malformed or exceed a partner's limit are rejected and counted, and do not affect others
//     (Table.importAll).
//   - Preferences without a stable outcome are damped. A destination whose best path changed more than maxFlaps times in
//     flapWindow is selected without preferences for dampingTime, which always converges (Table.reselect,
//     docs/design/offers.md).
//
// Rules are pure functions, each in a file of its own; the design page lists them as tables, and tests check each row. A Table
// contains the three kinds of RIB and has no goroutine; an Exchange sends and receives them over links. Links are the concern
// of internal/peering, the forwarding of requests that of internal/gateway.
package routeexchange
