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

// Federation makes a node a gateway of a partner, with links to the partner's other gateways and to those of other partners.
type Federation struct {
	Partner            string   `json:"partner"`            // name of this partner
	Listener           string   `json:"listener,omitempty"` // name of the listener for requests of partners; empty: none are accepted
	RequestAddress     string   `json:"calls,omitempty"`    // address at which partners reach Listener; empty: its own address
	Replicas           int      `json:"holders"`            // of each replicated request
	Memory             Size     `json:"memory"`             // for requests replicated for other gateways
	ResponseRetention  Duration `json:"keep"`               // how long responses are kept after they were settled
	StaleOfferLifetime Duration `json:"stale"`              // how long a partner's offers are used after all its links have ended
	LinkTimeout        Duration `json:"silence"`            // a link that has received nothing for this long is closed
}

// Replication configures the replication of a class's requests.
type Replication struct {
	Fallback ReplicationFallback `json:"when_alone"`
}

// ReplicationFallback is how a gateway handles a request when it reaches too few replicas.
type ReplicationFallback string

// Values of ReplicationFallback.
const (
	ServeUnreplicated  ReplicationFallback = "serve"
	RejectUnreplicated ReplicationFallback = "refuse"
)

// Partner is another partner, with the rules for the routes that it offers.
type Partner struct {
	Name           string   `json:"name"`
	KeyFile        string   `json:"key_file"`
	Gateways       []string `json:"gateways"`         // link addresses of some or all of its gateways
	Links          int      `json:"links"`            // number of links that each gateway here keeps to its gateways
	Accept         []string `json:"accept,omitempty"` // path prefixes below which its offers are accepted
	Deny           []string `json:"deny,omitempty"`   // path prefixes below which they are not
	Preference     int      `json:"preference"`       // of its offers over those of others; higher is preferred
	MaxRoutes      int      `json:"most_offers"`
	ReadvertiseTo  []string `json:"pass_on_to,omitempty"` // partners that its offers are readvertised to
	Cost           int      `json:"cost,omitempty"`       // added to readvertised offers
	MaxConnections int      `json:"connections"`          // for requests
}

// Export is a route that this partner advertises to others, under an export rule.
type Export struct {
	Name            string   `json:"name"`
	Class           string   `json:"class"`
	Path            string   `json:"path"`          // prefix of the exported paths
	All             bool     `json:"all,omitempty"` // advertised to all partners; otherwise to those in To
	To              []string `json:"to,omitempty"`
	Transit         bool     `json:"transit,omitempty"`
	MaxHops         int      `json:"hands"` // partners that a request may come through, at most
	Effects         []Effect `json:"effects"`
	Tenants         []string `json:"tenants,omitempty"`
	ExcludedTenants []string `json:"excluded,omitempty"`
	Expiry          string   `json:"until,omitempty"` // RFC 3339; empty: never
	Cost            int      `json:"cost,omitempty"`
	Capacity        int      `json:"room,omitempty"` // concurrent requests that one neighbour may send; 0: not stated
}

// Quota is a rate of requests that the gateways of all partners share.
type Quota struct {
	Name       string           `json:"name"`
	Rate       float64          `json:"rate"` // requests per second
	Burst      float64          `json:"burst"`
	Overdraw   float64          `json:"over"`
	TokenLease Duration         `json:"lease"`
	LeaderTerm Duration         `json:"term"`
	MaxWait    Duration         `json:"wait,omitempty"`
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

// QuotaPartner is a partner's share of a quota.
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

// Terms returns the quota's terms as internal/budget represents them.
func (q Quota) Terms() budget.Terms {
	t := budget.Terms{Name: q.Name, Rate: q.Rate, Burst: q.Burst, Overdraw: q.Overdraw, Lease: time.Duration(q.TokenLease), LeaderTerm: time.Duration(q.LeaderTerm),
		MaxWait: time.Duration(q.MaxWait), Fallback: q.Fallback}
	for _, p := range q.Partners {
		t.Partners = append(t.Partners, budget.Partner{Name: p.Name, Floor: p.Floor, Weight: p.Weight, Gateways: p.Gateways})
	}
	return t
}

// partnerPoolPrefix begins the names of pools of partners' gateways. Names in a file can't contain its colon.
const partnerPoolPrefix = "partner:"

// PartnerPoolName returns the name of the pool of a partner's gateways.
func PartnerPoolName(partner string) string { return partnerPoolPrefix + partner }

// PartnerOfPool returns the partner whose gateways a pool consists of, or false for a pool of the file.
func PartnerOfPool(pool string) (partner string, ok bool) {
	return strings.CutPrefix(pool, partnerPoolPrefix)
}

// AllPools returns the pools of the file and a pool of gateways for each partner. The endpoint lists of the latter come from the
// partners.
func (c *Config) AllPools() []Pool {
	out := slices.Clone(c.Pools)
	if c.Federation == nil {
		return out
	}
	for _, partner := range c.Partners {
		pool := defaultPool(PartnerPoolName(partner.Name))
		pool.Tier = 1 // admission is decided by the partner that serves the request
		pool.Connections.Max = partner.MaxConnections
		pool.Connections.IdleTimeout = Duration(4 * time.Second) // gateways close idle client connections
		out = append(out, pool)
	}
	return out
}

// LocalIP returns the source IP address for connections of a pool, or nil for any. Requests to partners are sent from the address
// that accepts links.
func (c *Config) LocalIP(p Pool) net.IP {
	if _, isPartner := PartnerOfPool(p.Name); c.Federation == nil || !isPartner {
		return nil
	}
	listen, err := netip.ParseAddrPort(c.Node.Peers.Listen)
	if err != nil || listen.Addr().IsUnspecified() {
		return nil
	}
	return listen.Addr().AsSlice()
}

// FederationSummary describes, for a plan, what the configuration guarantees and what it gives up when gateways fail.
func (c *Config) FederationSummary() (out []string) {
	if c.Federation == nil {
		return nil
	}
	for _, class := range c.Classes {
		if class.Replication == nil {
			continue
		}
		if class.Replication.Fallback == ServeUnreplicated {
			out = append(out, fmt.Sprintf(`class %q: requests are served even if too few holders can be reached; such a request is lost if its gateway fails, and a client that asks for its outcome learns that the request is unknown`, class.Name))
		} else {
			out = append(out, fmt.Sprintf(`class %q: requests are rejected if too few holders can be reached, and the response of a request in progress is sent only once a majority stores it`, class.Name))
		}
	}
	for _, q := range c.Quotas {
		out = append(out, q.Terms().Summary())
	}
	return out
}

// maxLinkDescriptors returns how many links a gateway may hold, each of which takes a descriptor: to its group, to partners'
// gateways, as many from these, and to quota candidates.
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

// spareLinks is the number of links reserved for the gateway's own group, and for partners whose files ask for more links.
const spareLinks = 64
