package config

import (
	"time"

	"github.com/hashicorp/hcl/v2/hclsyntax"

	"damsontrestle/internal/budget"
)

func (r *reader) federation(b *hclsyntax.Body, path, name string) *Federation {
	f := &Federation{
		Partner:            name,
		Replicas:           3,
		Memory:             8 << 20,
		ResponseRetention:  Duration(30 * time.Second),
		StaleOfferLifetime: Duration(30 * time.Second),
		LinkTimeout:        Duration(time.Second),
	}
	r.body(b, path, []field{
		{"listener", false, text(&f.Listener)},
		{"calls", false, text(&f.RequestAddress)},
		{"holders", false, integer(&f.Replicas)},
		{"memory", false, size(&f.Memory)},
		{"keep", false, duration(&f.ResponseRetention)},
		{"stale", false, duration(&f.StaleOfferLifetime)},
		{"silence", false, duration(&f.LinkTimeout)},
	}, nil)
	return f
}

func (r *reader) partner(b *hclsyntax.Body, path, name string) Partner {
	p := Partner{Name: name, Links: 2, Preference: 100, MaxRoutes: 1000, MaxConnections: 16}
	r.body(b, path, []field{
		{"key_file", true, text(&p.KeyFile)},
		{"gateways", true, textList(&p.Gateways)},
		{"links", false, integer(&p.Links)},
		{"accept", false, textList(&p.Accept)},
		{"deny", false, textList(&p.Deny)},
		{"preference", false, integer(&p.Preference)},
		{"most_offers", false, integer(&p.MaxRoutes)},
		{"pass_on_to", false, textList(&p.ReadvertiseTo)},
		{"cost", false, integer(&p.Cost)},
		{"connections", false, integer(&p.MaxConnections)},
	}, nil)
	return p
}

func (r *reader) export(b *hclsyntax.Body, path, name string) Export {
	e := Export{Name: name, MaxHops: 1}
	var effects []string
	r.body(b, path, []field{
		{"class", true, text(&e.Class)},
		{"path", true, text(&e.Path)},
		{"all", false, boolean(&e.All)},
		{"to", false, textList(&e.To)},
		{"transit", false, boolean(&e.Transit)},
		{"hands", false, integer(&e.MaxHops)},
		{"effects", false, textList(&effects)},
		{"tenants", false, textList(&e.Tenants)},
		{"excluded", false, textList(&e.ExcludedTenants)},
		{"until", false, text(&e.Expiry)},
		{"cost", false, integer(&e.Cost)},
		{"room", false, integer(&e.Capacity)},
	}, nil)
	for _, v := range effects {
		e.Effects = append(e.Effects, Effect(v))
	}
	if effects == nil {
		e.Effects = []Effect{Safe} // other effects are exported only if they are listed
	}
	return e
}

func (r *reader) quota(b *hclsyntax.Body, path, name string) Quota {
	q := Quota{
		Name:       name,
		Overshoot:  0.05,
		TokenLease: Duration(300 * time.Millisecond),
		LeaderTerm: Duration(1500 * time.Millisecond),
		Fallback:   budget.Floor,
	}
	r.body(b, path, []field{
		{"rate", true, decimal(&q.Rate)},
		{"burst", true, decimal(&q.Burst)},
		{"over", false, decimal(&q.Overshoot)},
		{"lease", false, duration(&q.TokenLease)},
		{"term", false, duration(&q.LeaderTerm)},
		{"wait", false, duration(&q.MaxWait)},
		{"when_cut", false, enumeration(&q.Fallback)},
		{"classes", false, textList(&q.Classes)},
		{"tenants", false, textList(&q.Tenants)},
	}, []block{
		{kind: "keeper", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			k := QuotaCandidate{Name: label}
			r.body(b, path, []field{{"address", true, text(&k.Address)}}, nil)
			q.Candidates = append(q.Candidates, k)
		}},
		{kind: "partner", labelled: true, required: true, read: func(b *hclsyntax.Body, path, label string) {
			p := QuotaPartner{Name: label, Weight: 1}
			r.body(b, path, []field{
				{"floor", false, decimal(&p.Floor)},
				{"weight", false, decimal(&p.Weight)},
				{"gateways", true, integer(&p.Gateways)},
			}, nil)
			q.Partners = append(q.Partners, p)
		}},
	})
	return q
}
