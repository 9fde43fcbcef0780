package config

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/budget"
)

// Federation makes a node a gateway of a partner, with links to the partner's own gateways and to those of others.
type Federation struct {
	Partner            string   `json:"partner"`            // what this partner is called among all
	Listener           string   `json:"listener,omitempty"` // name of the one by which partners' requests come in; empty: none come
	RequestAddress     string   `json:"calls,omitempty"`    // address at which partners reach it; empty: the listener's own
	Replicas           int      `json:"holders"`            // of each replicated request
	Memory             Size     `json:"memory"`             // for requests that are held for others
	ResponseRetention  Duration `json:"keep"`               // that answers are kept after they were settled
	StaleOfferLifetime Duration `json:"stale"`              // that the offers of a partner are used whose links have all ended
	LinkTimeout        Duration `json:"silence"`            // without a sign that it is alive, after which a link ends
}

// Replication says what becomes of a class's requests when too few replicas can be reached.
type Replication struct {
	Fallback ReplicationFallback `json:"when_alone"`
}

// Alone says what a gateway does that reaches too few replicas.
type ReplicationFallback string

// Values of Alone.
const (
	ServeUnreplicated  ReplicationFallback = "serve"
	RejectUnreplicated ReplicationFallback = "refuse"
)

// Partner is another partner with the rules for its routes.
type Partner struct {
	Name           string   `json:"name"`
	KeyFile        string   `json:"key_file"`
	Gateways       []string `json:"gateways"`         // addresses for links, of some or all
	Links          int      `json:"links"`            // that each gateway here holds to gateways there
	Accept         []string `json:"accept,omitempty"` // prefixes below which its offers are taken
	Deny           []string `json:"deny,omitempty"`   // and below which they are not
	Preference     int      `json:"preference"`       // of its offers against others'; higher is better
	MaxRoutes      int      `json:"most_offers"`
	ReadvertiseTo  []string `json:"pass_on_to,omitempty"` // partners that its offers are passed on to
	Cost           int      `json:"cost,omitempty"`       // that is added to those
	MaxConnections int      `json:"connections"`          // for requests, at most
}

// Export is a route that this partner advertises to others, under an export rule.
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
	Expiry   string   `json:"until,omitempty"` // RFC 3339; empty: for good
	Cost     int      `json:"cost,omitempty"`
	Capacity int      `json:"room,omitempty"` // requests at once that one neighbour may have; 0: not said
}

// Quota is a rate of requests that the gateways of all partners share.
type Quota struct {
	Name       string           `json:"name"`
	Rate       float64          `json:"rate"` // requests a second
	Burst      float64          `json:"burst"`
	Over       float64          `json:"over"`
	Lease      Duration         `json:"lease"`
	Term       Duration         `json:"term"`
	Wait       Duration         `json:"wait,omitempty"`
	Fallback   budget.Fallback  `json:"when_cut"`
	Classes    []string         `json:"classes,omitempty"`
	Tenants    []string         `json:"tenants,omitempty"`
	Candidates []QuotaCandidate `json:"keepers"`
	Partners   []QuotaPartner   `json:"partners"`
}

// QuotaCandidate is a gateway that may become quota leader.
type QuotaCandidate struct {
	Name    string `json:"name"` // partner/gateway
	Address string `json:"address"`
}

// QuotaPartner is a partner's part of a quota.
type QuotaPartner struct {
	Name     string  `json:"name"`
	Floor    float64 `json:"floor,omitempty"`
	Weight   float64 `json:"weight"`
	Gateways int     `json:"gateways"`
}

func (p Partner) name() string      { return p.Name }
func (e Export) name() string       { return e.Name }
func (q Quota) name() string        { return q.Name }
func (p QuotaPartner) name() string { return p.Name }

// Terms are the quota's terms as internal/budget has them.
func (q Quota) Terms() budget.Terms {
	t := budget.Terms{Name: q.Name, Rate: q.Rate, Burst: q.Burst, Over: q.Over, Lease: time.Duration(q.Lease), Term: time.Duration(q.Term),
		Wait: time.Duration(q.Wait), Fallback: q.Fallback}
	for _, p := range q.Partners {
		t.Partners = append(t.Partners, budget.Partner{Name: p.Name, Floor: p.Floor, Weight: p.Weight, Gateways: p.Gateways})
	}
	return t
}

// partnerPoolPrefix begins the names of pools of partners' gateways. No pool of a file can be called so.
const partnerPoolPrefix = "partner:"

// PartnerPoolName is what the pool of a partner's gateways is called.
func PartnerPoolName(partner string) string { return partnerPoolPrefix + partner }

// PartnerOfPool is the partner whose gateways a pool has; false: it is a pool of the file.
func PartnerOfPool(pool string) (partner string, ok bool) {
	return strings.CutPrefix(pool, partnerPoolPrefix)
}

// AllPools are the pools of a configuration and those of its partners' gateways, whose lists come from them.
func (c *Config) AllPools() []Pool {
	out := slices.Clone(c.Pools)
	if c.Federation == nil {
		return out
	}
	for _, p := range c.Partners {
		pool := defaultPool(PartnerPoolName(p.Name))
		pool.Tier = 1 // who admits is the one who serves
		pool.Connections.Max = p.MaxConnections
		pool.Connections.IdleTimeout = Duration(4 * time.Second) // a gateway lets go of clients that ask no more
		out = append(out, pool)
	}
	return out
}

// LocalIP is the IP address that connections of a pool go out from; nil: any. Requests to partners go out from where links come
// in.
func (c *Config) LocalIP(p Pool) net.IP {
	if _, partners := PartnerOfPool(p.Name); c.Federation == nil || !partners {
		return nil
	}
	at, err := netip.ParseAddrPort(c.Node.Peers.Listen)
	if err != nil || at.Addr().IsUnspecified() {
		return nil
	}
	return at.Addr().AsSlice()
}

// FederationSummary tell, for a plan, what the configuration promises and gives up where gateways fail.
func (c *Config) FederationSummary() (out []string) {
	if c.Federation == nil {
		return nil
	}
	for _, class := range c.Classes {
		if class.Replication == nil {
			continue
		}
		if class.Replication.Fallback == ServeUnreplicated {
			out = append(out, fmt.Sprintf(`class %q: where too few holders are reached its calls are served all the same; such a call dies with its gateway, and a caller that comes back for it hears that nobody knows it`, class.Name))
		} else {
			out = append(out, fmt.Sprintf(`class %q: where too few holders are reached its calls are refused, and one that was begun is told only once a majority has its answer`, class.Name))
		}
	}
	for _, q := range c.Quotas {
		out = append(out, q.Terms().Summary())
	}
	return out
}

// maxLinkDescriptors are how many a gateway may hold, with the descriptors for them: to its group, to partners' gateways, as many from
// there, and to quota candidates.
func (c *Config) maxLinkDescriptors() int {
	if c.Federation == nil {
		return 0
	}
	n := spareLinks
	for _, p := range c.Partners {
		n += 2 * p.Links
	}
	for _, q := range c.Quotas {
		n += len(q.Candidates)
	}
	return n
}

// spareLinks are kept free for those of the own group, and for partners' whose files ask for more.
const spareLinks = 64
