// Package gateway implements a node's gateway in a federation. It maintains the links to the other gateways of its group and to
// partners, and passes requests through quota, replication and routing to the engine of a pool or to a partner.
//
// It owns the order of these steps, which is the same for a new request and for one that is taken over (requestFlow, then
// execution), the envelope of a forwarded request, and the links (connector). The decisions within each step belong to
// internal/quota, internal/replication, internal/routeexchange, internal/dispatch and the engines.
//
// It guarantees:
//
//   - A request draws one token from each quota that it matches, at the first gateway that receives it. The names of these quotas
//     travel with it to replicas and partners, and tokens are returned if no attempt was started. See policy.quotasToDraw and
//     requestFlow.respond.
//   - A partner's request is accepted only with an envelope that is sealed for this request with that partner's key, and only if the
//     current rules admit it. See openEnvelope and execution.chooseRoute.
//   - An attempt that may have run is retried only where it may have run. A partner that may run a request is queried for the
//     outcome instead. See execution.run.
//   - Each intercepted request gets one response before its deadline. See requestFlow.serve.
package gateway
