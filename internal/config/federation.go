package config

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2/hclsyntax"

	"damsontrestle/internal/budget"
)

// Federation makes a node a gateway of a partner: it has links to others of its group and to partners' gateways.
type Federation struct {
	Partner  string   `json:"partner"`            // what this partner is called among all
	Listener string   `json:"listener,omitempty"` // name of the one by which partners' requests come in; empty: none come
	Requests string   `json:"calls,omitempty"`    // address at which partners reach it; empty: the listener's own
	Replicas int      `json:"holders"`            // of a request replicated
	Memory   Size     `json:"memory"`             // for requests that are held for others
	Keep     Duration `json:"keep"`               // that answers are kept after they were settled
	Stale    Duration `json:"stale"`              // that the offers of a partner are used whose links have all ended
	Silence  Duration `json:"silence"`            // without a sign that it is alive, after which a link ends
}

// Replication says what becomes of requests of a class that has it when too few replicas can be reached.
type Replication struct {
	WhenAlone Alone `json:"when_alone"`
}

// Alone says what a gateway does alone.
type Alone string

// What it does.
const (
	ServeAlone  Alone = "serve"
	RejectAlone Alone = "refuse"
)

// Partner is another partner, and what this one goes by with it.
type Partner struct {
	Name        string   `json:"name"`
	KeyFile     string   `json:"key_file"`
	Gateways    []string `json:"gateways"`         // addresses for links, of some or all
	Links       int      `json:"links"`            // that each gateway here holds to gateways there
	Accept      []string `json:"accept,omitempty"` // prefixes below which its offers are taken
	Deny        []string `json:"deny,omitempty"`   // and below which they are not
	Preference  int      `json:"preference"`       // of its offers against others'; higher is better
	MaxRoutes   int      `json:"most_offers"`
	PassOnTo    []string `json:"pass_on_to,omitempty"` // partners that its offers are passed on to
	Cost        int      `json:"cost,omitempty"`       // that is added to those
	Connections int      `json:"connections"`          // for requests, at most
}

// Export is something that this partner serves and lets others have.
type Export struct {
	Name     string   `json:"name"`
	Class    string   `json:"class"`
	Path     string   `json:"path"`          // what lies below it
	All      bool     `json:"all,omitempty"` // any partner may have it; else
	To       []string `json:"to,omitempty"`  // these
	Transit  bool     `json:"transit,omitempty"`
	MaxHops  int      `json:"hands"` // partners that a request may come through
	Effects  []Effect `json:"effects"`
	Tenants  []string `json:"tenants,omitempty"`
	Excluded []string `json:"excluded,omitempty"`
	Until    string   `json:"until,omitempty"` // RFC 3339; empty: for good
	Cost     int      `json:"cost,omitempty"`
	Capacity int      `json:"room,omitempty"` // requests at once that one neighbour may have; 0: not said
}

// Quota is a budget of requests that all partners draw from.
type Quota struct {
	Name       string           `json:"name"`
	Rate       float64          `json:"rate"` // requests a second
	Burst      float64          `json:"burst"`
	Over       float64          `json:"over"`
	Lease      Duration         `json:"lease"`
	Term       Duration         `json:"term"`
	Wait       Duration         `json:"wait,omitempty"`
	WhenCut    budget.Cut       `json:"when_cut"`
	Classes    []string         `json:"classes,omitempty"`
	Tenants    []string         `json:"tenants,omitempty"`
	Candidates []QuotaCandidate `json:"keepers"`
	Partners   []QuotaPartner   `json:"partners"`
}

// QuotaCandidate is a gateway that may keep a budget.
type QuotaCandidate struct {
	Name    string `json:"name"` // partner/gateway
	Address string `json:"address"`
}

// QuotaPartner is a partner's part in a budget.
type QuotaPartner struct {
	Name     string  `json:"name"`
	Floor    float64 `json:"floor,omitempty"`
	Weight   float64 `json:"weight"`
	Gateways int     `json:"gateways"`
}

func (p Partner) name() string        { return p.Name }
func (e Export) name() string         { return e.Name }
func (q Quota) name() string          { return q.Name }
func (k QuotaCandidate) name() string { return k.Name }
func (p QuotaPartner) name() string   { return p.Name }

