package config

import "damsontrestle/internal/route"

// Config is a complete configuration. Its JSON form, which plans and the state folder store, has the keys of the HCL file. The
// zero value of a field that is added later must keep the previous behaviour and be omitted from JSON; otherwise older records
// would no longer match their fingerprints.
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

// Node configures the process.
type Node struct {
	Name        string `json:"name"`
	Zone        string `json:"zone,omitempty"`
	StateFolder string `json:"state_folder,omitempty"` // empty: no state survives the process
	AdminSocket string `json:"admin_socket,omitempty"` // path of a Unix socket; empty: none
	Management  string `json:"management,omitempty"`   // address of the management endpoint; empty: none
	Limits      Limits `json:"limits"`
	Peers       Peers  `json:"peers,omitzero"` // zero: the node has no peers
}

// Peers configures membership and zone state, which nodes exchange by gossip over UDP.
type Peers struct {
	Listen          string   `json:"listen"`              // address of the UDP socket
	Advertise       string   `json:"advertise,omitempty"` // address at which other nodes reach it; empty: Listen
	KeyFile         string   `json:"key_file"`            // key of the cluster; datagrams that are not sealed with it are dropped
	Seeds           []string `json:"seeds,omitempty"`     // addresses of some or all other nodes
	Region          string   `json:"region,omitempty"`
	ProbeInterval   Duration `json:"period"`                // between two probes of other nodes
	ListenOnly      bool     `json:"listen_only,omitempty"` // other nodes don't ask it for indirect probes
	MaxZoneStateAge Duration `json:"fresh,omitempty"`       // max age of fresh zone state; 0: none is published or used
	MaxDelay        Duration `json:"delay,omitempty"`       // max transit time of a datagram without faults
}

// Limits bounds the resources of the process.
type Limits struct {
	Memory      Size `json:"memory"`      // three quarters of it is the Go runtime's soft limit
	Descriptors int  `json:"descriptors"` // open files and sockets
	Cores       int  `json:"cores"`       // threads that run Go code simultaneously
}

// Class is a class of requests of one effect, deadline and priority.
type Class struct {
	Name             string       `json:"name"`
	Effect           Effect       `json:"effect"`
	KeyScope         Scope        `json:"key_scope,omitempty"`  // for keyed classes
	Window           Duration     `json:"window,omitempty"`     // for keyed classes: how long servers discard duplicates
	LatencyObjective Duration     `json:"aim"`                  // responses within it earn the full priority weight
	Deadline         Duration     `json:"deadline"`             // how long a client waits, over all attempts
	LateShare        float64      `json:"late_share,omitempty"` // share of the priority weight that a later response earns
	PriorityWeight   float64      `json:"worth"`
	Replication      *Replication `json:"custody,omitempty"` // nil: its requests are not replicated
}

// Listener is an address where clients connect.
type Listener struct {
	Name     string     `json:"name"`
	Address  string     `json:"address"`
	Protocol Protocol   `json:"protocol"`
	Paths    PathPolicy `json:"paths"`
}

// Pool is a set of servers among which one Balancer distributes requests.
type Pool struct {
	Name          string      `json:"name"`
	Protocol      Protocol    `json:"protocol"`
	Tier          int         `json:"tier"`                  // 0: requests come from outside
	MaxAttempts   int         `json:"attempts"`              // per request, including the first
	MayCancel     bool        `json:"cancel"`                // whether attempts that are no longer needed are cancelled
	Tick          Duration    `json:"tick"`                  // time differences below it are ignored by the balancer
	MaxRetryAfter Duration    `json:"retry_after,omitempty"` // of a rejection; 0: rejections have no Retry-After
	Balancers     Balancers   `json:"copies"`
	Shedding      Shedding    `json:"shedding"`
	Connections   Connections `json:"connections"`
	SlowStart     SlowStart   `json:"slow_start"`
	LoadReports   LoadReports `json:"load_reports,omitzero"` // zero: no load reports are read from replies
	Registry      *Registry   `json:"registry,omitempty"`    // source of the endpoint list, or
	Servers       []Server    `json:"servers,omitempty"`     // the endpoint list itself
}

