package routeexchange

import (
	"cmp"
	"slices"
	"time"
)

// Rules are what the owner of an advertisement allows, narrowed by whoever passed it on.
type Rules struct {
	AnyPartner      bool     `cbor:"1,keyasint,omitempty"` // any partner may have it; else
	Partners        []string `cbor:"2,keyasint,omitempty"` // these
	NoTransit       bool     `cbor:"3,keyasint,omitempty"` // who gets it may not pass it on
	MaxHops         int      `cbor:"4,keyasint"`           // partners that a request may come through at most, the first client's among them
	Effects         Effects  `cbor:"5,keyasint"`           // of the requests that may come
	Tenants         []string `cbor:"6,keyasint,omitempty"` // only these; empty: all
	ExcludedTenants []string `cbor:"7,keyasint,omitempty"` // but not these
	Until           int64    `cbor:"8,keyasint,omitempty"` // Unix seconds; 0: for good
}

// Narrow are rules at least as strict as both.
func Narrow(a, b Rules) Rules {
	out := Rules{AnyPartner: a.AnyPartner && b.AnyPartner, NoTransit: a.NoTransit || b.NoTransit, MaxHops: min(a.MaxHops, b.MaxHops), Effects: a.Effects & b.Effects,
		Until: cmp.Or(min(a.Until, b.Until), max(a.Until, b.Until))}
	switch {
	case a.AnyPartner:
		out.Partners = slices.Clone(b.Partners)
	case b.AnyPartner:
		out.Partners = slices.Clone(a.Partners)
	default:
		out.Partners = intersection(a.Partners, b.Partners)
	}
	switch {
	case len(a.Tenants) == 0:
		out.Tenants = slices.Clone(b.Tenants)
	case len(b.Tenants) == 0:
		out.Tenants = slices.Clone(a.Tenants)
	default:
		if out.Tenants = intersection(a.Tenants, b.Tenants); len(out.Tenants) == 0 {
			out.Effects = 0 // for nobody: an empty list would mean all
		}
	}
	out.ExcludedTenants = slices.Compact(slices.Sorted(slices.Values(slices.Concat(a.ExcludedTenants, b.ExcludedTenants))))
	return out
}

func intersection(a, b []string) (out []string) {
	for _, s := range a {
		if slices.Contains(b, s) {
			out = append(out, s)
		}
	}
	return out
}

// permits says that a partner may have an advertisement at a time.
func (r *Rules) permits(partner string, now time.Time) bool {
	return (r.AnyPartner || slices.Contains(r.Partners, partner)) && (r.Until == 0 || now.Unix() < r.Until)
}
