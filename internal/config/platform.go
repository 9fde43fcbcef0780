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

// InitialState is what the platform passes to a node at its start in addition to the configuration.
type InitialState struct {
	Seed         uint64
	EndpointList json.RawMessage // last endpoint list of the node, possibly outdated, in the registry's format
}

// Names of the listener and the pool, which the platform's file does not name.
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

// platformSettings holds the settings that the node needs in addition to those of the balancer.
type platformSettings struct {
	Zone   string `json:"zone"`
	Limits struct {
		ConnIdle       float64 `json:"conn-idle-ms"`
		ConnectTimeout float64 `json:"connect-timeout-ms"`
	} `json:"limits"`
}

// LoadPlatform reads and checks the file that BALANCER_CONFIG names.
func LoadPlatform() (*Config, InitialState, error) { return loadPlatform(opener(openFile).read) }

// ReloadPlatform is LoadPlatform for a process that already runs a configuration: it retries a failed read for two seconds.
func ReloadPlatform() (*Config, InitialState, error) {
	return loadPlatform(opener(openFile).readWithRetry)
}

func loadPlatform(read func(path string, maxBytes int64) ([]byte, error)) (*Config, InitialState, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, InitialState{}, errors.New("config: BALANCER_CONFIG is not set")
	}
	text, err := read(path, math.MaxInt64)
	if err != nil {
		return nil, InitialState{}, fmt.Errorf("config: %w", err)
	}
	cfg, start, err := ParsePlatform(text)
	if address := os.Getenv("BALANCER_MGMT"); err == nil && address != "" {
		// A second process of the same node has its own address, which overrides that of the shared file.
		if _, parseErr := netip.ParseAddrPort(address); parseErr != nil {
			return nil, InitialState{}, fmt.Errorf("config: BALANCER_MGMT: %w", parseErr)
		}
		cfg.Node.Management = address
	}
	return cfg, start, err
}

// ParsePlatform parses the platform's JSON: one listener, one pool with an endpoint list from a registry, and one route from the
// listener to the pool. The error names the first invalid field.
func ParsePlatform(text []byte) (*Config, InitialState, error) {
	c, s, err := parsePlatform(text)
	if err != nil {
		return nil, InitialState{}, fmt.Errorf("config: %w", err)
	}
	return c, s, nil
}

func parsePlatform(text []byte) (*Config, InitialState, error) {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, InitialState{}, err
	}
	if len(file.Settings) == 0 {
		return nil, InitialState{}, errors.New("settings: missing")
	}
	var settings platformSettings
	if err := json.Unmarshal(file.Settings, &settings); err != nil {
		return nil, InitialState{}, fmt.Errorf("settings: %w", err)
	}
	balancerSettings, err := wire.ParseSettings(file.Settings)
	if err != nil {
		return nil, InitialState{}, err
	}
	if err := file.checkAddresses(); err != nil {
		return nil, InitialState{}, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, InitialState{}, fmt.Errorf("seed: %w", err)
	}
	if err := file.checkLimits(); err != nil {
		return nil, InitialState{}, err
	}
	if err := settings.check(); err != nil {
		return nil, InitialState{}, err
	}
	cfg := platformConfig(file, settings, balancerSettings)
	if err := cfg.validate(); err != nil {
		return nil, InitialState{}, fmt.Errorf("settings: %w", err)
	}
	return cfg, InitialState{Seed: seed, EndpointList: file.Known}, nil
}

// checkAddresses returns an error for the first invalid address.
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

// checkLimits returns an error for the first limit out of range.
func (f *platformFile) checkLimits() error {
	if !(f.Limits.MemoryMB >= 16 && f.Limits.MemoryMB <= 1<<20) {
		return fmt.Errorf("limits.memory_mb is out of range: %v", f.Limits.MemoryMB)
	}
	if f.Limits.Sockets < minDescriptors || f.Limits.Sockets > maxDescriptors {
		return fmt.Errorf("limits.sockets is out of range: %d", f.Limits.Sockets)
	}
	return nil
}

// check returns an error for the first setting out of range.
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

// platformConfig returns the Config that corresponds to the platform's file.
func platformConfig(file platformFile, settings platformSettings, balancerSettings balancer.Settings) *Config {
	pool := Pool{
		Name:          PlatformPool,
		Protocol:      HTTP1,
		Tier:          balancerSettings.Tier,
		MaxAttempts:   balancerSettings.MaxAttempts,
		MayCancel:     balancerSettings.MayCancel,
		Tick:          Duration(balancerSettings.Tick),
		MaxRetryAfter: Duration(balancerSettings.MaxRetryAfter),
		Balancers:     Balancers{Count: balancerSettings.Balancers, Index: balancerSettings.Index},
		Shedding:      Shedding{Total: balancerSettings.TotalWeight, WorstClass: balancerSettings.ClassWeight},
		Connections: Connections{
			Max:            (file.Limits.Sockets - ReservedDescriptors) / 2,
			IdleTimeout:    Duration(millis(settings.Limits.ConnIdle)),
			ConnectTimeout: Duration(millis(settings.Limits.ConnectTimeout)),
		},
		SlowStart: SlowStart{Minimum: balancerSettings.SlowStartMinimum, Window: Duration(balancerSettings.SlowStartWindow)},
		Registry:  &Registry{Address: file.Discovery, Mode: Pushed, PollInterval: Duration(balancerSettings.PollInterval)},
	}
	if balancerSettings.PollDiscovery {
		pool.Registry.Mode = Polled
	}
	cfg := &Config{
		Node: Node{
			Name:       file.Name,
			Zone:       settings.Zone,
			Management: file.Mgmt,
			Limits:     Limits{Memory: Size(int64(file.Limits.MemoryMB) << 20), Descriptors: file.Limits.Sockets, Cores: 1},
		},
		Listeners: []Listener{{Name: PlatformListener, Address: file.Listen, Protocol: HTTP1, Paths: AsSentPaths}},
		Pools:     []Pool{pool},
		Routes:    []route.Route{{Name: "default", Default: true, To: []route.Target{{Pool: PlatformPool, Weight: 1}}}},
	}
	for _, class := range balancerSettings.Classes {
		cfg.Classes = append(cfg.Classes, classFromBalancer(class))
	}
	return cfg
}

// classFromBalancer converts a class of the balancer to one of the configuration.
func classFromBalancer(class balancer.Class) Class {
	out := Class{
		Name:             class.Name,
		LatencyObjective: Duration(class.LatencyObjective),
		Deadline:         Duration(class.Deadline),
		LateShare:        class.LateShare,
		PriorityWeight:   class.PriorityWeight,
	}
	for word, e := range effects {
		if e == class.Effect {
			out.Effect = word
		}
	}
	if class.Effect == balancer.Keyed {
		out.Window = Duration(class.Window)
		for word, s := range scopes {
			if s == class.Scope {
				out.KeyScope = word
			}
		}
	}
	return out
}

func millis(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }
