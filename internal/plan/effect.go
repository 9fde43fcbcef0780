package plan

import "slices"

// Effect is the effect of a change on a running node.
type Effect string

// Effects, from the least to the most disruptive.
const (
	Live           Effect = "taken over live"
	NewConnections Effect = "new connections only"
	Drains         Effect = "drains"
	NeedsRestart   Effect = "needs a restart"
)

// effects lists all effects, from the least to the most disruptive.
var effects = []Effect{Live, NewConnections, Drains, NeedsRestart}

// moreDisruptive returns the more disruptive of two effects.
func moreDisruptive(a, b Effect) Effect {
	if slices.Index(effects, b) > slices.Index(effects, a) {
		return b
	}
	return a
}

// additionEffect returns the effect of adding a resource of a kind.
func additionEffect(kind string) Effect {
	if kind == "federation" {
		return NeedsRestart
	}
	return Live
}

// removalEffect returns the effect of removing a resource of a kind.
func removalEffect(kind string) Effect {
	switch kind {
	case "listener", "pool":
		return Drains
	case "federation":
		return NeedsRestart
	}
	return Live
}

// fieldEffect returns the effect of changing a field of a resource.
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
