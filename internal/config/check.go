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

// Bounds of what a configuration may ask for. docs/operate/configuration.md lists them.
const (
	maxNameLength      = 64
	minMemoryBytes     = 16 << 20
	maxMemoryBytes     = 1 << 40
	minDescriptors     = 64
	maxDescriptors     = 1 << 20
	maxCores           = 1024
	maxDeadline        = time.Hour
	maxAttempts        = 16
	maxTickLength      = time.Second
	maxBalancers       = 1 << 20
	maxWeight          = 1e12
	maxSocketPathBytes = 107 // of a Unix socket's address on Linux
	maxTier            = 16
	maxPollChoices     = 16
)

// ReservedDescriptors descriptors are for the log, the runtime, the admin socket and its clients, a record being written, and
// clients whose requests are read only to be rejected.
const ReservedDescriptors = 48

// managementDescriptors are for the management endpoint, beside those of the reserved ones that it may use.
const managementDescriptors = 8

// Check returns all problems of a configuration that was read from our own file or that a plan holds, warnings among
// them.
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

// checker collects what Check finds.
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

// name checks what a block is called.
func (k *checker) name(path, name string) {
	if !validName(name) {
		k.fail(path, "found the name %q; allowed: 1 to %d letters, digits, \"-\" and \"_\"", name, maxNameLength)
	}
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameLength && strings.Trim(strings.ToLower(name), "abcdefghijklmnopqrstuvwxyz0123456789-_") == ""
}

// checkNames checks the names of blocks of one kind.
func checkNames[T any](k *checker, kind string, list []T, name func(T) string) {
	seen := map[string]bool{}
	for _, v := range list {
		n := name(v)
		path := kind + "." + n
		k.name(path, n)
		if seen[n] {
			k.fail(path, "the name %q is used by another %s", n, kind)
		}
		seen[n] = true
	}
}

func (k *checker) duration(path string, d Duration, least, most time.Duration) {
	if v := time.Duration(d); v < least || v > most {
		k.fail(path, "found %v; allowed: %v to %v", v, least, most)
	}
}

func (k *checker) number(path string, v, least, most int) {
	if v < least || v > most {
		k.fail(path, "found %d; allowed: %d to %d", v, least, most)
	}
}

func (k *checker) float(path string, v, least, most float64) {
	if !(v >= least && v <= most) {
		k.fail(path, "found %v; allowed: %v to %v", v, least, most)
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
	n := k.Node
	k.name("node", n.Name)
	if n.Zone != "" {
		k.name("node.zone", n.Zone)
	}
	if n.StateFolder != "" && !filepath.IsAbs(n.StateFolder) {
		k.fail("node.state_folder", "found %q; allowed: an absolute path", n.StateFolder)
	}
	if n.AdminSocket != "" {
		k.socket("node.admin_socket", n.AdminSocket)
	}
	if n.Management != "" {
		management, err := netip.ParseAddrPort(n.Management)
		if err != nil {
			k.fail("node.management", "found %q; allowed: an IP address with a port, such as \"127.0.0.1:9100\"", n.Management)
		}
		for _, l := range k.Listeners {
			if addr, bad := netip.ParseAddrPort(l.Address); err == nil && bad == nil && addressesConflict(addr, management) {
				k.fail("node.management", "found %q, which listener %q takes with %q", n.Management, l.Name, l.Address)
			}
		}
	}
	k.peers(n.Peers)
	if v := n.Limits.Memory; v < minMemoryBytes || v > maxMemoryBytes {
		k.fail("node.limits.memory", "found %v; allowed: %v to %v", v, Size(minMemoryBytes), Size(maxMemoryBytes))
	}
	k.number("node.limits.descriptors", n.Limits.Descriptors, minDescriptors, maxDescriptors)
	k.number("node.limits.cores", n.Limits.Cores, 1, maxCores)
}

func (k *checker) socket(path, found string) {
	switch {
	case !filepath.IsAbs(found):
		k.fail(path, "found %q; allowed: an absolute path", found)
	case len(found) > maxSocketPathBytes:
		k.fail(path, "found a path of %d bytes; allowed: up to %d, which is all that a Unix socket's address holds", len(found), maxSocketPathBytes)
	}
}

func (k *checker) classes() {
	if len(k.Classes) == 0 {
		k.fail("class", "there is none; at least one must be defined")
	}
	checkNames(k, "class", k.Classes, Class.name)
	for _, c := range k.Classes {
		path := "class." + c.Name
		checkEnum(k, path+".effect", c.Effect, Unsafe, Keyed, Safe)
		if c.Effect == Keyed {
			checkEnum(k, path+".key_scope", c.KeyScope, CellScope, ZoneScope, AllScope)
			k.duration(path+".window", c.Window, time.Millisecond, 24*time.Hour)
		} else {
			if c.KeyScope != "" {
				k.fail(path+".key_scope", "found %q; it belongs to classes with effect = \"keyed\"", string(c.KeyScope))
			}
			if c.Window != 0 {
				k.fail(path+".window", "found %v; it belongs to classes with effect = \"keyed\"", c.Window)
			}
		}
		k.duration(path+".deadline", c.Deadline, time.Millisecond, maxDeadline)
		k.duration(path+".aim", c.LatencyObjective, time.Millisecond, max(time.Millisecond, time.Duration(c.Deadline)))
		k.float(path+".worth", c.PriorityWeight, 0, maxWeight)
		k.float(path+".late_share", c.LateShare, 0, 1)
	}
}

func (k *checker) listeners() {
	if len(k.Listeners) == 0 {
		k.fail("listener", "there is none; at least one must be defined")
	}
	checkNames(k, "listener", k.Listeners, Listener.name)
	for i, l := range k.Listeners {
		path := "listener." + l.Name
		checkEnum(k, path+".protocol", l.Protocol, HTTP1, FastCGI)
		checkEnum(k, path+".paths", l.Paths, StrictPaths, NormalizePaths, AsSentPaths)
		addr, err := netip.ParseAddrPort(l.Address)
		if err != nil {
			k.fail(path+".address", "found %q; allowed: an IP address with a port, such as \"127.0.0.1:7070\"", l.Address)
			continue
		}
		for _, o := range k.Listeners[:i] {
			if other, err := netip.ParseAddrPort(o.Address); err == nil && addressesConflict(addr, other) {
				k.fail(path+".address", "found %q, which listener %q takes with %q", l.Address, o.Name, o.Address)
			}
		}
		if l.Paths == AsSentPaths {
			for _, r := range k.Routes {
				if len(r.Paths) > 0 && (len(r.Listeners) == 0 || slices.Contains(r.Listeners, l.Name)) {
					k.fail(path+".paths", "found \"as_sent\", but route %q chooses by path: a server could read the path in another way than the route", r.Name)
				}
			}
		}
	}
}

// addressesConflict says that two addresses can't both be listened on.
func addressesConflict(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// maxSeeds is how many others a file may name.
const maxSeeds = 256

func (k *checker) peers(p Peers) {
	if p.Listen == "" && p.KeyFile == "" {
		return
	}
	k.dialAddress("node.peers.listen", p.Listen)
	if p.Advertise != "" {
		k.dialAddress("node.peers.advertise", p.Advertise)
	}
	if !filepath.IsAbs(p.KeyFile) {
		k.fail("node.peers.key_file", "found %q; allowed: an absolute path", p.KeyFile)
	}
	if len(p.Seeds) > maxSeeds {
		k.fail("node.peers.seeds", "found %d; allowed: up to %d", len(p.Seeds), maxSeeds)
	}
	for _, s := range p.Seeds {
		k.dialAddress("node.peers.seeds", s)
	}
	for _, place := range []struct{ path, name string }{{"node.peers.region", p.Region}, {"node.zone", k.Node.Zone}} {
		if place.name != "" && (!validName(place.name) || len(place.name) > maxZoneNameLength) {
			k.fail(place.path, "found %q; allowed with peers: 1 to %d letters, digits, \"-\" and \"_\"", place.name, maxZoneNameLength)
		}
	}
	if len(k.Node.Name) > maxPeerNameLength {
		k.fail("node", "found the name %q; allowed with peers: up to %d characters", k.Node.Name, maxPeerNameLength)
	}
	k.duration("node.peers.period", p.ProbeInterval, 100*time.Millisecond, time.Minute)
	k.duration("node.peers.delay", p.MaxDelay, time.Millisecond, 10*time.Second)
	if least := zonestate.MinFresh(time.Duration(p.MaxDelay)); p.MaxZoneStateAge != 0 && (time.Duration(p.MaxZoneStateAge) < least || time.Duration(p.MaxZoneStateAge) > time.Hour) {
		k.fail("node.peers.fresh", "found %v; allowed: %v to 1h, as a datagram may take %v (delay): half of it is between two rows, parts wait for three levels of a tree, and seven hops count as the way there and back",
			p.MaxZoneStateAge, least, p.MaxDelay)
	}
}

// What datagrams between peers have room for.
const (
	maxPeerNameLength = 32
	maxZoneNameLength = 16
)

// dialAddress checks an address to connect to.
func (k *checker) dialAddress(path, found string) {
	addr, err := netip.ParseAddrPort(found)
	switch {
	case err != nil && hasName(found):
		k.fail(path, "found %q; allowed: an IP address with a port: names are not looked up", found)
	case err != nil:
		k.fail(path, "found %q; allowed: an IP address with a port, such as \"10.1.0.18:7070\"", found)
	case addr.Port() == 0 || addr.Addr().IsUnspecified():
		k.fail(path, "found %q, which nobody can connect to", found)
	}
}

func hasName(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && host != "" && net.ParseIP(host) == nil
}

// validate has the balancer check the settings that it would get.
func (c *Config) validate() error {
	for _, p := range c.Pools {
		if _, err := balancer.New(c.BalancerSettings(p), 0); err != nil {
			return err
		}
	}
	return nil
}
