// Package discovery follows lists of servers. It owns the form in which the registry tells them, and the
// watch that keeps one up to date; whom to send to is decided elsewhere.
package discovery

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"time"

	"damsontrestle/internal/balancer"
)

// List is discovery's news: the full list, or the entries that changed.
type List struct {
	Rev     int64
	Full    bool
	Targets []Target
}

// Target is an entry of a list: the module's view of a server, and where it listens.
type Target struct {
	balancer.Server
	Endpoint string // address with port
}

// Host is one life of a server at one address. A server that starts anew, or another at an address that
// one has left, must not be met over its predecessor's connections.
type Host struct {
	Server, Endpoint string
	Boot             time.Duration
}

// Host is the life that the entry tells of.
func (t Target) Host() Host { return Host{t.ID, t.Endpoint, t.Boot} }

var states = map[string]balancer.ServerState{
	"in_service": balancer.Ready, "terminating": balancer.Draining, "terminated": balancer.Removed,
}

// Parse reads a list as the registry writes it. A malformed one is dropped completely: half a list would look
// like the rest had gone.
func Parse(text []byte) (List, error) {
	var f struct {
		Rev     *int64 `json:"rev"`
		All     *bool  `json:"all"`
		Targets []struct {
			UID      string  `json:"uid"`
			Endpoint string  `json:"endpoint"`
			Zone     string  `json:"az"`
			Cell     int     `json:"pod_group"`
			State    string  `json:"state"`
			Size     float64 `json:"capacity_hint"`
			Boot     float64 `json:"boot_ms"`
		} `json:"targets"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	if f.Rev == nil || f.All == nil {
		return List{}, fmt.Errorf("list: rev or all is missing")
	}
	l := List{Rev: *f.Rev, Full: *f.All}
	seen := map[string]bool{}
	for i, t := range f.Targets {
		state, ok := states[t.State]
		_, err := netip.ParseAddrPort(t.Endpoint)
		switch {
		case t.UID == "" || seen[t.UID]:
			return List{}, fmt.Errorf("list: targets[%d]: uid %q is empty or comes twice", i, t.UID)
		case !ok:
			return List{}, fmt.Errorf("list: targets[%d]: unknown state %q", i, t.State)
		case err != nil && state != balancer.Removed:
			return List{}, fmt.Errorf("list: targets[%d]: %w", i, err)
		case !(t.Size >= 0 && t.Size <= 1e12) || !(t.Boot >= 0 && t.Boot <= 1e13):
			return List{}, fmt.Errorf("list: targets[%d]: capacity_hint or boot_ms is out of range", i)
		}
		seen[t.UID] = true
		l.Targets = append(l.Targets, Target{Endpoint: t.Endpoint, Server: balancer.Server{ID: t.UID,
			Zone: t.Zone, Cell: t.Cell, State: state, Size: t.Size, Boot: time.Duration(math.Round(t.Boot * 1e6))}})
	}
	return l, nil
}
