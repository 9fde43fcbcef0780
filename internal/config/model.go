package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/route"
)

// Config is a complete configuration. Its JSON form, in which plans and the state folder hold it, has the names
// that our own file has. A field that is added later must mean what was before by its zero value and be left
// out then, or records of before would no longer fit their fingerprints.
type Config struct {
	Node      Node          `json:"node"`
	Classes   []Class       `json:"classes"`
	Listeners []Listener    `json:"listeners"`
	Pools     []Pool        `json:"pools"`
	Routes    []route.Route `json:"routes"`

	Federation *Federation `json:"federation,omitempty"` // nil: the node is no gateway
	Partners   []Partner   `json:"partners,omitempty"`
	Exports    []Export    `json:"exports,omitempty"`
	Quotas     []Quota     `json:"quotas,omitempty"`
}

// Node is what concerns the process.
type Node struct {
	Name        string `json:"name"`
	Zone        string `json:"zone,omitempty"`
	StateFolder string `json:"state_folder,omitempty"` // empty: nothing outlives the process
	AdminSocket string `json:"admin_socket,omitempty"` // path of a Unix socket; empty: none
	Management  string `json:"management,omitempty"`   // address of the management endpoint; empty: none
	Limits      Limits `json:"limits"`
	Peers       Peers  `json:"peers,omitzero"` // zero: the node knows of no other
}

// Peers tells how nodes come to know one another, by datagrams.
type Peers struct {
	Listen     string   `json:"listen"`              // address of the UDP socket
	Advertise  string   `json:"advertise,omitempty"` // at which others reach it; empty: Listen
	KeyFile    string   `json:"key_file"`            // of the cluster: who does not have it is not heard
	Seeds      []string `json:"seeds,omitempty"`     // addresses of some others, or of all
	Region     string   `json:"region,omitempty"`
	Period     Duration `json:"period"`                // between two probes of others
	ListenOnly bool     `json:"listen_only,omitempty"` // it is asked to probe for nobody
	Fresh      Duration `json:"fresh,omitempty"`       // what is known of zones is fresh until it is as old; 0: nothing is told or taken
	Delay      Duration `json:"delay,omitempty"`       // that a datagram takes at most where all is well
}

// Limits bound the process.
type Limits struct {
	Memory      Size `json:"memory"`      // three quarters of it are the Go runtime's soft limit
	Descriptors int  `json:"descriptors"` // open files and sockets
	Cores       int  `json:"cores"`       // threads that run Go code at once
}

// Class is a class of requests.
type Class struct {
	Name             string       `json:"name"`
	Effect           Effect       `json:"effect"`
	KeyScope         Scope        `json:"key_scope,omitempty"`  // for keyed
	Window           Duration     `json:"window,omitempty"`     // for keyed: how long servers discard repeats
	LatencyObjective Duration     `json:"aim"`                  // answers within it earn full priority weight
	Deadline         Duration     `json:"deadline"`             // how long a client waits over all its tries
	LateShare        float64      `json:"late_share,omitempty"` // share of the priority weight that a later answer earns
	PriorityWeight   float64      `json:"worth"`
	Replication      *Replication `json:"custody,omitempty"` // another gateway takes its requests over; nil: none does
}

// Listener is an address where clients connect.
type Listener struct {
	Name     string   `json:"name"`
	Address  string   `json:"address"`
	Protocol Protocol `json:"protocol"`
	Paths    Paths    `json:"paths"`
}

// Pool is a set of servers that one Balancer sends to.
type Pool struct {
	Name        string      `json:"name"`
	Protocol    Protocol    `json:"protocol"`
	Tier        int         `json:"tier"`                  // 0: clients come from outside
	Attempts    int         `json:"attempts"`              // of one request, the first among them
	Cancel      bool        `json:"cancel"`                // what is not needed any more is called off
	Tick        Duration    `json:"tick"`                  // what the module takes for no time at all
	RetryAfter  Duration    `json:"retry_after,omitempty"` // the longest advice to clients; 0: none is given
	Copies      Copies      `json:"copies"`
	Shedding    Shedding    `json:"shedding"`
	Connections Connections `json:"connections"`
	SlowStart   SlowStart   `json:"slow_start"`
	LoadReports LoadReports `json:"load_reports,omitzero"` // in answers; zero: none are read
	Registry    *Registry   `json:"registry,omitempty"`    // where the list comes from, or
	Servers     []Server    `json:"servers,omitempty"`     // the list itself
}

