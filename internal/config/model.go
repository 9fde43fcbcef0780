// Package config holds a node's configuration: its model, the two forms that it is read from (a file of our own in HCL,
// the platform's JSON), the check of all its values and of what it needs against its limits, and the fingerprint by which
// configurations are compared.
//
// It reads files and nothing else: what runs is the node's, what differs between two configurations is internal/plan's.
// The keys of files and records are mapped here once; names in Go are those of the glossary.
package config

import "damsontrestle/internal/route"

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

// Node is the part of a configuration that concerns the process.
type Node struct {
	Name        string `json:"name"`
	Zone        string `json:"zone,omitempty"`
	StateFolder string `json:"state_folder,omitempty"` // empty: nothing outlives the process
	AdminSocket string `json:"admin_socket,omitempty"` // path of a Unix socket; empty: none
	Management  string `json:"management,omitempty"`   // address of the management endpoint; empty: none
	Limits      Limits `json:"limits"`
	Peers       Peers  `json:"peers,omitzero"` // zero: the node has no peers
}

// Peers configures membership and zone state, which nodes gossip by datagrams.
type Peers struct {
	Listen          string   `json:"listen"`              // address of the UDP socket
	Advertise       string   `json:"advertise,omitempty"` // at which others reach it; empty: Listen
	KeyFile         string   `json:"key_file"`            // of the cluster: datagrams without its seal are dropped
	Seeds           []string `json:"seeds,omitempty"`     // addresses of some others, or of all
	Region          string   `json:"region,omitempty"`
	ProbeInterval   Duration `json:"period"`                // between two probes of others
	ListenOnly      bool     `json:"listen_only,omitempty"` // others don't ask it for indirect probes
	MaxZoneStateAge Duration `json:"fresh,omitempty"`       // max age of zone state that counts as fresh; 0: none is published or used
	MaxDelay        Duration `json:"delay,omitempty"`       // max time of a datagram under way without faults
}

// Limits bound the resources of the process.
type Limits struct {
	Memory      Size `json:"memory"`      // three quarters of it are the Go runtime's soft limit
	Descriptors int  `json:"descriptors"` // open files and sockets
	Cores       int  `json:"cores"`       // threads that run Go code at once
}

// Class is a class of requests of one effect, deadline and priority.
type Class struct {
	Name             string       `json:"name"`
	Effect           Effect       `json:"effect"`
	KeyScope         Scope        `json:"key_scope,omitempty"`  // for keyed
	Window           Duration     `json:"window,omitempty"`     // for keyed: how long servers discard duplicates
	LatencyObjective Duration     `json:"aim"`                  // responses within it earn the full priority weight
	Deadline         Duration     `json:"deadline"`             // how long a client waits, over all attempts
	LateShare        float64      `json:"late_share,omitempty"` // share of the priority weight that a later response earns
	PriorityWeight   float64      `json:"worth"`
	Replication      *Replication `json:"custody,omitempty"` // its requests are replicated; nil: they are not
}

// Listener is an address where clients connect.
type Listener struct {
	Name     string     `json:"name"`
	Address  string     `json:"address"`
	Protocol Protocol   `json:"protocol"`
	Paths    PathPolicy `json:"paths"`
}

// Pool is a set of servers that requests are routed to together, by one Balancer.
type Pool struct {
	Name          string      `json:"name"`
	Protocol      Protocol    `json:"protocol"`
	Tier          int         `json:"tier"`                  // 0: requests come from outside
	MaxAttempts   int         `json:"attempts"`              // max of one request, the first among them
	MayCancel     bool        `json:"cancel"`                // attempts that are not needed any more are cancelled
	Tick          Duration    `json:"tick"`                  // differences below it are no time to the balancer
	MaxRetryAfter Duration    `json:"retry_after,omitempty"` // max Retry-After of a rejection; 0: none is given
	Balancers     Balancers   `json:"copies"`
	Shedding      Shedding    `json:"shedding"`
	Connections   Connections `json:"connections"`
	SlowStart     SlowStart   `json:"slow_start"`
	LoadReports   LoadReports `json:"load_reports,omitzero"` // in replies; zero: none are read
	Registry      *Registry   `json:"registry,omitempty"`    // where the list comes from, or
	Servers       []Server    `json:"servers,omitempty"`     // the list itself
}

// Balancers counts the nodes that send to the same servers.
type Balancers struct {
	Count int `json:"count"`
	Index int `json:"index"` // this node's number among them, from 0
}

// Shedding weighs what is shed first when not all can be served.
type Shedding struct {
	Total      float64 `json:"whole"`       // weight of all responses' priority weights
	WorstClass float64 `json:"worst_class"` // weight of the class that is served worst
}

// Connections bounds the connections to a pool's servers.
type Connections struct {
	Max            int      `json:"most"`
	IdleTimeout    Duration `json:"idle"` // servers close a connection that has been idle for so long
	ConnectTimeout Duration `json:"connect_timeout"`
}

// SlowStart is the share of its capacity that a server gets after its start.
type SlowStart struct {
	Minimum float64  `json:"from"` // share at first, 0 to 1
	Window  Duration `json:"over"` // until it gets its full capacity
}

// LoadReports names the metrics by which servers report their load in the header X-Load.
type LoadReports struct {
	BusyMetric  string `json:"busy"`               // requests that the server has in flight and queued
	PollChoices int    `json:"ask,omitempty"`      // servers that are polled before one of them is selected; 0: none
	PollPath    string `json:"ask_path,omitempty"` // path of the poll
}

// Registry is where an endpoint list is watched.
type Registry struct {
	Address      string       `json:"address"`
	Mode         RegistryMode `json:"mode"`
	PollInterval Duration     `json:"ask_within,omitempty"` // for asked: max time between two polls
}

// Server is an entry of an endpoint list that the configuration holds.
type Server struct {
	Name    string      `json:"name"`
	Address string      `json:"address"`
	Zone    string      `json:"zone,omitempty"`
	Cell    int         `json:"cell,omitempty"`
	Size    float64     `json:"size"` // its capacity relative to others
	State   ServerState `json:"state"`
}

// Enumerations, by the words of the file; the first is the default where there is one.
type (
	// Effect says what happens when a request of a class runs twice.
	Effect string
	// Scope says which servers discard duplicates of one another's keyed requests.
	Scope string
	// Protocol is what a listener or a pool speaks.
	Protocol string
	// PathPolicy says what a listener does with paths that servers could read in different ways.
	PathPolicy string
	// RegistryMode says how an endpoint list is watched.
	RegistryMode string
	// ServerState is the state of a listed server.
	ServerState string
)

// Values of the enumerations.
const (
	Unsafe Effect = "unsafe" // must never run twice
	Keyed  Effect = "keyed"  // servers discard duplicates for a while
	Safe   Effect = "safe"   // may run any number of times

	CellScope Scope = "cell"
	ZoneScope Scope = "zone"
	AllScope  Scope = "all"

	HTTP1   Protocol = "http1"
	FastCGI Protocol = "fastcgi" // of listeners

	StrictPaths    PathPolicy = "strict"    // ambiguous paths are rejected
	NormalizePaths PathPolicy = "normalize" // or normalized, where there is one normal form
	AsSentPaths    PathPolicy = "as_sent"   // left as they came; only the class must be unambiguous

	Pushed RegistryMode = "pushed" // a local agent pushes watch events
	Polled RegistryMode = "asked"  // one service for all nodes, polled when the balancer says so

	Ready    ServerState = "ready"
	Draining ServerState = "draining" // finishes its requests, gets no new ones
)

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
