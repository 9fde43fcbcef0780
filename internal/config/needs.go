package config

// Memory use of the parts of a node in bytes, rounded up (docs/design/plan.md).
const (
	baseMemoryBytes       = 12 << 20
	clientMemoryBytes     = 40 << 10
	connectionMemoryBytes = 12 << 10
	poolMemoryBytes       = 96 << 10
	serverMemoryBytes     = 4 << 10
	routeMemoryBytes      = 2 << 10
)

// Needs is the resources that a configuration requires.
type Needs struct {
	Descriptors int  `json:"descriptors"` // with all connections of all pools open, and as many clients
	Memory      Size `json:"memory"`      // estimate for the same load
}

// Needs returns the resources that the configuration may use. Client connections may use as many descriptors as server
// connections, and more while the latter use fewer.
func (c *Config) Needs() Needs {
	connections, servers := 0, 0
	for _, p := range c.AllPools() {
		connections += p.Connections.Max
		servers += len(p.Servers)
	}
	internalDescriptors := c.InternalDescriptors()
	memory := int64(baseMemoryBytes) + int64(connections)*(clientMemoryBytes+connectionMemoryBytes) + int64(len(c.AllPools()))*poolMemoryBytes +
		int64(servers)*serverMemoryBytes + int64(len(c.Routes))*routeMemoryBytes + int64(c.maxLinkDescriptors())*linkMemoryBytes
	if c.Federation != nil {
		memory += int64(c.Federation.Memory)
	}
	return Needs{Descriptors: internalDescriptors + 2*connections, Memory: Size(memory)}
}

// InternalDescriptors returns the number of descriptors for all but the connections of clients and servers: the reserved ones,
// which include one listener and one registry watch, and those for the management endpoint, peers, links, and further listeners
// and registries.
func (c *Config) InternalDescriptors() int {
	registries := 0
	for _, p := range c.Pools {
		if p.Registry != nil {
			registries++
		}
	}
	optional := 0
	if c.Node.Management != "" {
		optional = managementDescriptors
	}
	if c.Node.Peers.Listen != "" {
		optional++
	}
	return ReservedDescriptors + optional + c.maxLinkDescriptors() + max(0, len(c.Listeners)-1) + 2*max(0, registries-1)
}

// needs checks the required resources against the limits.
func (k *checker) needs() {
	needs := k.Config.Needs()
	if l := k.Node.Limits.Descriptors; needs.Descriptors > l {
		k.fail("node.limits.descriptors", "found %d, but %d are needed: %d for the node itself and, with all connections of all pools open, twice %d",
			l, needs.Descriptors, k.InternalDescriptors(), (needs.Descriptors-k.InternalDescriptors())/2)
	}
	if l := k.Node.Limits.Memory; needs.Memory > l {
		k.fail("node.limits.memory", "found %v, but about %v are needed with all connections open", l, needs.Memory.RoundUpToMiB())
	}
}

// RoundUpToMiB rounds the size up to a multiple of 1 MiB, for display.
func (s Size) RoundUpToMiB() Size { return (s + 1<<20 - 1) &^ (1<<20 - 1) }
