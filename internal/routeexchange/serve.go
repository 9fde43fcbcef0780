package routeexchange

import (
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/balancer"
)

// Request describes a request as far as rules depend on it.
type Request struct {
	Class  string
	Path   string // target path in normalized form
	Tenant string
	Effect balancer.Effect
	Via    []string // partners that forwarded it, the client's own first; empty for a client of this partner
}

// check returns why the rules do not allow a request, or "" if they do.
func (r *Rules) check(req *Request, now time.Time) string {
	switch {
	case r.Until != 0 && now.Unix() >= r.Until:
		return "the offer has ended"
	case !r.Effects.Has(req.Effect):
		return "calls of this effect are not taken"
	case len(r.Tenants) > 0 && !slices.Contains(r.Tenants, req.Tenant):
		return "the tenant is not one of those that it is for"
	case slices.Contains(r.ExcludedTenants, req.Tenant):
		return "the tenant is excluded"
	}
	return ""
}

// Allows reports whether a request may be forwarded on the route.
func (r *Route) Allows(req *Request, now time.Time) bool {
	if r.Own {
		return true
	}
	for _, p := range req.Via {
		if slices.Contains(r.Path, p) {
			return false // it would loop
		}
	}
	// The request has passed len(Via) partners, this one is next, and all partners on the path but the last forward it:
	// len(Via) + 1 + len(Path) - 1 hops.
	return len(req.Via)+len(r.Path) <= r.Rules.MaxHops && r.Rules.check(req, now) == ""
}

// CheckServe returns why a request forwarded by partners is rejected by this partner's own export, or "" if it is accepted. adv
// holds the current rules, whichever version the sender had received.
func CheckServe(adv *Advertisement, req *Request, self string, now time.Time) string {
	switch {
	case req.Class != adv.Class || !strings.HasPrefix(req.Path, adv.Prefix):
		return "the call is not of what is offered"
	case len(req.Via) == 0 || slices.Contains(req.Via, self):
		return "it goes round"
	case len(req.Via) > adv.Rules.MaxHops:
		return "it came through too many hands"
	case len(req.Via) > 1 && adv.Rules.NoTransit:
		return "it was passed on"
	}
	for _, p := range req.Via {
		if !adv.Rules.AnyPartner && !slices.Contains(adv.Rules.Partners, p) {
			return "partner " + p + " may not have the offer"
		}
	}
	return adv.Rules.check(req, now)
}
