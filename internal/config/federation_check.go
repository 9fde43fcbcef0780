package config

import (
	"math"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/budget"
)

// Bounds of the values of a federation.
const (
	maxReplicas              = 7
	maxHops                  = 8
	maxMetric                = 1_000_000 // of preferences and costs
	maxCapacity              = 1_000_000
	minFederationMemoryBytes = 64 << 10
	maxRoutes                = 100_000
	maxGateways              = 10_000
	maxLinks                 = 16
	maxListLength            = 256
	linkMemoryBytes          = 40 << 10 // of a link, rounded up (docs/design/peering.md)
)

func (k *checker) federation() {
	federation := k.Federation
	if federation == nil {
		k.rejectFederationBlocks()
		return
	}
	path := "federation." + federation.Partner
	k.name(path, federation.Partner)
	if k.Node.Peers.Listen == "" {
		k.fail(path, "the node has no peers block: gateways of a group discover one another through it, and links are accepted at its address")
	}
	if federation.Listener != "" {
		l, ok := k.Listener(federation.Listener)
		switch {
		case !ok:
			k.fail(path+".listener", "found %q: there is no listener of that name", federation.Listener)
		case l.Protocol != HTTP1:
			k.fail(path+".listener", "found %q, which has protocol %s; allowed: a listener with protocol %q", federation.Listener, l.Protocol, HTTP1)
		}
	}
	if federation.RequestAddress != "" {
		k.dialAddress(path+".calls", federation.RequestAddress)
	}
	k.number(path+".holders", federation.Replicas, 1, maxReplicas)
	if federation.Memory < minFederationMemoryBytes || federation.Memory > maxMemoryBytes {
		k.fail(path+".memory", "found %v; allowed: %v to %v", federation.Memory, Size(minFederationMemoryBytes), Size(maxMemoryBytes))
	}
	k.duration(path+".keep", federation.ResponseRetention, time.Second, time.Hour)
	k.duration(path+".stale", federation.StaleOfferLifetime, 0, time.Hour)
	k.duration(path+".silence", federation.LinkTimeout, 50*time.Millisecond, time.Minute)
	for _, c := range k.Classes {
		if c.Replication != nil {
			checkEnum(k, "class."+c.Name+".custody.when_alone", c.Replication.Fallback, ServeUnreplicated, RejectUnreplicated)
		}
	}
	k.partners()
	k.exports()
	k.quotas()
}

// rejectFederationBlocks reports the blocks that require a federation block.
func (k *checker) rejectFederationBlocks() {
	for _, c := range k.Classes {
		if c.Replication != nil {
			k.fail("class."+c.Name+".custody", "it requires a federation block, and a peers block in the node block")
		}
	}
	for _, p := range k.Partners {
		k.fail("partner."+p.Name, "it requires a federation block")
	}
	for _, e := range k.Exports {
		k.fail("export."+e.Name, "it requires a federation block")
	}
	for _, q := range k.Quotas {
		k.fail("quota."+q.Name, "it requires a federation block")
	}
}

// partnerExists checks that a name is that of another partner or, if allowSelf is set, of this one.
func (k *checker) partnerExists(path, name string, allowSelf bool) {
	if allowSelf && name == k.Federation.Partner {
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
	for _, partner := range k.Partners {
		path := "partner." + partner.Name
		if partner.Name == k.Federation.Partner {
			k.fail(path, "the name is used by this partner itself")
		}
		if !filepath.IsAbs(partner.KeyFile) {
			k.fail(path+".key_file", "found %q; allowed: an absolute path", partner.KeyFile)
		}
		if len(partner.Gateways) == 0 || len(partner.Gateways) > maxListLength {
			k.fail(path+".gateways", "found %d; allowed: 1 to %d", len(partner.Gateways), maxListLength)
		}
		for _, g := range partner.Gateways {
			k.dialAddress(path+".gateways", g)
			if other, twice := seen[g]; twice {
				k.fail(path+".gateways", "found %q, which is a gateway of partner %q", g, other)
			}
			seen[g] = partner.Name
		}
		k.number(path+".links", partner.Links, 1, maxLinks)
		k.number(path+".preference", partner.Preference, 0, maxMetric)
		k.number(path+".most_offers", partner.MaxRoutes, 0, maxRoutes)
		k.number(path+".cost", partner.Cost, 0, maxMetric)
		k.number(path+".connections", partner.MaxConnections, 1, maxDescriptors)
		k.prefixes(path+".accept", partner.Accept)
		k.prefixes(path+".deny", partner.Deny)
		for _, to := range partner.ReadvertiseTo {
			k.partnerExists(path+".pass_on_to", to, false)
			if to == partner.Name {
				k.fail(path+".pass_on_to", "found %q, which is the partner that the offers come from", to)
			}
		}
	}
}

func (k *checker) exports() {
	checkNames(k, "export", k.Exports, Export.name)
	if len(k.Exports) > 0 && k.Federation.Listener == "" {
		k.fail("federation."+k.Federation.Partner, "there are exports, but no listener for requests of partners: listener is missing")
	}
	for _, export := range k.Exports {
		path := "export." + export.Name
		class, ok := k.Class(export.Class)
		if !ok {
			k.fail(path+".class", "found %q: there is no class of that name", export.Class)
		}
		if !strings.HasPrefix(export.Path, "/"+export.Class+"/") || !strings.HasSuffix(export.Path, "/") {
			k.fail(path+".path", `found %q; allowed: a path of the class that begins with "/%s/" and ends with a slash`, export.Path, export.Class)
		}
		if export.All && len(export.To) > 0 {
			k.fail(path+".to", "found both all = true and to; allowed: one of them")
		}
		if !export.All && len(export.To) == 0 {
			k.warn(path, "it is advertised to no partner: neither all nor to is set")
		}
		for _, to := range export.To {
			if to == k.Federation.Partner {
				k.fail(path+".to", "found %q, which is this partner itself", to)
			}
		}
		k.number(path+".hands", export.MaxHops, 1, maxHops)
		if export.MaxHops > 1 && !export.Transit {
			k.fail(path+".hands", "found %d, but transit is not set: no request can come through more than one partner", export.MaxHops)
		}
		for _, v := range export.Effects {
			checkEnum(k, path+".effects", v, Unsafe, Keyed, Safe)
		}
		if ok && !slices.Contains(export.Effects, class.Effect) {
			k.fail(path+".effects", "the class %q is %s, which is not among them: no request would match; allowed: effects = [%q]", export.Class, class.Effect, class.Effect)
		}
		if export.Expiry != "" {
			if _, err := time.Parse(time.RFC3339, export.Expiry); err != nil {
				k.fail(path+".until", `found %q; allowed: a time such as "2027-01-31T00:00:00Z"`, export.Expiry)
			}
		}
		k.number(path+".cost", export.Cost, 0, maxMetric)
		k.number(path+".room", export.Capacity, 0, maxCapacity)
	}
}

func (k *checker) quotas() {
	checkNames(k, "quota", k.Quotas, Quota.name)
	for _, quota := range k.Quotas {
		path := "quota." + quota.Name
		k.duration(path+".lease", quota.TokenLease, 20*time.Millisecond, time.Minute)
		k.duration(path+".term", quota.LeaderTerm, 100*time.Millisecond, time.Minute)
		k.duration(path+".wait", quota.MaxWait, 0, 10*time.Second)
		checkEnum(k, path+".when_cut", quota.Fallback, budget.Floor, budget.Closed, budget.Open)
		for _, c := range quota.Classes {
			if _, ok := k.Class(c); !ok {
				k.fail(path+".classes", "found %q: there is no class of that name", c)
			}
		}
		k.quotaCandidates(path, quota.Candidates)
		k.quotaPartners(path, quota.Partners)
		k.quotaTerms(path, quota)
	}
}

func (k *checker) quotaCandidates(path string, candidates []QuotaCandidate) {
	if len(candidates)%2 == 0 || len(candidates) > maxReplicas {
		k.fail(path, "found %d keepers; allowed: 1, 3, 5 or 7, so that they can't split into equal halves", len(candidates))
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
			k.fail(candidatePath, "the name is used twice")
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
			k.fail(partnerPath, "the name is used twice")
		}
		seen[p.Name] = true
	}
	if !seen[k.Federation.Partner] {
		k.fail(path, "partner %q { } is missing: this partner's gateways could draw no tokens", k.Federation.Partner)
	}
}

// quotaTerms checks a quota's terms with internal/budget. If a value that the budget computes with is out of its own range, only
// a problem of rate or burst is reported: the other values have been checked already.
func (k *checker) quotaTerms(path string, q Quota) {
	field, reason := q.Terms().Check()
	if field == "" {
		return
	}
	rateOrBurst := field == "rate" || field == "burst"
	if !rateOrBurst && !quotaInRange(q) {
		return
	}
	k.fail(path+"."+field, "%s", reason)
}

// quotaInRange reports whether each value that the budget computes with is in its own range.
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
