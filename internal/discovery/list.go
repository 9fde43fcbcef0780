// Package discovery follows endpoint lists. It owns the form in which the registry writes them (Parse), the Watch that
// keeps one up to date, by pushes of an agent or by polls of a service, and the start times of servers by the node's own
// clock (Starts).
//
// It promises its Sink updates in the order in which the registry made them, a full list wherever changes may be missing,
// and an answer soon after a silent registry is back. Which server gets a request is decided elsewhere.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"damsontrestle/internal/balancer"
)

// List is an update of an endpoint list: a full snapshot, or the entries that changed.
type List struct {
	Rev     int64 // revision, counted by the registry
	Full    bool  // servers that are not among Targets are removed
	Targets []Target
}

// hasChanges says that a list is an update, and not the end of a long poll without any.
func (l List) hasChanges() bool { return l.Full || len(l.Targets) > 0 }

// Target is an entry of a list: a server as the balancer knows it, and where it listens.
type Target struct {
	balancer.Server
	Endpoint string // IP address with port
}

// Host is one incarnation of a server at one address. Connections belong to it: neither a server that has started anew nor
// another one at the same address may get requests over its predecessor's connections.
type Host struct {
	Server   string // id
	Endpoint string
	Boot     time.Duration
}

// Host returns the incarnation that the entry is of.
func (t Target) Host() Host { return Host{Server: t.ID, Endpoint: t.Endpoint, Boot: t.Boot} }

// states are the states of servers by the registry's names.
var states = map[string]balancer.ServerState{
	"in_service":  balancer.Ready,
	"terminating": balancer.Draining,
	"terminated":  balancer.Removed,
}

// Bounds of what an entry may say.
const (
	maxCapacityHint = 1e12
	maxBootMS       = 1e13
)

// listedTarget is an entry as the registry writes it.
type listedTarget struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	Zone         string  `json:"az"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMS       float64 `json:"boot_ms"`
}

// Parse reads a list as the registry writes it. A malformed one is dropped completely: half a list would look
// like the rest had been removed.
func Parse(text []byte) (List, error) {
	var listed struct {
		Rev     *int64         `json:"rev"`
		All     *bool          `json:"all"`
		Targets []listedTarget `json:"targets"`
	}
	if err := json.Unmarshal(text, &listed); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	if listed.Rev == nil || listed.All == nil {
		return List{}, errors.New("list: rev or all is missing")
	}
	list := List{Rev: *listed.Rev, Full: *listed.All}
	seen := map[string]bool{}
	for i, entry := range listed.Targets {
		if entry.UID == "" || seen[entry.UID] {
			return List{}, fmt.Errorf("list: targets[%d]: uid %q is empty or comes twice", i, entry.UID)
		}
		seen[entry.UID] = true
		target, err := entry.target()
		if err != nil {
			return List{}, fmt.Errorf("list: targets[%d]: %w", i, err)
		}
		list.Targets = append(list.Targets, target)
	}
	return list, nil
}

// target checks an entry and returns it in the program's terms.
func (e listedTarget) target() (Target, error) {
	state, ok := states[e.State]
	if !ok {
		return Target{}, fmt.Errorf("unknown state %q", e.State)
	}
	if _, err := netip.ParseAddrPort(e.Endpoint); err != nil && state != balancer.Removed {
		return Target{}, err
	}
	sizeInRange := e.CapacityHint >= 0 && e.CapacityHint <= maxCapacityHint // false for NaN
	bootInRange := e.BootMS >= 0 && e.BootMS <= maxBootMS
	if !sizeInRange || !bootInRange {
		return Target{}, errors.New("capacity_hint or boot_ms is out of range")
	}
	boot := time.Duration(math.Round(e.BootMS * float64(time.Millisecond)))
	return Target{
		Endpoint: e.Endpoint,
		Server: balancer.Server{
			ID:    e.UID,
			Zone:  e.Zone,
			Cell:  e.PodGroup,
			State: state,
			Size:  e.CapacityHint,
			Boot:  boot,
		},
	}, nil
}
