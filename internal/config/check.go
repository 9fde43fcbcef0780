package config

import (
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/zonestate"
)

// Bounds of the values of a configuration. docs/operate/configuration.md lists them.
const (
	maxNameLength      = 64
	minMemoryBytes     = 16 << 20
	maxMemoryBytes     = 1 << 40
	minDescriptors     = 64
	maxDescriptors     = 1 << 20
	maxCores           = 1024
	maxDeadline        = time.Hour
	maxAttempts        = 16
	maxTick            = time.Second
	maxBalancers       = 1 << 20
	maxWeight          = 1e12
	maxSocketPathBytes = 107 // length of a Unix socket's path on Linux, without the terminating zero
	maxTier            = 16
	maxPollChoices     = 16
)

// ReservedDescriptors is the number of descriptors for the log, the runtime, the admin socket and its clients, a record being
// written, and clients whose requests are read only to be rejected.
const ReservedDescriptors = 48

// managementDescriptors is the number of descriptors for the management endpoint, in addition to the reserved ones that it may use.
const managementDescriptors = 8

// Check returns all problems, including warnings, of a configuration that comes from an HCL file or a plan.
func (c *Config) Check() Problems {
	k := &checker{Config: c}
	k.node()
	k.classes()
	k.listeners()
	k.pools()
	k.routes()
	k.federation()
	k.needs()
	k.problems.sort()
	return k.problems
}

// checker collects the problems that Check finds.
type checker struct {
	*Config
	problems Problems
}

func (k *checker) fail(path, format string, args ...any) {
	k.problems = append(k.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (k *checker) warn(path, format string, args ...any) {
	k.problems = append(k.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...), Warning: true})
}

// name checks the name of a block.
func (k *checker) name(path, name string) {
	if !validName(name) {
		k.fail(path, "found the name %q; allowed: 1 to %d letters, digits, \"-\" and \"_\"", name, maxNameLength)
	}
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameLength && strings.Trim(strings.ToLower(name), "abcdefghijklmnopqrstuvwxyz0123456789-_") == ""
}

// checkNames checks that the blocks of one kind have valid and distinct names.
func checkNames[T any](k *checker, kind string, list []T, name func(T) string) {
	seen := map[string]bool{}
	for _, v := range list {
		blockName := name(v)
		path := kind + "." + blockName
		k.name(path, blockName)
		if seen[blockName] {
			k.fail(path, "the name %q is used by another %s", blockName, kind)
		}
		seen[blockName] = true
	}
}

func (k *checker) duration(path string, d Duration, minimum, maximum time.Duration) {
	if v := time.Duration(d); v < minimum || v > maximum {
		k.fail(path, "found %v; allowed: %v to %v", v, minimum, maximum)
	}
}

func (k *checker) number(path string, v, minimum, maximum int) {
	if v < minimum || v > maximum {
		k.fail(path, "found %d; allowed: %d to %d", v, minimum, maximum)
	}
}

func (k *checker) float(path string, v, minimum, maximum float64) {
	if !(v >= minimum && v <= maximum) {
		k.fail(path, "found %v; allowed: %v to %v", v, minimum, maximum)
	}
}

func checkEnum[T ~string](k *checker, path string, found T, allowed ...T) {
	if slices.Contains(allowed, found) {
		return
	}
	words := make([]string, len(allowed))
	for i, w := range allowed {
		words[i] = fmt.Sprintf("%q", string(w))
	}
	k.fail(path, "found %q; allowed: %s", string(found), strings.Join(words, ", "))
}

func (k *checker) node() {
	node := k.Node
	k.name("node", node.Name)
	if node.Zone != "" {
		k.name("node.zone", node.Zone)
	}
	if node.StateFolder != "" && !filepath.IsAbs(node.StateFolder) {
		k.fail("node.state_folder", "found %q; allowed: an absolute path", node.StateFolder)
	}
	if node.AdminSocket != "" {
		k.socket("node.admin_socket", node.AdminSocket)
	}
	if node.Management != "" {
		management, err := netip.ParseAddrPort(node.Management)
		if err != nil {
			k.fail("node.management", "found %q; allowed: an IP address with a port, such as \"127.0.0.1:9100\"", node.Management)
		}
		for _, l := range k.Listeners {
			if addr, bad := netip.ParseAddrPort(l.Address); err == nil && bad == nil && addressesConflict(addr, management) {
				k.fail("node.management", "found %q, which conflicts with listener %q at %q", node.Management, l.Name, l.Address)
			}
		}
	}
	k.peers(node.Peers)
	if v := node.Limits.Memory; v < minMemoryBytes || v > maxMemoryBytes {
		k.fail("node.limits.memory", "found %v; allowed: %v to %v", v, Size(minMemoryBytes), Size(maxMemoryBytes))
	}
	k.number("node.limits.descriptors", node.Limits.Descriptors, minDescriptors, maxDescriptors)
	k.number("node.limits.cores", node.Limits.Cores, 1, maxCores)
}

func (k *checker) socket(path, found string) {
	switch {
	case !filepath.IsAbs(found):
		k.fail(path, "found %q; allowed: an absolute path", found)
	case len(found) > maxSocketPathBytes:
		k.fail(path, "found a path of %d bytes; allowed: up to %d, the limit of a Unix socket's path", len(found), maxSocketPathBytes)
	}
}

