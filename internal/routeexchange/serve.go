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

// allows says why a request is not one of those that the rules are for; empty: it is.
func (r *Rules) allows(c *Request, now time.Time) string {
	switch {
	case r.Until != 0 && now.Unix() >= r.Until:
		return "the offer has ended"
	case !r.Effects.Has(c.Effect):
		return "calls of this effect are not taken"
	case len(r.Tenants) > 0 && !slices.Contains(r.Tenants, c.Tenant):
		return "the tenant is not one of those that it is for"
	case slices.Contains(r.Excluded, c.Tenant):
		return "the tenant is excluded"
	}
	return ""
}

// Allows says whether a request may be sent by an advertisement, before it is.
func (w *Route) Allows(c *Request, now time.Time) bool {
	if w.Own {
		return true
	}
	for _, p := range c.Via {
		if slices.Contains(w.Path, p) {
			return false // it would go round
		}
	}
	// It came through len(Came) partners' hands, this one's are next, and all on the path but the last pass it on.
	return len(c.Via)+len(w.Path) <= w.Rules.MaxHops && w.Rules.allows(c, now) == ""
}

// MayServe says why a request that came through partners is not taken by this partner's own export; empty: it is. The rules are
// those of now, whatever whoever sent it had heard.
func MayServe(o *Advertisement, c *Request, self string, now time.Time) string {
	switch {
	case c.Class != o.Class || !strings.HasPrefix(c.Path, o.Prefix):
		return "the call is not of what is offered"
	case len(c.Via) == 0 || slices.Contains(c.Via, self):
		return "it goes round"
	case len(c.Via) > o.Rules.MaxHops:
		return "it came through too many hands"
	case len(c.Via) > 1 && o.Rules.NoTransit:
		return "it was passed on"
	}
	for _, p := range c.Via {
		if !o.Rules.All && !slices.Contains(o.Rules.To, p) {
			return "partner " + p + " may not have the offer"
		}
	}
	return o.Rules.allows(c, now)
}
