package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is an entry of discovery's list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Pod      int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

type list struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// agent is a stand-in for discovery's agent on a node's machine: lists are pushed to it, and it answers at once.
type agent struct {
	addr string

	mu      sync.Mutex
	rev     int
	targets map[string]target
	changed map[string]int // revision of the last change
	wake    chan struct{}  // closed at a change
}

func newAgent(targets []target) *agent {
	a := &agent{rev: 41, targets: map[string]target{}, changed: map[string]int{}, wake: make(chan struct{})}
	for _, t := range targets {
		a.targets[t.UID] = t
		a.changed[t.UID] = 41
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	a.addr = l.Addr().String()
	go http.Serve(l, a)
	return a
}

// set changes an entry.
func (a *agent) set(t target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev++
	a.targets[t.UID] = t
	a.changed[t.UID] = a.rev
	close(a.wake)
	a.wake = make(chan struct{})
}

// since returns the list of what changed after a revision; all of it below 0.
func (a *agent) since(rev int) (l list, wake chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l = list{Rev: a.rev, All: rev < 0, Targets: []target{}}
	for uid, t := range a.targets {
		if rev < 0 && t.State != "terminated" || rev >= 0 && a.changed[uid] > rev {
			l.Targets = append(l.Targets, t)
		}
	}
	return l, a.wake
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		from = -1
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	over := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
	for {
		l, wake := a.since(from)
		if from >= 0 && len(l.Targets) == 0 && hold > 0 {
			select {
			case <-wake:
				continue
			case <-r.Context().Done():
				return
			case <-over:
				l, _ = a.since(from)
			}
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(l)
		return
	}
}