func (k *checker) classes() {
	if len(k.Classes) == 0 {
		k.fail("class", "the block is missing; at least one is required")
	}
	checkNames(k, "class", k.Classes, Class.name)
	for _, class := range k.Classes {
		path := "class." + class.Name
		checkEnum(k, path+".effect", class.Effect, Unsafe, Keyed, Safe)
		if class.Effect == Keyed {
			checkEnum(k, path+".key_scope", class.KeyScope, CellScope, ZoneScope, AllScope)
			k.duration(path+".window", class.Window, time.Millisecond, 24*time.Hour)
		} else {
			if class.KeyScope != "" {
				k.fail(path+".key_scope", "found %q; allowed only for classes with effect = \"keyed\"", string(class.KeyScope))
			}
			if class.Window != 0 {
				k.fail(path+".window", "found %v; allowed only for classes with effect = \"keyed\"", class.Window)
			}
		}
		k.duration(path+".deadline", class.Deadline, time.Millisecond, maxDeadline)
		k.duration(path+".aim", class.LatencyObjective, time.Millisecond, max(time.Millisecond, time.Duration(class.Deadline)))
		k.float(path+".worth", class.PriorityWeight, 0, maxWeight)
		k.float(path+".late_share", class.LateShare, 0, 1)
	}
}

func (k *checker) listeners() {
	if len(k.Listeners) == 0 {
		k.fail("listener", "the block is missing; at least one is required")
	}
	checkNames(k, "listener", k.Listeners, Listener.name)
	for i, listener := range k.Listeners {
		path := "listener." + listener.Name
		checkEnum(k, path+".protocol", listener.Protocol, HTTP1, FastCGI)
		checkEnum(k, path+".paths", listener.Paths, StrictPaths, NormalizePaths, AsSentPaths)
		addr, err := netip.ParseAddrPort(listener.Address)
		if err != nil {
			k.fail(path+".address", "found %q; allowed: an IP address with a port, such as \"127.0.0.1:7070\"", listener.Address)
			continue
		}
		for _, o := range k.Listeners[:i] {
			if other, err := netip.ParseAddrPort(o.Address); err == nil && addressesConflict(addr, other) {
				k.fail(path+".address", "found %q, which conflicts with listener %q at %q", listener.Address, o.Name, o.Address)
			}
		}
		if listener.Paths == AsSentPaths {
			for _, r := range k.Routes {
				if len(r.Paths) > 0 && (len(r.Listeners) == 0 || slices.Contains(r.Listeners, listener.Name)) {
					k.fail(path+".paths", "found \"as_sent\", but route %q matches by path: a server could interpret the path differently from the route", r.Name)
				}
			}
		}
	}
}

// addressesConflict reports whether two addresses can't both be listened on.
func addressesConflict(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// maxSeeds is the number of other nodes that a file may list as seeds.
const maxSeeds = 256

func (k *checker) peers(peers Peers) {
	if peers.Listen == "" && peers.KeyFile == "" {
		return
	}
	k.dialAddress("node.peers.listen", peers.Listen)
	if peers.Advertise != "" {
		k.dialAddress("node.peers.advertise", peers.Advertise)
	}
	if !filepath.IsAbs(peers.KeyFile) {
		k.fail("node.peers.key_file", "found %q; allowed: an absolute path", peers.KeyFile)
	}
	if len(peers.Seeds) > maxSeeds {
		k.fail("node.peers.seeds", "found %d; allowed: up to %d", len(peers.Seeds), maxSeeds)
	}
	for _, s := range peers.Seeds {
		k.dialAddress("node.peers.seeds", s)
	}
	for _, field := range []struct{ path, name string }{{"node.peers.region", peers.Region}, {"node.zone", k.Node.Zone}} {
		if field.name != "" && (!validName(field.name) || len(field.name) > maxZoneNameLength) {
			k.fail(field.path, "found %q; allowed with peers: 1 to %d letters, digits, \"-\" and \"_\"", field.name, maxZoneNameLength)
		}
	}
	if len(k.Node.Name) > maxPeerNameLength {
		k.fail("node", "found the name %q; allowed with peers: up to %d characters", k.Node.Name, maxPeerNameLength)
	}
	k.duration("node.peers.period", peers.ProbeInterval, 100*time.Millisecond, time.Minute)
	k.duration("node.peers.delay", peers.MaxDelay, time.Millisecond, 10*time.Second)
	if minFresh := zonestate.MinFreshAge(time.Duration(peers.MaxDelay)); peers.MaxZoneStateAge != 0 && (time.Duration(peers.MaxZoneStateAge) < minFresh || time.Duration(peers.MaxZoneStateAge) > time.Hour) {
		k.fail("node.peers.fresh", "found %v; allowed: %v to 1h, for a delay of %v: the publication interval is half of fresh, parts wait for three levels of the tree, and each of seven hops counts as a round trip",
			peers.MaxZoneStateAge, minFresh, peers.MaxDelay)
	}
}

// Lengths of names, in bytes, that fit into the datagrams between peers.
const (
	maxPeerNameLength = 32
	maxZoneNameLength = 16
)

// dialAddress checks an address that the node connects to.
func (k *checker) dialAddress(path, found string) {
	addr, err := netip.ParseAddrPort(found)
	switch {
	case err != nil && hasHostName(found):
		k.fail(path, "found %q; allowed: an IP address with a port: host names are not resolved", found)
	case err != nil:
		k.fail(path, "found %q; allowed: an IP address with a port, such as \"10.1.0.18:7070\"", found)
	case addr.Port() == 0 || addr.Addr().IsUnspecified():
		k.fail(path, "found %q, which is not an address to connect to", found)
	}
}

func hasHostName(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && host != "" && net.ParseIP(host) == nil
}

// validate returns the error of the first pool whose settings the balancer rejects.
func (c *Config) validate() error {
	for _, p := range c.Pools {
		if _, err := balancer.New(c.BalancerSettings(p), 0); err != nil {
			return err
		}
	}
	return nil
}
