// Package quota enforces a quota: one rate of requests that the gateways of all partners share.
//
// The quota leader, one of a few candidates that the file names, fills a token bucket at the quota's rate and leases tokens out
// of it to the gateways that request them. A token admits one request, at the gateway that it was granted to, until its lease
// ends. The leader is elected by a majority of the candidates for a term that it renews, and grants nothing once its term is
// over by its own clock.
//
// What the package promises, where clocks differ in rate by at most budget.MaxDrift, whatever they show:
//
//   - In any window of w no more than Terms.Bound(w) requests draw, over all gateways, whoever is killed, stopped, partitioned
//     or restarted: a token is taken out of the one bucket before it is granted (leader.distribute), is used within a lease of
//     the time when it was requested (Limiter.applyGrant), and the bucket of a new leader starts empty (leader.begin).
//   - There are never two leaders: a vote outlasts the term that it was given for, and a candidate that has just started votes
//     for nobody until what it may have promised before is over (budget.GrantVote).
//   - A partner's floor is its own: it is served first, and where no leader is reached and the file says so, each gateway goes
//     on with its part of it (Limiter.takeOwnFloor). The leader lends a floor to others only as long as its owner has waived
//     it (budget.FloorLoanEnds).
//   - What is beyond floors is shared by weight: nobody gets more while another who wants more has less for its weight
//     (budget.NextPartner).
//
// The rules are plain functions of internal/budget. They are a package of their own because the configuration checks a quota's
// terms by them, and must not import tasks and links for that. Which requests draw from which quota, and what becomes of one
// that is rejected, is left to internal/gateway; docs/design/quota.md has the design.
package quota

import (
	"slices"
	"strings"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// Candidate is a gateway that may become the leader of a quota.
type Candidate struct{ Partner, Name string }

func (c Candidate) id() peering.GatewayID { return peering.GatewayID{Partner: c.Partner, Name: c.Name} }

// ParseCandidate reads the form partner/gateway. Without a slash all of name is the partner.
func ParseCandidate(name string) Candidate {
	partner, gateway, _ := strings.Cut(name, "/")
	return Candidate{partner, gateway}
}

// Budget is one quota of a file: its terms, who may lead it and which requests draw from it.
type Budget struct {
	budget.Terms
	Candidates []Candidate // in the order in which they campaign; an odd number
	Classes    []string    // of the requests that draw; empty: all
	Tenants    []string    // of the requests that draw; empty: all
}

// Matches says whether a request of a class and a tenant draws from the quota.
func (b *Budget) Matches(class, tenant string) bool {
	return matchesAny(b.Classes, class) && matchesAny(b.Tenants, tenant)
}

// matchesAny says whether a list names a value; an empty list stands for all values.
func matchesAny(list []string, value string) bool {
	return len(list) == 0 || slices.Contains(list, value)
}
