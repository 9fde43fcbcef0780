package config

// Memory that parts of a node take, measured and rounded up (docs/design/plan.md).
const (
	baseMemory       = 12 << 20
	clientMemory     = 40 << 10
	connectionMemory = 12 << 10
	poolMemory       = 96 << 10
	serverMemory     = 4 << 10
	routeMemory      = 2 << 10
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
		most += p.Connections.Most
		servers += len(p.Servers)
	}
	own := c.OwnDescriptors()
	memory := int64(baseMemory) + int64(most)*(clientMemory+connectionMemory) + int64(len(c.AllPools()))*poolMemory +
		int64(servers)*serverMemory + int64(len(c.Routes))*routeMemory + int64(c.links())*linkMemory
	if c.Federation != nil {
		memory += int64(c.Federation.Memory)
	}
	return Needs{Descriptors: own + 2*most, Memory: Size(memory)}
}

// OwnDescriptors are those that neither clients nor servers have: the reserved ones, which serve for one
// listener and one registry's watch, and what further ones need.
func (c *Config) OwnDescriptors() int {
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
	return Reserved + management + c.links() + max(0, len(c.Listeners)-1) + 2*max(0, registries-1)
}

// needs compares what is asked for with the limits.
func (k *checker) needs() {
	n := k.Config.Needs()
	if l := k.Node.Limits.Descriptors; n.Descriptors > l {
		k.fail("node.limits.descriptors", "found %d, but %d are needed: %d of the node's own and, with all pools' connections open, twice %d",
			l, n.Descriptors, k.OwnDescriptors(), (n.Descriptors-k.OwnDescriptors())/2)
	}
	if l := k.Node.Limits.Memory; n.Memory > l {
		k.fail("node.limits.memory", "found %v, but about %v are needed with all connections open", l, n.Memory.Rounded())
	}
}

// Rounded is the size rounded up to MiB, for people.
func (s Size) Rounded() Size { return (s + 1<<20 - 1) &^ (1<<20 - 1) }