// Copies tells of the nodes that send to the same servers.
type Copies struct {
	Count int `json:"count"`
	Index int `json:"index"` // this node's number among them, from 0
}

// Shedding weighs what is shed first when not all can be served.
type Shedding struct {
	Total      float64 `json:"whole"`       // the priority weight of all answers
	WorstClass float64 `json:"worst_class"` // the worst-served class
}

// Connections bound those to a pool's servers.
type Connections struct {
	Most           int      `json:"most"`
	Idle           Duration `json:"idle"` // servers close what has been idle for so long
	ConnectTimeout Duration `json:"connect_timeout"`
}

// SlowStart tells what a server that has just started can do.
type SlowStart struct {
	From float64  `json:"from"` // share of its capacity at first
	Over Duration `json:"over"` // after that long it has all of it
}

// LoadReports tells what answers say of their server's load: the names of metrics in X-Load.
type LoadReports struct {
	Busy     string `json:"busy"`               // requests that the server holds, in work and waiting
	Poll     int    `json:"ask,omitempty"`      // servers that are asked before a request goes to one of them; 0: none
	PollPath string `json:"ask_path,omitempty"` // where
}

// Registry is where a list of servers is watched.
type Registry struct {
	Address      string       `json:"address"`
	Mode         RegistryMode `json:"mode"`
	PollInterval Duration     `json:"ask_within,omitempty"` // for asked: a node must ask at least this often
}

// Server is a listed server.
type Server struct {
	Name    string      `json:"name"`
	Address string      `json:"address"`
	Zone    string      `json:"zone,omitempty"`
	Cell    int         `json:"cell,omitempty"`
	Size    float64     `json:"size"` // what it can carry against others
	State   ServerState `json:"state"`
}

// Kinds of words that a field may hold; the first is the default where there is one.
type (
	Effect       string
	Scope        string
	Protocol     string
	Paths        string
	RegistryMode string
	ServerState  string
)

// Words.
const (
	Unsafe Effect = "unsafe" // must never run twice
	Keyed  Effect = "keyed"  // servers discard repeats for a while
	Safe   Effect = "safe"   // may run any number of times

	CellScope Scope = "cell"
	ZoneScope Scope = "zone"
	AllScope  Scope = "all"

	HTTP1   Protocol = "http1"
	FastCGI Protocol = "fastcgi" // of listeners

	StrictPaths    Paths = "strict"    // what servers could read in another way is rejected
	NormalizePaths Paths = "normalize" // or made plain, where there is one plain form
	PathsAsSent    Paths = "as_sent"   // sent on as they came; only the class must be the same to all

	Pushed RegistryMode = "pushed" // an agent that answers at once
	Polled RegistryMode = "asked"  // one service for all nodes, asked when the module says so

	Ready    ServerState = "ready"
	Draining ServerState = "draining" // finishes what it has, gets nothing new
)

// Duration is a length of time, written with its unit.
type Duration time.Duration

// MarshalText writes it as in "1.5s".
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads it.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("found %q; allowed: a number with a unit, such as \"250ms\", \"1.5s\" or \"2m\"", text)
	}
	*d = Duration(v)
	return nil
}

func (d Duration) String() string { return time.Duration(d).String() }

// Size is a number of bytes, written with its unit.
type Size int64

var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// String writes it as in "192MiB", in the greatest unit that needs no decimals.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if int64(s)%u.bytes == 0 && (s != 0 || u.bytes == 1) {
			return strconv.FormatInt(int64(s)/u.bytes, 10) + u.name
		}
	}
	return "0B"
}

// MarshalText writes it.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads it.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return fmt.Errorf("found %q; allowed: a whole number with a unit, such as \"64KiB\", \"192MiB\" or \"1GiB\"", text)
}

