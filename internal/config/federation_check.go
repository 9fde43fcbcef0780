package config

import (
	"math"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/budget"
)

// Bounds of a federation.
const (
	maxReplicas     = 7
	maxHops         = 8
	maxRoutes       = 100_000
	maxGateways     = 10_000
	maxLinks        = 16
	maxListLength   = 256
	linkMemoryBytes = 40 << 10 // of a link, measured and rounded up (docs/design/peering.md)
)

func (k *checker) federation() {
	f := k.Federation
	if f == nil {
		k.rejectFederationBlocks()
		return
	}
	path := "federation." + f.Partner
	k.name(path, f.Partner)
	if k.Node.Peers.Listen == "" {
		k.fail(path, "the node has no peers block: gateways of a group find one another by it, and links come in at its address")
	}
	if f.Listener != "" {
		l, ok := k.Listener(f.Listener)
		switch {
		case !ok:
			k.fail(path+".listener", "found %q: there is no listener of that name", f.Listener)
		case l.Protocol != HTTP1:
			k.fail(path+".listener", "found %q, which speaks %s; allowed: one of protocol %q", f.Listener, l.Protocol, HTTP1)
		}
	}
	if f.RequestAddress != "" {
		k.dialAddress(path+".calls", f.RequestAddress)
	}
	k.number(path+".holders", f.Replicas, 1, maxReplicas)
	if f.Memory < 64<<10 || f.Memory > maxMemoryBytes {
		k.fail(path+".memory", "found %v; allowed: %v to %v", f.Memory, Size(64<<10), Size(maxMemoryBytes))
	}
	k.duration(path+".keep", f.ResponseRetention, time.Second, time.Hour)
	k.duration(path+".stale", f.StaleOfferLifetime, 0, time.Hour)
	k.duration(path+".silence", f.LinkTimeout, 50*time.Millisecond, time.Minute)
	for _, c := range k.Classes {
		if c.Replication != nil {
			checkEnum(k, "class."+c.Name+".custody.when_alone", c.Replication.Fallback, ServeUnreplicated, RejectUnreplicated)
		}
	}
	k.partners()
	k.exports()
	k.quotas()
}

// rejectFederationBlocks reports what only a federation can have.
func (k *checker) rejectFederationBlocks() {
	for _, c := range k.Classes {
		if c.Replication != nil {
			k.fail("class."+c.Name+".custody", "it needs a federation block, and peers in the node's")
		}
	}
	for _, p := range k.Partners {
		k.fail("partner."+p.Name, "it needs a federation block")
	}
	for _, e := range k.Exports {
		k.fail("export."+e.Name, "it needs a federation block")
	}
	for _, q := range k.Quotas {
		k.fail("quota."+q.Name, "it needs a federation block")
	}
}

// partnerExists checks that a name is that of a partner, or of this one where that may be.
func (k *checker) partnerExists(path, name string, self bool) {
	if self && name == k.Federation.Partner {
		return
	}
	if _, ok := find(k.Partners, name, Partner.name); !ok {
		k.fail(path, "found %q: there is no partner of that name", name)
	}
}

func (k *checker) prefixes(path string, list []string) {
	for _, p := range list {
		if !strings.HasPrefix(p, "/") || !strings.HasSuffix(p, "/") || strings.Contains(p, "//") {
			k.fail(path, `found %q; allowed: a path with a slash at both ends, such as "/view/wells/"`, p)
		}
	}
	if len(list) > maxListLength {
		k.fail(path, "found %d; allowed: up to %d", len(list), maxListLength)
	}
}

func (k *checker) partners() {
	checkNames(k, "partner", k.Partners, Partner.name)
	seen := map[string]string{}
	for _, p := range k.Partners {
		path := "partner." + p.Name
		if p.Name == k.Federation.Partner {
			k.fail(path, "it is called as this partner itself is")
		}
		if !filepath.IsAbs(p.KeyFile) {
			k.fail(path+".key_file", "found %q; allowed: an absolute path", p.KeyFile)
		}
		if len(p.Gateways) == 0 || len(p.Gateways) > maxListLength {
			k.fail(path+".gateways", "found %d; allowed: 1 to %d", len(p.Gateways), maxListLength)
		}
		for _, g := range p.Gateways {
			k.dialAddress(path+".gateways", g)
			if other, twice := seen[g]; twice {
				k.fail(path+".gateways", "found %q, which partner %q has", g, other)
			}
			seen[g] = p.Name
		}
		k.number(path+".links", p.Links, 1, maxLinks)
		k.number(path+".preference", p.Preference, 0, 1_000_000)
		k.number(path+".most_offers", p.MaxRoutes, 0, maxRoutes)
		k.number(path+".cost", p.Cost, 0, 1_000_000)
		k.number(path+".connections", p.MaxConnections, 1, maxDescriptors)
		k.prefixes(path+".accept", p.Accept)
		k.prefixes(path+".deny", p.Deny)
		for _, to := range p.ReadvertiseTo {
			k.partnerExists(path+".pass_on_to", to, false)
			if to == p.Name {
				k.fail(path+".pass_on_to", "found %q: that is whom the offers come from", to)
			}
		}
	}
}

