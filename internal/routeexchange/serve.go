package routeexchange

import (
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/balancer"
)

// Request is what rules look at.
type Request struct {
	Class  string
	Path   string // of the target, in its plain form
	Tenant string
	Effect balancer.Effect
	Via    []string // partners that it came through, the first client's first; empty: from a client of this partner's
}

// check says why a request is not one of those that the rules are for; empty: it is.
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

// Allows says whether a request may be sent by an advertisement, before it is.
func (r *Route) Allows(req *Request, now time.Time) bool {
	if r.Own {
		return true
	}
	for _, p := range req.Via {
		if slices.Contains(r.Path, p) {
			return false // it would go round
		}
	}
	// It came through len(Via) partners' hands, this one's are next, and all on the path but the last pass it on.
	return len(req.Via)+len(r.Path) <= r.Rules.MaxHops && r.Rules.check(req, now) == ""
}

// CheckServe says why a request that came through partners is not taken by this partner's own export; empty: it is. The rules are
// those of now, whatever whoever sent it had heard.
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
