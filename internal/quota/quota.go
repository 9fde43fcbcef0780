// Package quota keeps one budget of requests that all partners draw from.
//
// A quota leader, one of a few gateways that the file names, fills a bucket at the budget's rate and gives tokens out of it to the
// gateways that ask; a token allows one request, at the gateway that it was given to, for a short while. The quota leader is elected by
// a majority of those that could be it, for a term that it renews, and gives nothing out once its term is over by its own
// clock.
//
// What it promises, where clocks differ in rate by Drift at most, whatever they show:
//
//   - In any window of W seconds no more than Terms.Bound(W) requests draw, over all gateways, whoever is killed, stopped, cut off
//     or started anew: a token was taken out of the one bucket before it was given, is used within Lease of when it was asked
//     for, and the bucket of a new quota leader begins empty.
//   - There are never two quota candidates: a replica's promise outlasts the term that it was given for, and a replica that has just been
//     started promises nothing until what it may have promised before is over.
//   - A partner's floor is its own: it gets as much as that first, and where links to the quota leader are lost, and the file says
//     so, each gateway goes on with its part of it. The quota leader lends a floor to others only as long as whose it is has waived it.
//   - What is beyond floors is shared by weight: nobody gets more while another who wants more has less for its weight.
//
// The rules are internal/budget's plain functions.
package quota

import (
	"slices"
	"strings"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// Candidate is one who may keep a budget.
type Candidate struct{ Partner, Name string }

func (c Candidate) id() peering.GatewayID { return peering.GatewayID{Partner: c.Partner, Name: c.Name} }

// ParseCandidate reads partner/gateway.
func ParseCandidate(name string) Candidate {
	partner, gateway, _ := strings.Cut(name, "/")
	return Candidate{partner, gateway}
}

// Budget is one quota of a file.
type Budget struct {
	budget.Terms
	Candidates []Candidate // in the order in which they try to be it; an odd number
	Classes    []string    // of the requests that draw; empty: all
	Tenants    []string    // likewise
}

// Matches says that a request draws from the budget.
func (b *Budget) Matches(class, tenant string) bool {
	return (len(b.Classes) == 0 || slices.Contains(b.Classes, class)) && (len(b.Tenants) == 0 || slices.Contains(b.Tenants, tenant))
}
