package config

// Memory that parts of a node take, measured and rounded up (docs/design/plan.md).
const (
	baseMemoryBytes       = 12 << 20
	clientMemoryBytes     = 40 << 10
	connectionMemoryBytes = 12 << 10
	poolMemoryBytes       = 96 << 10
	serverMemoryBytes     = 4 << 10
	routeMemoryBytes      = 2 << 10
)

// Needs are what a configuration asks of the process.
type Needs struct {
	Descriptors int  `json:"descriptors"` // with every pool's connections open, and as many clients
	Memory      Size `json:"memory"`      // likewise, as estimated
}

// Needs adds up what the configuration may take. Clients may have as many descriptors as servers, and more
// while servers need less.
func (c *Config) Needs() Needs {
	most, servers := 0, 0
	for _, p := range c.AllPools() {
		most += p.Connections.Max
		servers += len(p.Servers)
	}
	own := c.InternalDescriptors()
	memory := int64(baseMemoryBytes) + int64(most)*(clientMemoryBytes+connectionMemoryBytes) + int64(len(c.AllPools()))*poolMemoryBytes +
		int64(servers)*serverMemoryBytes + int64(len(c.Routes))*routeMemoryBytes + int64(c.maxLinkDescriptors())*linkMemoryBytes
	if c.Federation != nil {
		memory += int64(c.Federation.Memory)
	}
	return Needs{Descriptors: own + 2*most, Memory: Size(memory)}
}

// InternalDescriptors are those that neither clients nor servers have: the reserved ones, which serve for one
// listener and one registry's watch, and what further ones need.
func (c *Config) InternalDescriptors() int {
	registries := 0
	for _, p := range c.Pools {
		if p.Registry != nil {
			registries++
		}
	}
	management := 0
	if c.Node.Management != "" {
		management = managementDescriptors
	}
	if c.Node.Peers.Listen != "" {
		management++
	}
	return ReservedDescriptors + management + c.maxLinkDescriptors() + max(0, len(c.Listeners)-1) + 2*max(0, registries-1)
}

// needs compares what is asked for with the limits.
func (k *checker) needs() {
	n := k.Config.Needs()
	if l := k.Node.Limits.Descriptors; n.Descriptors > l {
		k.fail("node.limits.descriptors", "found %d, but %d are needed: %d of the node's own and, with all pools' connections open, twice %d",
			l, n.Descriptors, k.InternalDescriptors(), (n.Descriptors-k.InternalDescriptors())/2)
	}
	if l := k.Node.Limits.Memory; n.Memory > l {
		k.fail("node.limits.memory", "found %v, but about %v are needed with all connections open", l, n.Memory.RoundUpToMiB())
	}
}

// RoundUpToMiB is the size rounded up to MiB, for people.
func (s Size) RoundUpToMiB() Size { return (s + 1<<20 - 1) &^ (1<<20 - 1) }