// Terms are the quota's, as they are kept.
func (q Quota) Terms() budget.Terms {
	t := budget.Terms{Name: q.Name, Rate: q.Rate, Burst: q.Burst, Over: q.Over, Lease: time.Duration(q.Lease), Term: time.Duration(q.Term),
		Wait: time.Duration(q.Wait), WhenCut: q.WhenCut}
	for _, p := range q.Partners {
		t.Partners = append(t.Partners, budget.Partner{Name: p.Name, Floor: p.Floor, Weight: p.Weight, Gateways: p.Gateways})
	}
	return t
}

// partnerPool begins the names of pools of partners' gateways. No pool of a file can be called so.
const partnerPool = "partner:"

// PartnerPool is what the pool of a partner's gateways is called.
func PartnerPool(partner string) string { return partnerPool + partner }

// PartnerOf is the partner whose gateways a pool has; false: it is a pool of the file.
func PartnerOf(pool string) (partner string, ok bool) { return strings.CutPrefix(pool, partnerPool) }

// AllPools are the pools of a configuration and those of its partners' gateways, whose lists come from them.
func (c *Config) AllPools() []Pool {
	out := slices.Clone(c.Pools)
	if c.Federation == nil {
		return out
	}
	for _, p := range c.Partners {
		pool := defaultPool(PartnerPool(p.Name))
		pool.Tier = 1 // who admits is the one who serves
		pool.Connections.Most = p.Connections
		pool.Connections.Idle = Duration(4 * time.Second) // a gateway lets go of clients that ask no more
		out = append(out, pool)
	}
	return out
}

// LeavesFrom is the IP address that connections of a pool go out from; nil: any. Requests to partners go out from where links come
// in.
func (c *Config) LeavesFrom(p Pool) net.IP {
	if _, partners := PartnerOf(p.Name); c.Federation == nil || !partners {
		return nil
	}
	at, err := netip.ParseAddrPort(c.Node.Peers.Listen)
	if err != nil || at.Addr().IsUnspecified() {
		return nil
	}
	return at.Addr().AsSlice()
}

// FederationWords tell, for a plan, what the configuration promises and gives up where gateways fail.
func (c *Config) FederationWords() (out []string) {
	if c.Federation == nil {
		return nil
	}
	for _, class := range c.Classes {
		if class.Replication == nil {
			continue
		}
		if class.Replication.WhenAlone == ServeAlone {
			out = append(out, fmt.Sprintf(`class %q: where too few holders are reached its calls are served all the same; such a call dies with its gateway, and a caller that comes back for it hears that nobody knows it`, class.Name))
		} else {
			out = append(out, fmt.Sprintf(`class %q: where too few holders are reached its calls are refused, and one that was begun is told only once a majority has its answer`, class.Name))
		}
	}
	for _, q := range c.Quotas {
		out = append(out, q.Terms().Words())
	}
	return out
}

// ---- Reading ----

func (r *reader) federation(b *hclsyntax.Body, path, name string) *Federation {
	f := &Federation{Partner: name, Replicas: 3, Memory: 8 << 20, Keep: Duration(30 * time.Second), Stale: Duration(30 * time.Second), Silence: Duration(time.Second)}
	r.body(b, path, []field{
		{"listener", false, text(&f.Listener)},
		{"calls", false, text(&f.Requests)},
		{"holders", false, integer(&f.Replicas)},
		{"memory", false, size(&f.Memory)},
		{"keep", false, duration(&f.Keep)},
		{"stale", false, duration(&f.Stale)},
		{"silence", false, duration(&f.Silence)},
	}, nil)
	return f
}

func (r *reader) partner(b *hclsyntax.Body, path, name string) Partner {
	p := Partner{Name: name, Links: 2, Preference: 100, MaxRoutes: 1000, Connections: 16}
	r.body(b, path, []field{
		{"key_file", true, text(&p.KeyFile)},
		{"gateways", true, texts(&p.Gateways)},
		{"links", false, integer(&p.Links)},
		{"accept", false, texts(&p.Accept)},
		{"deny", false, texts(&p.Deny)},
		{"preference", false, integer(&p.Preference)},
		{"most_offers", false, integer(&p.MaxRoutes)},
		{"pass_on_to", false, texts(&p.PassOnTo)},
		{"cost", false, integer(&p.Cost)},
		{"connections", false, integer(&p.Connections)},
	}, nil)
	return p
}

