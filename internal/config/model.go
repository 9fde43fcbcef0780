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