// Balancers counts the nodes that send requests to the same servers.
type Balancers struct {
	Count int `json:"count"`
	Index int `json:"index"` // of this node among them, from 0
}

// Shedding weighs which requests are rejected first when not all can be served.
type Shedding struct {
	Total      float64 `json:"whole"`       // weight of the sum of all responses' priority weights
	WorstClass float64 `json:"worst_class"` // weight of the class with the worst service
}

// Connections bounds the connections to a pool's servers.
type Connections struct {
	Max            int      `json:"most"`
	IdleTimeout    Duration `json:"idle"` // servers close connections that have been idle for this long
	ConnectTimeout Duration `json:"connect_timeout"`
}

// SlowStart ramps up the share of its capacity that a server gets after its start.
type SlowStart struct {
	Minimum float64  `json:"from"` // initial share, 0 to 1
	Window  Duration `json:"over"` // time until the full capacity
}

// LoadReports names the metrics by which servers report their load in the header X-Load.
type LoadReports struct {
	BusyMetric  string `json:"busy"`               // requests that the server has in flight and queued
	PollChoices int    `json:"ask,omitempty"`      // servers that are polled before one of them is selected; 0: none
	PollPath    string `json:"ask_path,omitempty"` // path of the poll
}

// Registry is the source at which an endpoint list is watched.
type Registry struct {
	Address      string       `json:"address"`
	Mode         RegistryMode `json:"mode"`
	PollInterval Duration     `json:"ask_within,omitempty"` // for Polled: max time between two polls
}

// Server is an entry of an endpoint list in the configuration.
type Server struct {
	Name    string      `json:"name"`
	Address string      `json:"address"`
	Zone    string      `json:"zone,omitempty"`
	Cell    int         `json:"cell,omitempty"`
	Size    float64     `json:"size"` // capacity relative to other servers
	State   ServerState `json:"state"`
}

// Enumerations, with the values used in files. The first value is the default if there is one.
type (
	// Effect is whether a request of a class may be executed more than once.
	Effect string
	// Scope is the set of servers that discard duplicates of one another's keyed requests.
	Scope string
	// Protocol is the protocol of a listener or a pool.
	Protocol string
	// PathPolicy is how a listener handles paths that servers could interpret differently.
	PathPolicy string
	// RegistryMode is how an endpoint list is watched.
	RegistryMode string
	// ServerState is the state of a listed server.
	ServerState string
)

// Values of the enumerations.
const (
	Unsafe Effect = "unsafe" // must not be executed twice
	Keyed  Effect = "keyed"  // servers discard duplicates within the class's window
	Safe   Effect = "safe"   // may be executed any number of times

	CellScope Scope = "cell"
	ZoneScope Scope = "zone"
	AllScope  Scope = "all"

	HTTP1   Protocol = "http1"
	FastCGI Protocol = "fastcgi" // listeners only

	StrictPaths    PathPolicy = "strict"    // ambiguous paths are rejected
	NormalizePaths PathPolicy = "normalize" // or normalized, if there is exactly one normal form
	AsSentPaths    PathPolicy = "as_sent"   // forwarded unchanged; only the class must be unambiguous

	Pushed RegistryMode = "pushed" // a local agent pushes watch events
	Polled RegistryMode = "asked"  // one service for all nodes, polled when the balancer requests it

	Ready    ServerState = "ready"
	Draining ServerState = "draining" // finishes its requests and gets no new ones
)

// Class returns the class with the given name.
func (c *Config) Class(name string) (Class, bool) { return find(c.Classes, name, Class.name) }

// Pool returns the pool with the given name.
func (c *Config) Pool(name string) (Pool, bool) { return find(c.Pools, name, Pool.name) }

// Listener returns the listener with the given name.
func (c *Config) Listener(name string) (Listener, bool) {
	return find(c.Listeners, name, Listener.name)
}

func (c Class) name() string    { return c.Name }
func (p Pool) name() string     { return p.Name }
func (l Listener) name() string { return l.Name }
func (s Server) name() string   { return s.Name }

func find[T any](list []T, name string, nameOf func(T) string) (T, bool) {
	for _, v := range list {
		if nameOf(v) == name {
			return v, true
		}
	}
	var zero T
	return zero, false
}
