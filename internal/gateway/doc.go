// Package gateway makes a node a gateway of a federation: it keeps the links to the others of its group and to partners, and
// takes a request's way through quota, replication and routes to the engine of a pool or to a partner.
//
// It owns the order of these steps, the same for a request that has just come and for one that is taken over (requestFlow, then
// execution), the envelope that goes with a forwarded request, and the links (connector). What each step decides it leaves to
// others: internal/quota, internal/replication, internal/routeexchange, internal/dispatch and the engines.
//
// It promises:
//
//   - A request draws one token of each quota that it matches, at the gateway that it came to first: what was drawn goes with it,
//     into replication and to partners, and is given back where nothing was begun. Kept in policy.draws and requestFlow.respond.
//   - A partner's request is taken only with an envelope that is sealed with that partner's key for this request, and by the rules
//     of now. Kept in openEnvelope and execution.chooseRoute.
//   - An attempt that may have run is repeated only where it may have run, and a partner that may run a request is asked for its
//     outcome instead. Kept in execution.run.
//   - Each request that it takes gets one response within its client's time. Kept in requestFlow.serve.
package gateway