func (k *checker) exports() {
	checkNames(k, "export", k.Exports, Export.name)
	if len(k.Exports) > 0 && k.Federation.Listener == "" {
		k.fail("federation."+k.Federation.Partner, "there are exports, but no listener by which partners' calls come in: listener is missing")
	}
	for _, e := range k.Exports {
		path := "export." + e.Name
		class, ok := k.Class(e.Class)
		if !ok {
			k.fail(path+".class", "found %q: there is no class of that name", e.Class)
		}
		if !strings.HasPrefix(e.Path, "/"+e.Class+"/") || !strings.HasSuffix(e.Path, "/") {
			k.fail(path+".path", `found %q; allowed: a path of the class with a slash at its end, from "/%s/" on`, e.Path, e.Class)
		}
		if e.All && len(e.To) > 0 {
			k.fail(path+".to", "found names beside all = true; allowed: one of them")
		}
		if !e.All && len(e.To) == 0 {
			k.warn(path, "nobody may have it: neither all nor to names anybody")
		}
		for _, to := range e.To {
			if to == k.Federation.Partner {
				k.fail(path+".to", "found %q: that is this partner itself", to)
			}
		}
		k.number(path+".hands", e.MaxHops, 1, maxHops)
		if e.MaxHops > 1 && !e.Transit {
			k.fail(path+".hands", "found %d, but transit is not allowed: no call can come through more than one partner's hands", e.MaxHops)
		}
		for _, v := range e.Effects {
			checkEnum(k, path+".effects", v, Unsafe, Keyed, Safe)
		}
		if ok && !slices.Contains(e.Effects, class.Effect) {
			k.fail(path+".effects", "the class %q is %s, which is not among them: no call could come; allowed: effects = [%q]", e.Class, class.Effect, class.Effect)
		}
		if e.Expiry != "" {
			if _, err := time.Parse(time.RFC3339, e.Expiry); err != nil {
				k.fail(path+".until", `found %q; allowed: a time such as "2027-01-31T00:00:00Z"`, e.Expiry)
			}
		}
		k.number(path+".cost", e.Cost, 0, 1_000_000)
		k.number(path+".room", e.Capacity, 0, 1_000_000)
	}
}

func (k *checker) quotas() {
	checkNames(k, "quota", k.Quotas, Quota.name)
	for _, q := range k.Quotas {
		path := "quota." + q.Name
		k.duration(path+".lease", q.Lease, 20*time.Millisecond, time.Minute)
		k.duration(path+".term", q.Term, 100*time.Millisecond, time.Minute)
		k.duration(path+".wait", q.Wait, 0, 10*time.Second)
		checkEnum(k, path+".when_cut", q.Fallback, budget.Floor, budget.Closed, budget.Open)
		for _, c := range q.Classes {
			if _, ok := k.Class(c); !ok {
				k.fail(path+".classes", "found %q: there is no class of that name", c)
			}
		}
		k.quotaCandidates(path, q.Candidates)
		k.quotaPartners(path, q.Partners)
		k.quotaTerms(path, q)
	}
}

func (k *checker) quotaCandidates(path string, candidates []QuotaCandidate) {
	if len(candidates)%2 == 0 || len(candidates) > maxReplicas {
		k.fail(path, "found %d keepers; allowed: 1, 3, 5 or 7, so that a majority of them is one", len(candidates))
	}
	seen := map[string]bool{}
	for _, c := range candidates {
		candidatePath := path + ".keeper." + c.Name
		partner, name, ok := strings.Cut(c.Name, "/")
		if !ok || !validName(partner) || !validName(name) {
			k.fail(candidatePath, `found the name %q; allowed: a partner's and a gateway's, as in "chavara/annot-1"`, c.Name)
		} else {
			k.partnerExists(candidatePath, partner, true)
		}
		k.dialAddress(candidatePath+".address", c.Address)
		if seen[c.Name] {
			k.fail(candidatePath, "it is named twice")
		}
		seen[c.Name] = true
	}
}

func (k *checker) quotaPartners(path string, partners []QuotaPartner) {
	seen := map[string]bool{}
	for _, p := range partners {
		partnerPath := path + ".partner." + p.Name
		k.partnerExists(partnerPath, p.Name, true)
		k.float(partnerPath+".floor", p.Floor, 0, 1e6)
		k.float(partnerPath+".weight", p.Weight, 0.001, 1e6)
		k.number(partnerPath+".gateways", p.Gateways, 1, maxGateways)
		if seen[p.Name] {
			k.fail(partnerPath, "it is named twice")
		}
		seen[p.Name] = true
	}
	if !seen[k.Federation.Partner] {
		k.fail(path, "partner %q { } is missing: this partner's gateways could draw nothing", k.Federation.Partner)
	}
}

// quotaTerms has the budget check its terms. Where a value that it computes with is out of range by itself, which is
// reported already but for rate and burst, only what it says of those two counts.
func (k *checker) quotaTerms(path string, q Quota) {
	field, why := q.Terms().Check()
	if field == "" {
		return
	}
	rateOrBurst := field == "rate" || field == "burst"
	if !rateOrBurst && !quotaInRange(q) {
		return
	}
	k.fail(path+"."+field, "%s", why)
}

// quotaInRange says that each value of a quota is in its own range.
func quotaInRange(q Quota) bool {
	switch {
	case !(q.Rate > 0) || math.IsInf(q.Rate, 0):
		return false
	case !(q.Burst >= 1):
		return false
	case slices.ContainsFunc(q.Partners, func(p QuotaPartner) bool { return !(p.Floor >= 0) }):
		return false
	}
	return q.Fallback == budget.Floor || q.Fallback == budget.Closed || q.Fallback == budget.Open
}
