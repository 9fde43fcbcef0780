// Package routeexchange merges the route tables of partners, each under its owner's export rules.
//
// A partner offers what it serves: a class and a path below which its servers answer, with rules on who may have the advertisement, who
// may pass it on, and for which calls it holds. Three tables stand for each neighbour, as in BGP (RFC 4271): as received, as
// chosen, as sent.
//
// What it promises:
//
//   - Rules only narrow on the way: an advertisement that is passed on has rules at least as strict as those that it came with, and a
//     path that is longer by the one who passes it on (Narrow, MayExport).
//   - No path has a partner twice, so that no request goes round in a circle (MayImport, MayServe).
//   - Where two gateways hold the same offers by the same file, they choose alike (Better is a total order), whatever order
//     the advertisements came in.
//   - The owner's rule of now is asked once more when a request arrives (MayServe): one that was tightened holds at that gateway
//     from the instant of the apply, whatever others believe. Such a refusal proves that the request has not run.
//   - What one partner sends beyond its bound, or what is malformed, is refused and counted, and harms no other offer.
//   - Preferences that have no stable outcome end in a hold: an advertisement whose best path changed more than maxFlaps times in
//     flapWindow is chosen by the number of hands alone for a while, which always settles (docs/design/offers.md).
//
// Rules are this file's plain functions; the page has them as tables, and a test plays each row.
package routeexchange