// Fingerprint tells configurations apart: it is the same for two that mean the same, whatever the order of
// their blocks, and differs for all others.
func (c *Config) Fingerprint() string {
	text, err := json.Marshal(c.Canonical())
	if err != nil { // a NaN, which no check lets pass
		return "sha256:invalid"
	}
	sum := sha256.Sum256(text)
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Shared is a number of what the nodes of one fleet have alike: classes, routes and pools, but for which copy a node is and
// where its registry is. Two that differ have the same one with a chance of one in sixteen million.
func (c *Config) Shared() uint32 {
	out := Config{Classes: c.Canonical().Classes, Routes: c.Routes, Pools: c.Canonical().Pools}
	for i := range out.Pools {
		out.Pools[i].Copies.Index = 0
		if out.Pools[i].Registry != nil {
			out.Pools[i].Registry = &Registry{}
		}
	}
	sum := sha256.Sum256([]byte(out.Fingerprint()))
	return uint32(sum[0])<<16 | uint32(sum[1])<<8 | uint32(sum[2])
}

// Canonical is a copy of the configuration with all that is named in the order of its names.
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
		p.Accept, p.Deny, p.PassOnTo, p.Gateways = sorted(p.Accept, self), sorted(p.Deny, self), sorted(p.PassOnTo, self), sorted(p.Gateways, self)
	}
	out.Exports = sorted(c.Exports, Export.name)
	for i := range out.Exports {
		e := &out.Exports[i]
		e.To, e.Tenants, e.Excluded = sorted(e.To, self), sorted(e.Tenants, self), sorted(e.Excluded, self)
		e.Effects = sorted(e.Effects, func(v Effect) string { return string(v) })
	}
	out.Quotas = sorted(c.Quotas, Quota.name)
	for i := range out.Quotas {
		out.Quotas[i].Partners = sorted(out.Quotas[i].Partners, QuotaPartner.name)
	}
	out.Routes = sorted(c.Routes, func(r route.Route) string { return r.Name })
	for i := range out.Routes {
		r := &out.Routes[i]
		r.Listeners, r.Classes = sorted(r.Listeners, self), sorted(r.Classes, self)
		r.Hosts, r.Paths = sorted(r.Hosts, self), sorted(r.Paths, self)
		r.Headers = sorted(r.Headers, func(h route.Header) string { return h.Name })
		r.To = sorted(r.To, func(t route.Target) string { return t.Pool })
	}
	return &out
}

func self(s string) string { return s }

func sorted[T any](list []T, name func(T) string) []T {
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}

// Class is the class of a name.
func (c *Config) Class(name string) (Class, bool) { return find(c.Classes, name, Class.name) }

// Pool is the pool of a name.
func (c *Config) Pool(name string) (Pool, bool) { return find(c.Pools, name, Pool.name) }

// Listener is the listener of a name.
func (c *Config) Listener(name string) (Listener, bool) {
	return find(c.Listeners, name, Listener.name)
}

func (c Class) name() string    { return c.Name }
func (p Pool) name() string     { return p.Name }
func (l Listener) name() string { return l.Name }
func (s Server) name() string   { return s.Name }

func find[T any](list []T, name string, of func(T) string) (T, bool) {
	for _, v := range list {
		if of(v) == name {
			return v, true
		}
	}
	var none T
	return none, false
}

var effects = map[Effect]balancer.Effect{Unsafe: balancer.Unsafe, Keyed: balancer.Keyed, Safe: balancer.Safe}

var scopes = map[Scope]balancer.Scope{CellScope: balancer.ScopeCell, ZoneScope: balancer.ScopeZone, AllScope: balancer.ScopeAll}

// ForModule is the class as the decision module has it.
func (c Class) ForModule() balancer.Class {
	return balancer.Class{Name: c.Name, Effect: effects[c.Effect], Scope: scopes[c.KeyScope],
		Window: time.Duration(c.Window), LatencyObjective: time.Duration(c.LatencyObjective), Deadline: time.Duration(c.Deadline),
		LateShare: c.LateShare, PriorityWeight: c.PriorityWeight}
}

// Settings are what the Balancer of a pool is told.
func (c *Config) Settings(p Pool) balancer.Settings {
	s := balancer.Settings{Balancers: p.Copies.Count, Index: p.Copies.Index, Tier: p.Tier,
		TotalWeight: p.Shedding.Total, ClassWeight: p.Shedding.WorstClass,
		PollChoices: p.LoadReports.Poll, MaxAttempts: p.Attempts, MayCancel: p.Cancel, Tick: time.Duration(p.Tick), MaxRetryAfter: time.Duration(p.RetryAfter),
		SlowStartMinimum: p.SlowStart.From, SlowStartWindow: time.Duration(p.SlowStart.Over)}
	for _, class := range c.Classes {
		m := class.ForModule()
		if _, partners := PartnerOf(p.Name); partners && m.Effect == balancer.Keyed {
			m.Effect = balancer.Unsafe // whose servers drop repeats there nobody knows here: what became of a request is asked
		}
		s.Classes = append(s.Classes, m)
	}
	if p.Registry != nil {
		s.PollDiscovery, s.PollInterval = p.Registry.Mode == Polled, time.Duration(p.Registry.PollInterval)
	}
	return s
}
