package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is an entry of discovery's list.
type target struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	AZ           string  `json:"az"`
	Model        string  `json:"model"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMS       int64   `json:"boot_ms"`
}

// agent is a stand-in for discovery.
type agent struct {
	w        *world
	listener net.Listener

	mu      sync.Mutex
	changed chan struct{}
	rev     int64
	targets map[string]target
	changes map[string]int64 // by uid: revision of the last change
}

func (w *world) startAgent(targets ...target) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	a := &agent{w: w, listener: l, changed: make(chan struct{}), rev: 1, targets: map[string]target{}, changes: map[string]int64{}}
	for _, t := range targets {
		a.targets[t.UID] = t
		a.changes[t.UID] = 1
	}
	go http.Serve(l, a)
	return a, nil
}

func (a *agent) address() string { return a.listener.Addr().String() }

// listed returns the entry of a server in service.
func listed(s *server, zone string) target {
	return target{UID: s.uid, Endpoint: s.address(), AZ: zone, Model: "front-std", State: "in_service", CapacityHint: 1}
}

// tell changes entries of the list.
func (a *agent) tell(targets ...target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev++
	for _, t := range targets {
		a.targets[t.UID] = t
		a.changes[t.UID] = a.rev
		a.w.logf("discovery has %s %s, rev %d", t.UID, t.State, a.rev)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	isWatch := err == nil
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	timeout := time.After(time.Duration(hold) * time.Millisecond)
	for {
		a.mu.Lock()
		rev, changed := a.rev, a.changed
		var entries []target
		for uid, t := range a.targets {
			if isWatch && a.changes[uid] > from || !isWatch && t.State != "terminated" {
				entries = append(entries, t)
			}
		}
		a.mu.Unlock()
		expired := false
		if isWatch && rev <= from {
			select {
			case <-changed:
				continue
			case <-timeout:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if expired || entries == nil {
			entries = []target{}
		}
		json.NewEncoder(w).Encode(map[string]any{"rev": rev, "all": !isWatch, "targets": entries})
		return
	}
}
