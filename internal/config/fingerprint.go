package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"damsontrestle/internal/route"
)

// Fingerprint returns a hash that identifies the configuration. Configurations that differ only in the order of their blocks have
// the same one; all others have different ones.
func (c *Config) Fingerprint() string {
	text, err := json.Marshal(c.Canonical())
	if err != nil { // a NaN, which Check reports
		return "sha256:invalid"
	}
	sum := sha256.Sum256(text)
	return "sha256:" + hex.EncodeToString(sum[:])
}

// SharedDigest returns a 24-bit digest of what all nodes of a fleet have in common: classes, routes and pools, without the node's
// index and the registry's settings. Two different configurations have the same digest with a probability of one in sixteen million.
func (c *Config) SharedDigest() uint32 {
	out := Config{Classes: c.Canonical().Classes, Routes: c.Routes, Pools: c.Canonical().Pools}
	for i := range out.Pools {
		out.Pools[i].Balancers.Index = 0
		if out.Pools[i].Registry != nil {
			out.Pools[i].Registry = &Registry{}
		}
	}
	sum := sha256.Sum256([]byte(out.Fingerprint()))
	return uint32(sum[0])<<16 | uint32(sum[1])<<8 | uint32(sum[2])
}

// Canonical returns a copy of the configuration with all named elements sorted by name.
func (c *Config) Canonical() *Config {
	out := *c
	out.Classes = sorted(c.Classes, func(c Class) string { return c.Name })
	out.Listeners = sorted(c.Listeners, func(l Listener) string { return l.Name })
	out.Pools = sorted(c.Pools, func(p Pool) string { return p.Name })
	for i := range out.Pools {
		out.Pools[i].Servers = sorted(out.Pools[i].Servers, func(s Server) string { return s.Name })
	}
	out.Partners = sorted(c.Partners, Partner.name)
	for i := range out.Partners {
		p := &out.Partners[i]
		p.Accept = sorted(p.Accept, identity)
		p.Deny = sorted(p.Deny, identity)
		p.ReadvertiseTo = sorted(p.ReadvertiseTo, identity)
		p.Gateways = sorted(p.Gateways, identity)
	}
	out.Exports = sorted(c.Exports, Export.name)
	for i := range out.Exports {
		e := &out.Exports[i]
		e.To = sorted(e.To, identity)
		e.Tenants = sorted(e.Tenants, identity)
		e.ExcludedTenants = sorted(e.ExcludedTenants, identity)
		e.Effects = sorted(e.Effects, func(v Effect) string { return string(v) })
	}
	out.Quotas = sorted(c.Quotas, Quota.name)
	for i := range out.Quotas {
		out.Quotas[i].Partners = sorted(out.Quotas[i].Partners, QuotaPartner.name)
	}
	out.Routes = sorted(c.Routes, func(r route.Route) string { return r.Name })
	for i := range out.Routes {
		r := &out.Routes[i]
		r.Listeners = sorted(r.Listeners, identity)
		r.Classes = sorted(r.Classes, identity)
		r.Hosts = sorted(r.Hosts, identity)
		r.Paths = sorted(r.Paths, identity)
		r.Headers = sorted(r.Headers, func(h route.Header) string { return h.Name })
		r.To = sorted(r.To, func(t route.Target) string { return t.Pool })
	}
	return &out
}

func identity(s string) string { return s }

func sorted[T any](list []T, name func(T) string) []T {
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}
