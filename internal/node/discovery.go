package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"woodpick"
)

// Times of a watch. An agent that is silent answers nothing, not even once it is back, so a call is
// given up on a little after its hold is over: the hold bounds how long news can go unheard.
const (
	watchHold    = 2 * time.Second
	watchGrace   = 500 * time.Millisecond
	backoffFirst = 50 * time.Millisecond
	backoffMost  = time.Second
	maxList      = 16 << 20
)

// list is discovery's news: the whole list, or the entries that changed.
type list struct {
	rev     int64
	full    bool
	targets []target
}

// target is an entry of a list: the module's view of a server, and where it listens.
type target struct {
	woodpick.Server
	endpoint string
}

func (t target) host() host { return host{t.ID, t.endpoint, t.Boot} }

var states = map[string]woodpick.ServerState{
	"in_service": woodpick.Ready, "terminating": woodpick.Draining, "terminated": woodpick.Gone,
}

// parseList reads a list. A malformed one is dropped whole: half a list would look like the rest
// had gone.
func parseList(text []byte) (list, error) {
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
		return list{}, fmt.Errorf("list: %w", err)
	}
	if f.Rev == nil || f.All == nil {
		return list{}, fmt.Errorf("list: rev or all is missing")
	}
	l := list{rev: *f.Rev, full: *f.All}
	seen := map[string]bool{}
	for i, t := range f.Targets {
		state, ok := states[t.State]
		_, err := netip.ParseAddrPort(t.Endpoint)
		switch {
		case t.UID == "" || seen[t.UID]:
			return list{}, fmt.Errorf("list: targets[%d]: uid %q is empty or comes twice", i, t.UID)
		case !ok:
			return list{}, fmt.Errorf("list: targets[%d]: unknown state %q", i, t.State)
		case err != nil && state != woodpick.Gone:
			return list{}, fmt.Errorf("list: targets[%d]: %w", i, err)
		case !(t.Size >= 0 && t.Size <= 1e12) || !(t.Boot >= 0 && t.Boot <= 1e13):
			return list{}, fmt.Errorf("list: targets[%d]: capacity_hint or boot_ms is out of range", i)
		}
		seen[t.UID] = true
		l.targets = append(l.targets, target{endpoint: t.Endpoint, Server: woodpick.Server{ID: t.UID,
			Zone: t.Zone, Cell: t.Cell, State: state, Size: t.Size, Boot: millis(t.Boot)}})
	}
	return l, nil
}

// discovery follows the list of servers and posts its changes.
type discovery struct {
	post   func(event)
	log    *slog.Logger
	wanted chan struct{}
	hold   time.Duration
	grace  time.Duration

	mu sync.Mutex
	at *place // where the list is watched now
}

// place is an address of discovery, with all that holds there only.
type place struct {
	ctx    context.Context // ends when the watch moves elsewhere
	leave  context.CancelFunc
	addr   string
	client *http.Client
	rev    int64 // the version held; -1: none, so the whole list is asked for
}

func newPlace(addr string, rev int64) *place {
	p := &place{addr: addr, rev: rev,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true}}}
	p.ctx, p.leave = context.WithCancel(context.Background())
	return p
}

func newDiscovery(cfg Config, rev int64, post func(event), log *slog.Logger) *discovery {
	return &discovery{post: post, log: log, at: newPlace(cfg.Discovery, rev),
		wanted: make(chan struct{}, 1), hold: watchHold, grace: watchGrace}
}

func (d *discovery) place() *place {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at
}

// move watches another address from now on. Versions count anew there, so its whole list is asked for;
// what the node holds stays in use until that has come. A call to the old address ends.
func (d *discovery) move(addr string) {
	d.mu.Lock()
	old := d.at
	if old.addr == addr {
		d.mu.Unlock()
		return
	}
	d.at = newPlace(addr, -1)
	d.mu.Unlock()
	old.leave()
	old.client.CloseIdleConnections()
}

// subscribe starts a watch where discovery is asked. It never blocks.
func (d *discovery) subscribe() {
	select {
	case d.wanted <- struct{}{}:
	default:
	}
}

// push watches from the start until ctx ends. The next call follows each answer at once: a watch is
// lost when it is late. Only after a failure it waits, for twice as long each time up to a bound.
func (d *discovery) push(ctx context.Context) {
	wait := backoffFirst
	for ctx.Err() == nil {
		p := d.place()
		err := d.watch(ctx, p)
		switch {
		case err == nil || p.ctx.Err() != nil:
			wait = backoffFirst
			continue
		case ctx.Err() != nil:
			return
		case wait == backoffFirst:
			d.log.Warn("discovery does not answer; asking again", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-p.ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, backoffMost)
	}
}

// ask serves Subscribes until ctx ends: a watch that goes on until it fails, which is reported once.
func (d *discovery) ask(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wanted:
		}
		for ctx.Err() == nil {
			p := d.place()
			if err := d.watch(ctx, p); err != nil && p.ctx.Err() == nil {
				if ctx.Err() == nil {
					d.log.Warn("the subscription failed", "error", err)
					d.post(listFailed{})
				}
				break
			}
		}
	}
}

// watch makes one call and posts what it tells.
func (d *discovery) watch(ctx context.Context, p *place) error {
	ctx, cancel := context.WithTimeout(ctx, d.hold+d.grace)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	u := url.URL{Scheme: "http", Host: p.addr, Path: "/registry/instances"}
	if p.rev >= 0 {
		u.RawQuery = url.Values{"from": {strconv.FormatInt(p.rev, 10)},
			"hold_ms": {strconv.FormatInt(d.hold.Milliseconds(), 10)}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	l, err := parseList(text)
	if err == nil && !l.full && l.rev < p.rev {
		err = fmt.Errorf("list: rev %d comes after %d", l.rev, p.rev)
	}
	if err != nil {
		p.rev = -1 // what the dropped answer told is missing: the whole list mends that
		return err
	}
	p.rev = l.rev
	if !l.full && len(l.targets) == 0 {
		return nil // a hold that ended without news
	}
	if p.ctx.Err() == nil {
		d.post(listNews{list: l})
	}
	return nil
}

// sleep waits for a while or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
