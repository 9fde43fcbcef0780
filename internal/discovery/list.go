// Package discovery follows endpoint lists. It parses the registry's format (Parse), keeps a list up to date with a Watch,
// which follows a local agent or polls a shared service, and converts the start times of servers to the node's own clock
// (StartTimes).
//
// The Sink receives updates in the order in which the registry made them, a full list whenever changes may have been
// missed, and an update soon after a silent registry recovers. Package balancer decides which server gets a request.
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
	Rev     int64 // revision number assigned by the registry
	Full    bool  // reports whether servers that are not in Targets are removed
	Targets []Target
}

// hasChanges reports whether l is an update, rather than the empty answer to a long poll that timed out.
func (l List) hasChanges() bool { return l.Full || len(l.Targets) > 0 }

// Target is an entry of a list: a server and the address it listens at.
type Target struct {
	balancer.Server
	Endpoint string // IP address with port
}

// Host is one incarnation of a server at one address. Connections are kept per Host, so that neither a restarted server nor
// a different server at the same address gets requests over its predecessor's connections.
type Host struct {
	Server   string // id
	Endpoint string
	Boot     time.Duration
}

// Host returns the incarnation that the entry describes.
func (t Target) Host() Host { return Host{Server: t.ID, Endpoint: t.Endpoint, Boot: t.Boot} }

// serverStates maps the registry's names to server states.
var serverStates = map[string]balancer.ServerState{
	"in_service":  balancer.Ready,
	"terminating": balancer.Draining,
	"terminated":  balancer.Removed,
}

// Upper bounds of an entry's numbers.
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

// Parse decodes a list in the registry's JSON format. A list with any malformed entry is rejected completely, because the
// servers missing from a partial list would be treated as removed.
func Parse(text []byte) (List, error) {
	var listed struct {
		Rev     *int64         `json:"rev"`
		All     *bool          `json:"all"`
		Targets []listedTarget `json:"targets"`
	}
	if err := json.Unmarshal(text, &listed); err != nil {
		return List{}, fmt.Errorf("decode endpoint list: %w", err)
	}
	if listed.Rev == nil || listed.All == nil {
		return List{}, errors.New("decode endpoint list: rev or all is missing")
	}
	list := List{Rev: *listed.Rev, Full: *listed.All}
	seen := map[string]bool{}
	for i, entry := range listed.Targets {
		if entry.UID == "" || seen[entry.UID] {
			return List{}, fmt.Errorf("decode endpoint list: targets[%d]: uid %q is empty or duplicate", i, entry.UID)
		}
		seen[entry.UID] = true
		target, err := entry.target()
		if err != nil {
			return List{}, fmt.Errorf("decode endpoint list: targets[%d]: %w", i, err)
		}
		list.Targets = append(list.Targets, target)
	}
	return list, nil
}

// target validates an entry and converts it to a Target.
func (e listedTarget) target() (Target, error) {
	state, ok := serverStates[e.State]
	if !ok {
		return Target{}, fmt.Errorf("unknown state %q", e.State)
	}
	if _, err := netip.ParseAddrPort(e.Endpoint); err != nil && state != balancer.Removed {
		return Target{}, err
	}
	capacityInRange := e.CapacityHint >= 0 && e.CapacityHint <= maxCapacityHint // false for NaN
	bootInRange := e.BootMS >= 0 && e.BootMS <= maxBootMS
	if !capacityInRange || !bootInRange {
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
