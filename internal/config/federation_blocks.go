package config

import (
	"time"

	"github.com/hashicorp/hcl/v2/hclsyntax"

	"damsontrestle/internal/budget"
)

func (r *reader) federation(b *hclsyntax.Body, path, name string) *Federation {
	federation := &Federation{
		Partner:            name,
		Replicas:           3,
		Memory:             8 << 20,
		ResponseRetention:  Duration(30 * time.Second),
		StaleOfferLifetime: Duration(30 * time.Second),
		LinkTimeout:        Duration(time.Second),
	}
	r.body(b, path, []field{
		{"listener", false, text(&federation.Listener)},
		{"calls", false, text(&federation.RequestAddress)},
		{"holders", false, integer(&federation.Replicas)},
		{"memory", false, size(&federation.Memory)},
		{"keep", false, duration(&federation.ResponseRetention)},
		{"stale", false, duration(&federation.StaleOfferLifetime)},
		{"silence", false, duration(&federation.LinkTimeout)},
	}, nil)
	return federation
}

func (r *reader) partner(b *hclsyntax.Body, path, name string) Partner {
	partner := Partner{Name: name, Links: 2, Preference: 100, MaxRoutes: 1000, MaxConnections: 16}
	r.body(b, path, []field{
		{"key_file", true, text(&partner.KeyFile)},
		{"gateways", true, textList(&partner.Gateways)},
		{"links", false, integer(&partner.Links)},
		{"accept", false, textList(&partner.Accept)},
		{"deny", false, textList(&partner.Deny)},
		{"preference", false, integer(&partner.Preference)},
		{"most_offers", false, integer(&partner.MaxRoutes)},
		{"pass_on_to", false, textList(&partner.ReadvertiseTo)},
		{"cost", false, integer(&partner.Cost)},
		{"connections", false, integer(&partner.MaxConnections)},
	}, nil)
	return partner
}

func (r *reader) export(b *hclsyntax.Body, path, name string) Export {
	export := Export{Name: name, MaxHops: 1}
	var effects []string
	r.body(b, path, []field{
		{"class", true, text(&export.Class)},
		{"path", true, text(&export.Path)},
		{"all", false, boolean(&export.All)},
		{"to", false, textList(&export.To)},
		{"transit", false, boolean(&export.Transit)},
		{"hands", false, integer(&export.MaxHops)},
		{"effects", false, textList(&effects)},
		{"tenants", false, textList(&export.Tenants)},
		{"excluded", false, textList(&export.ExcludedTenants)},
		{"until", false, text(&export.Expiry)},
		{"cost", false, integer(&export.Cost)},
		{"room", false, integer(&export.Capacity)},
	}, nil)
	for _, v := range effects {
		export.Effects = append(export.Effects, Effect(v))
	}
	if effects == nil {
		export.Effects = []Effect{Safe} // other effects are exported only if they are listed
	}
	return export
}

func (r *reader) quota(b *hclsyntax.Body, path, name string) Quota {
	quota := Quota{
		Name:       name,
		Overdraw:   0.05,
		TokenLease: Duration(300 * time.Millisecond),
		LeaderTerm: Duration(1500 * time.Millisecond),
		Fallback:   budget.Floor,
	}
	r.body(b, path, []field{
		{"rate", true, decimal(&quota.Rate)},
		{"burst", true, decimal(&quota.Burst)},
		{"over", false, decimal(&quota.Overdraw)},
		{"lease", false, duration(&quota.TokenLease)},
		{"term", false, duration(&quota.LeaderTerm)},
		{"wait", false, duration(&quota.MaxWait)},
		{"when_cut", false, enumeration(&quota.Fallback)},
		{"classes", false, textList(&quota.Classes)},
		{"tenants", false, textList(&quota.Tenants)},
	}, []block{
		{kind: "keeper", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			k := QuotaCandidate{Name: label}
			r.body(b, path, []field{{"address", true, text(&k.Address)}}, nil)
			quota.Candidates = append(quota.Candidates, k)
		}},
		{kind: "partner", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			p := QuotaPartner{Name: label, Weight: 1}
			r.body(b, path, []field{
				{"floor", false, decimal(&p.Floor)},
				{"weight", false, decimal(&p.Weight)},
				{"gateways", true, integer(&p.Gateways)},
			}, nil)
			quota.Partners = append(quota.Partners, p)
		}},
	})
	return quota
}
