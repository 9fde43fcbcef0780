// Package config is the node's configuration: one model of it, read from the file that the platform gives
// and checked whole.
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

	"woodpick"
	"woodpick/internal/wire"
)

// Config is what a node is told at its start.
type Config struct {
	Name      string
	Zone      string
	Listen    string
	Discovery string
	Seed      uint64
	MemoryMB  int
	Sockets   int
	Known     json.RawMessage // the list as the node last had it, perhaps old

	Settings       woodpick.Settings
	ConnIdle       time.Duration // a server closes a connection idle for so long
	ConnectTimeout time.Duration
}

// leastSockets leaves room for the node's own descriptors and a few connections on each side.
const leastSockets = 64

// configFile mirrors the file that BALANCER_CONFIG names.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// settingsFile holds the settings that the node needs beside the module's.
type settingsFile struct {
	Zone   string `json:"zone"`
	Limits struct {
		ConnIdle       float64 `json:"conn-idle-ms"`
		ConnectTimeout float64 `json:"connect-timeout-ms"`
	} `json:"limits"`
}

// Load reads and checks the file that BALANCER_CONFIG names.
func Load() (Config, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return Config{}, errors.New("config: BALANCER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	return Parse(text)
}

// Parse reads a configuration. The error names the first field at fault.
func Parse(text []byte) (Config, error) {
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	var s settingsFile
	if len(f.Settings) == 0 {
		return Config{}, errors.New("config: settings are missing")
	}
	if err := json.Unmarshal(f.Settings, &s); err != nil {
		return Config{}, fmt.Errorf("config: settings: %w", err)
	}
	set, err := wire.ParseSettings(f.Settings)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	if _, err := woodpick.New(set, 0); err != nil {
		return Config{}, fmt.Errorf("config: settings: %w", err)
	}
	for _, a := range [][2]string{{"listen", f.Listen}, {"discovery", f.Discovery}} {
		if _, err := netip.ParseAddrPort(a[1]); err != nil {
			return Config{}, fmt.Errorf("config: %s: %w", a[0], err)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("config: seed: %w", err)
	}
	if !(f.Limits.MemoryMB >= 16 && f.Limits.MemoryMB <= 1<<20) {
		return Config{}, fmt.Errorf("config: limits.memory_mb is out of range: %v", f.Limits.MemoryMB)
	}
	if f.Limits.Sockets < leastSockets || f.Limits.Sockets > 1<<20 {
		return Config{}, fmt.Errorf("config: limits.sockets is out of range: %d", f.Limits.Sockets)
	}
	for _, t := range []struct {
		name string
		ms   float64
	}{{"conn-idle-ms", s.Limits.ConnIdle}, {"connect-timeout-ms", s.Limits.ConnectTimeout}} {
		if !(t.ms > 0 && t.ms <= 1e9) {
			return Config{}, fmt.Errorf("config: settings.limits.%s is out of range: %v", t.name, t.ms)
		}
	}
	return Config{Name: f.Name, Zone: s.Zone, Listen: f.Listen, Discovery: f.Discovery, Seed: seed,
		MemoryMB: int(f.Limits.MemoryMB), Sockets: f.Limits.Sockets, Known: f.Known, Settings: set,
		ConnIdle: millis(s.Limits.ConnIdle), ConnectTimeout: millis(s.Limits.ConnectTimeout)}, nil
}

func millis(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }
