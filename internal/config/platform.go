package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/route"
	"damsontrestle/internal/wire"
)

// Start is what the platform gives a node at its start beside the configuration.
type InitialState struct {
	Seed         uint64
	EndpointList json.RawMessage // the endpoint list as the node last had it, perhaps old, in the registry's form
}

// Names of the parts that the platform's file describes without naming them.
const (
	PlatformListener = "main"
	PlatformPool     = "servers"
)

// platformFile mirrors the file that BALANCER_CONFIG names.
type platformFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Mgmt      string `json:"mgmt"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// platformSettings holds the settings that the node needs beside the module's.
type platformSettings struct {
	Zone   string `json:"zone"`
	Limits struct {
		ConnIdle       float64 `json:"conn-idle-ms"`
		ConnectTimeout float64 `json:"connect-timeout-ms"`
	} `json:"limits"`
}

// LoadPlatform reads and checks the file that BALANCER_CONFIG names.
func LoadPlatform() (*Config, InitialState, error) { return loadPlatform(opener(openFile).read) }

// ReloadPlatform is LoadPlatform where a configuration runs: a read that fails is retried for two seconds.
func ReloadPlatform() (*Config, InitialState, error) {
	return loadPlatform(opener(openFile).readWithRetry)
}

func loadPlatform(read func(path string, most int64) ([]byte, error)) (*Config, InitialState, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, InitialState{}, errors.New("config: BALANCER_CONFIG is not set")
	}
	text, err := read(path, math.MaxInt64)
	if err != nil {
		return nil, InitialState{}, fmt.Errorf("config: %w", err)
	}
	cfg, start, err := ParsePlatform(text)
	if own := os.Getenv("BALANCER_MGMT"); err == nil && own != "" {
		// A second process of the same node has an address of its own, whatever a shared file says.
		if _, bad := netip.ParseAddrPort(own); bad != nil {
			return nil, InitialState{}, fmt.Errorf("config: BALANCER_MGMT: %w", bad)
		}
		cfg.Node.Management = own
	}
	return cfg, start, err
}

// ParsePlatform reads the platform's JSON: one listener, one pool whose list a registry tells, and one route
// from the one to the other. The error names the first field at fault.
func ParsePlatform(text []byte) (*Config, InitialState, error) {
	c, s, err := parsePlatform(text)
	if err != nil {
		return nil, InitialState{}, fmt.Errorf("config: %w", err)
	}
	return c, s, nil
}

func parsePlatform(text []byte) (*Config, InitialState, error) {
	var f platformFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, InitialState{}, err
	}
	if len(f.Settings) == 0 {
		return nil, InitialState{}, errors.New("settings are missing")
	}
	var s platformSettings
	if err := json.Unmarshal(f.Settings, &s); err != nil {
		return nil, InitialState{}, fmt.Errorf("settings: %w", err)
	}
	module, err := wire.ParseSettings(f.Settings)
	if err != nil {
		return nil, InitialState{}, err
	}
	if err := f.checkAddresses(); err != nil {
		return nil, InitialState{}, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, InitialState{}, fmt.Errorf("seed: %w", err)
	}
	if err := f.checkLimits(); err != nil {
		return nil, InitialState{}, err
	}
	if err := s.check(); err != nil {
		return nil, InitialState{}, err
	}
	c := platformConfig(f, s, module)
	if err := c.validate(); err != nil {
		return nil, InitialState{}, fmt.Errorf("settings: %w", err)
	}
	return c, InitialState{Seed: seed, EndpointList: f.Known}, nil
}

// checkAddresses names the first address that is none.
func (f *platformFile) checkAddresses() error {
	addresses := []struct{ field, address string }{
		{"listen", f.Listen},
		{"discovery", f.Discovery},
	}
	if f.Mgmt != "" {
		addresses = append(addresses, struct{ field, address string }{"mgmt", f.Mgmt})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			return fmt.Errorf("%s: %w", a.field, err)
		}
	}
	return nil
}

// checkLimits names the first limit that is out of range.
func (f *platformFile) checkLimits() error {
	if !(f.Limits.MemoryMB >= 16 && f.Limits.MemoryMB <= 1<<20) {
		return fmt.Errorf("limits.memory_mb is out of range: %v", f.Limits.MemoryMB)
	}
	if f.Limits.Sockets < minDescriptors || f.Limits.Sockets > maxDescriptors {
		return fmt.Errorf("limits.sockets is out of range: %d", f.Limits.Sockets)
	}
	return nil
}

// check names the first setting that is out of range.
func (s *platformSettings) check() error {
	times := []struct {
		name         string
		milliseconds float64
	}{
		{"conn-idle-ms", s.Limits.ConnIdle},
		{"connect-timeout-ms", s.Limits.ConnectTimeout},
	}
	for _, t := range times {
		if !(t.milliseconds > 0 && t.milliseconds <= 1e9) {
			return fmt.Errorf("settings.limits.%s is out of range: %v", t.name, t.milliseconds)
		}
	}
	return nil
}

// platformConfig is the Config that the platform's file stands for.
func platformConfig(f platformFile, s platformSettings, module balancer.Settings) *Config {
	pool := Pool{
		Name:          PlatformPool,
		Protocol:      HTTP1,
		Tier:          module.Tier,
		MaxAttempts:   module.MaxAttempts,
		MayCancel:     module.MayCancel,
		Tick:          Duration(module.Tick),
		MaxRetryAfter: Duration(module.MaxRetryAfter),
		Balancers:     Balancers{Count: module.Balancers, Index: module.Index},
		Shedding:      Shedding{Total: module.TotalWeight, WorstClass: module.ClassWeight},
		Connections: Connections{
			Max:            (f.Limits.Sockets - ReservedDescriptors) / 2,
			IdleTimeout:    Duration(millis(s.Limits.ConnIdle)),
			ConnectTimeout: Duration(millis(s.Limits.ConnectTimeout)),
		},
		SlowStart: SlowStart{Minimum: module.SlowStartMinimum, Window: Duration(module.SlowStartWindow)},
		Registry:  &Registry{Address: f.Discovery, Mode: Pushed, PollInterval: Duration(module.PollInterval)},
	}
	if module.PollDiscovery {
		pool.Registry.Mode = Polled
	}
	c := &Config{
		Node: Node{
			Name:       f.Name,
			Zone:       s.Zone,
			Management: f.Mgmt,
			Limits:     Limits{Memory: Size(int64(f.Limits.MemoryMB) << 20), Descriptors: f.Limits.Sockets, Cores: 1},
		},
		Listeners: []Listener{{Name: PlatformListener, Address: f.Listen, Protocol: HTTP1, Paths: AsSentPaths}},
		Pools:     []Pool{pool},
		Routes:    []route.Route{{Name: "default", Default: true, To: []route.Target{{Pool: PlatformPool, Weight: 1}}}},
	}
	for _, class := range module.Classes {
		c.Classes = append(c.Classes, classFromBalancer(class))
	}
	return c
}

// classFromBalancer is the configuration's form of a balancer's class.
func classFromBalancer(c balancer.Class) Class {
	out := Class{
		Name:             c.Name,
		LatencyObjective: Duration(c.LatencyObjective),
		Deadline:         Duration(c.Deadline),
		LateShare:        c.LateShare,
		PriorityWeight:   c.PriorityWeight,
	}
	for word, e := range effects {
		if e == c.Effect {
			out.Effect = word
		}
	}
	if c.Effect == balancer.Keyed {
		out.Window = Duration(c.Window)
		for word, s := range scopes {
			if s == c.Scope {
				out.KeyScope = word
			}
		}
	}
	return out
}

func millis(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }
