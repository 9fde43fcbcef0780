// Package quota enforces quotas: request rates that the gateways of all partners share.
//
// The quota leader, one of a few configured candidates, fills a token bucket at the quota's rate and leases tokens from it to
// the gateways that request them. A token admits one request at the gateway that it was granted to, until its lease expires.
// The leader is elected by a majority of the candidates for a term that it renews, and grants nothing once its term has expired
// by its own clock.
//
// The package guarantees the following if clock rates differ by at most budget.MaxDrift; the times that clocks show do not matter:
//
//   - In any window of length w, at most Terms.Bound(w) requests draw a token over all gateways, whichever of them are killed,
//     stopped, partitioned or restarted. A token is taken out of the one bucket before it is granted (leader.distribute) and is
//     used within one lease of the time when it was requested (Limiter.applyGrant), and the bucket of a new leader starts empty
//     (leader.startTerm).
//   - There are never two leaders. A vote outlasts the term that it was granted for, and a candidate that has just started does
//     not vote until any vote it may have granted before its restart has expired (budget.GrantVote).
//   - A partner's floor is reserved for it. It is served first and, if no leader is reachable and the configuration allows it,
//     each gateway continues with its share of the floor (Limiter.takeFloorToken). The leader lends a floor to others only
//     while its owner has waived it (budget.FloorLoanEnds).
//   - Tokens beyond floors are shared by weight: a partner gets no more while another partner that wants tokens has received
//     less relative to its weight (budget.NextPartner).
//
// The rules are pure functions in internal/budget, a separate package because internal/config validates a quota's terms with
// them and must not import goroutines and links for that. internal/gateway decides which requests draw from which quota and
// what happens to rejected ones. The design is in docs/design/quota.md.
package quota

import (
	"slices"
	"strings"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// Candidate identifies a gateway that may become the leader of a quota.
type Candidate struct{ Partner, Name string }

func (c Candidate) id() peering.GatewayID { return peering.GatewayID{Partner: c.Partner, Name: c.Name} }

// ParseCandidate parses "partner/gateway". Without a slash, all of name is the partner.
func ParseCandidate(name string) Candidate {
	partner, gateway, _ := strings.Cut(name, "/")
	return Candidate{partner, gateway}
}

// Budget is the configuration of one quota: its terms, the candidates for its leader and the requests that draw from it.
type Budget struct {
	budget.Terms
	Candidates []Candidate // in the order in which they campaign; an odd number of them
	Classes    []string    // of the requests that draw; empty for all
	Tenants    []string    // of the requests that draw; empty for all
}

// Matches reports whether requests of a class and a tenant draw from the quota.
func (b *Budget) Matches(class, tenant string) bool {
	return matchesAny(b.Classes, class) && matchesAny(b.Tenants, tenant)
}

// matchesAny reports whether list contains value; an empty list matches all values.
func matchesAny(list []string, value string) bool {
	return len(list) == 0 || slices.Contains(list, value)
}
