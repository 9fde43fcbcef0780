// Package routeexchange exchanges routes between partners, each under the rules of its owner, as BGP does (RFC 4271). It carries no
// BGP.
//
// A partner advertises what it serves: a class and a path prefix below which its servers answer, with rules on who may have the
// advertisement, who may advertise it on, and which requests it is for. What each source has sent, as far as import rules let it
// in, is its Adj-RIB-In; the best route of each advertisement is in the Loc-RIB; what a neighbour is sent by export rules is its
// Adj-RIB-Out.
//
// What the package promises:
//
//   - Rules only narrow on the way: an advertisement that is sent on has rules at least as strict as those that it came with, and
//     a path that is longer by the one who sends it on (Narrow, CheckExport).
//   - No path has a partner twice, so that no request goes round in a circle (CheckImport, CheckServe).
//   - Where two gateways hold the same advertisements by the same file, they choose alike, whatever order the advertisements came
//     in (Compare is a total order).
//   - The owner's rule of now is checked once more when a request arrives (CheckServe): one that was tightened holds at that gateway
//     from the instant of the apply, whatever others believe. Such a rejection proves that the request has not run.
//   - What one partner sends beyond its bound, or what is malformed, is rejected and counted, and harms no other advertisement
//     (Table.importAll).
//   - Preferences that have no stable outcome are damped: a destination whose best path changed more than maxFlaps times in
//     flapWindow is chosen without preferences for dampingTime, which always settles (Table.reselect, docs/design/offers.md).
//
// Rules are plain functions, each in a file of its own; the page has them as tables, and a test plays each row. A Table holds
// the three kinds of RIB and has no goroutine; an Exchange carries them over links. Links, and what a request does on its route,
// are left to internal/peering and internal/gateway.
package routeexchange
