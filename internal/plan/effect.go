package plan

import "slices"

// Effect is what a change does to a running node.
type Effect string

// Effects, from the mildest.
const (
	Live           Effect = "taken over live"
	NewConnections Effect = "new connections only"
	Drains         Effect = "drains"
	NeedsRestart   Effect = "needs a restart"
)

// effects are all effects, from the mildest.
var effects = []Effect{Live, NewConnections, Drains, NeedsRestart}

// harder is the effect that does more.
func moreDisruptive(a, b Effect) Effect {
	if slices.Index(effects, b) > slices.Index(effects, a) {
		return b
	}
	return a
}

// addition is what it does to add a resource.
func additionEffect(kind string) Effect {
	if kind == "federation" {
		return NeedsRestart
	}
	return Live
}

// removal is what it does to take a resource away.
func removalEffect(kind string) Effect {
	switch kind {
	case "listener", "pool":
		return Drains
	case "federation":
		return NeedsRestart
	}
	return Live
}

// effectOf is what the change of a field does.
func fieldEffect(kind, path string) Effect {
	if kind == "federation" {
		return NeedsRestart
	}
	switch kind + "." + path {
	case "partner.key_file":
		return NeedsRestart
	case "node.peers.listen", "node.peers.advertise", "node.peers.key_file", "node.peers.seeds", "node.peers.region", "node.peers.period", "node.peers.listen_only",
		"node.peers.fresh", "node.peers.delay":
		return NeedsRestart
	case "node.name", "node.zone", "node.state_folder", "node.admin_socket", "node.management":
		return NeedsRestart
	case "listener.address", "listener.protocol", "pool.protocol":
		return Drains
	case "pool.connections.connect_timeout":
		return NewConnections
	}
	return Live
}