func (r *reader) export(b *hclsyntax.Body, path, name string) Export {
	e := Export{Name: name, MaxHops: 1}
	var effects []string
	r.body(b, path, []field{
		{"class", true, text(&e.Class)},
		{"path", true, text(&e.Path)},
		{"all", false, flag(&e.All)},
		{"to", false, texts(&e.To)},
		{"transit", false, flag(&e.Transit)},
		{"hands", false, integer(&e.MaxHops)},
		{"effects", false, texts(&effects)},
		{"tenants", false, texts(&e.Tenants)},
		{"excluded", false, texts(&e.Excluded)},
		{"until", false, text(&e.Until)},
		{"cost", false, integer(&e.Cost)},
		{"room", false, integer(&e.Capacity)},
	}, nil)
	for _, v := range effects {
		e.Effects = append(e.Effects, Effect(v))
	}
	if effects == nil {
		e.Effects = []Effect{Safe} // what is not said stays at home
	}
	return e
}

func (r *reader) quota(b *hclsyntax.Body, path, name string) Quota {
	q := Quota{Name: name, Over: 0.05, Lease: Duration(300 * time.Millisecond), Term: Duration(1500 * time.Millisecond), WhenCut: budget.Floor}
	r.body(b, path, []field{
		{"rate", true, decimal(&q.Rate)},
		{"burst", true, decimal(&q.Burst)},
		{"over", false, decimal(&q.Over)},
		{"lease", false, duration(&q.Lease)},
		{"term", false, duration(&q.Term)},
		{"wait", false, duration(&q.Wait)},
		{"when_cut", false, words(&q.WhenCut)},
		{"classes", false, texts(&q.Classes)},
		{"tenants", false, texts(&q.Tenants)},
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

// ---- Checking ----

// Bounds of a federation.
const (
	maxReplicas = 7
	maxHops     = 8
	maxRoutes   = 100_000
	maxGateways = 10_000
	maxLinks    = 16
	maxListed   = 256
	linkMemory  = 40 << 10 // of a link, measured and rounded up (docs/design/peering.md)
)

func (k *checker) federation() {
	f := k.Federation
	if f == nil {
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
	if f.Requests != "" {
		k.target(path+".calls", f.Requests)
	}
	k.number(path+".holders", f.Replicas, 1, maxReplicas)
	if f.Memory < 64<<10 || f.Memory > maxMemory {
		k.fail(path+".memory", "found %v; allowed: %v to %v", f.Memory, Size(64<<10), Size(maxMemory))
	}
	k.duration(path+".keep", f.Keep, time.Second, time.Hour)
	k.duration(path+".stale", f.Stale, 0, time.Hour)
	k.duration(path+".silence", f.Silence, 50*time.Millisecond, time.Minute)
	for _, c := range k.Classes {
		if c.Replication != nil {
			word(k, "class."+c.Name+".custody.when_alone", c.Replication.WhenAlone, ServeAlone, RejectAlone)
		}
	}
	k.partners()
	k.exports()
	k.quotas()
}

// partnerNamed checks that a name is that of a partner, or of this one where that may be.
func (k *checker) partnerNamed(path, name string, self bool) {
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
	if len(list) > maxListed {
		k.fail(path, "found %d; allowed: up to %d", len(list), maxListed)
	}
}

func (k *checker) partners() {
	named(k, "partner", k.Partners, Partner.name)
	seen := map[string]string{}
	for _, p := range k.Partners {
		path := "partner." + p.Name
		if p.Name == k.Federation.Partner {
			k.fail(path, "it is called as this partner itself is")
		}
		if !filepath.IsAbs(p.KeyFile) {
			k.fail(path+".key_file", "found %q; allowed: an absolute path", p.KeyFile)
		}
		if len(p.Gateways) == 0 || len(p.Gateways) > maxListed {
			k.fail(path+".gateways", "found %d; allowed: 1 to %d", len(p.Gateways), maxListed)
		}
		for _, g := range p.Gateways {
			k.target(path+".gateways", g)
			if other, twice := seen[g]; twice {
				k.fail(path+".gateways", "found %q, which partner %q has", g, other)
			}
			seen[g] = p.Name
		}
		k.number(path+".links", p.Links, 1, maxLinks)
		k.number(path+".preference", p.Preference, 0, 1_000_000)
		k.number(path+".most_offers", p.MaxRoutes, 0, maxRoutes)
		k.number(path+".cost", p.Cost, 0, 1_000_000)
		k.number(path+".connections", p.Connections, 1, maxDescriptors)
		k.prefixes(path+".accept", p.Accept)
		k.prefixes(path+".deny", p.Deny)
		for _, to := range p.PassOnTo {
			k.partnerNamed(path+".pass_on_to", to, false)
			if to == p.Name {
				k.fail(path+".pass_on_to", "found %q: that is whom the offers come from", to)
			}
		}
	}
}

func (k *checker) exports() {
	named(k, "export", k.Exports, Export.name)
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
			word(k, path+".effects", v, Unsafe, Keyed, Safe)
		}
		if ok && !slices.Contains(e.Effects, class.Effect) {
			k.fail(path+".effects", "the class %q is %s, which is not among them: no call could come; allowed: effects = [%q]", e.Class, class.Effect, class.Effect)
		}
		if e.Until != "" {
			if _, err := time.Parse(time.RFC3339, e.Until); err != nil {
				k.fail(path+".until", `found %q; allowed: a time such as "2027-01-31T00:00:00Z"`, e.Until)
			}
		}
		k.number(path+".cost", e.Cost, 0, 1_000_000)
		k.number(path+".room", e.Capacity, 0, 1_000_000)
	}
}

func (k *checker) quotas() {
	named(k, "quota", k.Quotas, Quota.name)
	for _, q := range k.Quotas {
		path := "quota." + q.Name
		k.duration(path+".lease", q.Lease, 20*time.Millisecond, time.Minute)
		k.duration(path+".term", q.Term, 100*time.Millisecond, time.Minute)
		k.duration(path+".wait", q.Wait, 0, 10*time.Second)
		word(k, path+".when_cut", q.WhenCut, budget.Floor, budget.Closed, budget.Open)
		for _, c := range q.Classes {
			if _, ok := k.Class(c); !ok {
				k.fail(path+".classes", "found %q: there is no class of that name", c)
			}
		}
		if len(q.Candidates)%2 == 0 || len(q.Candidates) > maxReplicas {
			k.fail(path, "found %d keepers; allowed: 1, 3, 5 or 7, so that a majority of them is one", len(q.Candidates))
		}
		seen := map[string]bool{}
		for _, g := range q.Candidates {
			kp := path + ".keeper." + g.Name
			partner, name, ok := strings.Cut(g.Name, "/")
			if !ok || !goodName(partner) || !goodName(name) {
				k.fail(kp, `found the name %q; allowed: a partner's and a gateway's, as in "chavara/annot-1"`, g.Name)
			} else {
				k.partnerNamed(kp, partner, true)
			}
			k.target(kp+".address", g.Address)
			if seen[g.Name] {
				k.fail(kp, "it is named twice")
			}
			seen[g.Name] = true
		}
		drawn := map[string]bool{}
		for _, p := range q.Partners {
			pp := path + ".partner." + p.Name
			k.partnerNamed(pp, p.Name, true)
			k.float(pp+".floor", p.Floor, 0, 1e6)
			k.float(pp+".weight", p.Weight, 0.001, 1e6)
			k.number(pp+".gateways", p.Gateways, 1, maxGateways)
			if drawn[p.Name] {
				k.fail(pp, "it is named twice")
			}
			drawn[p.Name] = true
		}
		if !drawn[k.Federation.Partner] {
			k.fail(path, "partner %q { } is missing: this partner's gateways could draw nothing", k.Federation.Partner)
		}
		if !(q.Rate > 0) || math.IsInf(q.Rate, 0) || !(q.Burst >= 1) || slices.ContainsFunc(q.Partners, func(p QuotaPartner) bool { return !(p.Floor >= 0) }) || word0(q.WhenCut) {
			if field, why := q.Terms().Check(); field != "" && (field == "rate" || field == "burst") {
				k.fail(path+"."+field, "%s", why)
			}
			continue
		}
		if field, why := q.Terms().Check(); field != "" {
			k.fail(path+"."+field, "%s", why)
		}
	}
}

// word0 says that a word is none of those that are allowed, which has been told already.
func word0(c budget.Cut) bool { return c != budget.Floor && c != budget.Closed && c != budget.Open }

// links are how many a gateway may hold, with the descriptors for them: to its group, to partners' gateways, as many from
// there, and to quota candidates.
func (c *Config) links() int {
	if c.Federation == nil {
		return 0
	}
	n := federationLinks
	for _, p := range c.Partners {
		n += 2 * p.Links
	}
	for _, q := range c.Quotas {
		n += len(q.Candidates)
	}
	return n
}

// federationLinks are kept free for those of the own group, and for partners' whose files ask for more.
const federationLinks = 64
