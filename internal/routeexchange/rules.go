package routeexchange

import (
	"cmp"
	"slices"
	"time"
)

// Rules are the restrictions set by the owner of an advertisement and narrowed by each partner that re-advertised it.
type Rules struct {
	AnyPartner      bool     `cbor:"1,keyasint,omitempty"` // any partner may receive it
	Partners        []string `cbor:"2,keyasint,omitempty"` // partners that may receive it, unless AnyPartner is set
	NoTransit       bool     `cbor:"3,keyasint,omitempty"` // receivers may not re-advertise it
	MaxHops         int      `cbor:"4,keyasint"`           // most partners that a request may pass before the origin, including its client's
	Effects         Effects  `cbor:"5,keyasint"`           // effects of the allowed requests
	Tenants         []string `cbor:"6,keyasint,omitempty"` // allowed tenants; empty for all
	ExcludedTenants []string `cbor:"7,keyasint,omitempty"` // tenants that are not allowed
	Until           int64    `cbor:"8,keyasint,omitempty"` // expiry in Unix seconds; 0 for none
}

// Narrow returns rules at least as strict as both a and b.
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
			out.Effects = 0 // allows no request: an empty list of tenants would allow all
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

// permits reports whether a partner may receive an advertisement at the given time.
func (r *Rules) permits(partner string, now time.Time) bool {
	return (r.AnyPartner || slices.Contains(r.Partners, partner)) && (r.Until == 0 || now.Unix() < r.Until)
}
