// Package federation runs a federation of real processes: gateways of several partners started by `damsontrestle serve`, their log
// servers, relays that inject faults into links between gateways and requests to partners, clients that retry at other gateways,
// and an auditor that compares the runs of servers with the outcomes seen by clients. It cleans up after itself: child processes
// end with this process, and files are kept in a temporary folder that is removed.
package federation

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"damsontrestle/internal/faultbench/child"
	"damsontrestle/internal/faultbench/link"
)

// Options configures a federation.
type Options struct {
	Binary          string // path of the program; built with -tags rig if faults are injected
	Partners        int
	Gateways        int // of each partner
	Servers         int // of each partner, distributed over two cells
	Zones           int // of each partner's gateways; 0: 1
	Service         time.Duration
	Silence         time.Duration // after which a silent link is closed; 0: 1 s
	Period          time.Duration // of membership probes; 0: 300 ms
	Custody         string        // when_alone of all classes; empty: no replication
	Quota           string        // body of the block quota "notes"; quota candidates are appended
	QuotaPerPartner bool          // each partner has its own quota; Quota is one partner's share
	Exports         func(l *Federation, partner int) string
	Edit            func(g *Gateway, text string) string // edits a gateway's file; optional
	Stale           time.Duration                        // how long advertisements are used after all their links have closed; 0: 30 s
	Links           int                                  // from each gateway to gateways of each partner; 0: 2
	Memory          string                               // for replicated requests; empty: 8MiB
	Deadline        time.Duration                        // of classes; 0: 5 s
	Seed            uint64
	Log             func(format string, args ...any)
}

// Federation is a running federation.
type Federation struct {
	options   Options
	dir       string
	part      *link.Subnet
	spawner   *child.Spawner
	mesh      *link.Mesh
	dice      *link.Random
	startTime time.Time
	Auditor   *Auditor

	mu       sync.Mutex
	Gateways []*Gateway // grouped by partner
	Servers  []*Server
	shapes   map[[2]string]link.Shape // of datagrams, by source and destination IP address
}

// PartnerName returns the name of a partner.
func PartnerName(partner int) string { return fmt.Sprintf("p%d", partner) }

// Start starts all gateways and servers and returns once every gateway answers on its admin socket.
func Start(ctx context.Context, o Options) (l *Federation, err error) {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	o.Zones = max(1, o.Zones)
	if o.Silence == 0 {
		o.Silence = time.Second
	}
	if o.Period == 0 {
		o.Period = 300 * time.Millisecond
	}
	if o.Stale == 0 {
		o.Stale = 30 * time.Second
	}
	if o.Links == 0 {
		o.Links = 2
	}
	if o.Memory == "" {
		o.Memory = "8MiB"
	}
	if o.Deadline == 0 {
		o.Deadline = 5 * time.Second
	}
	l = &Federation{options: o, dice: link.NewRandom(o.Seed), startTime: time.Now(), shapes: map[[2]string]link.Shape{}, Auditor: newAuditor()}
	defer func() {
		if err != nil {
			l.Close()
		}
	}()
	if l.dir, err = os.MkdirTemp("", "league"); err != nil {
		return nil, fmt.Errorf("federation: %w", err)
	}
	if l.part, err = link.AcquireSubnet(); err != nil {
		return nil, err
	}
	l.spawner = child.NewSpawner()
	l.mesh = link.NewMesh(l.dice, l.datagramShape)
	for p := range o.Partners {
		if err := os.WriteFile(l.groupKey(p), []byte(fmt.Sprintf("the key of the group %s", PartnerName(p))), 0o600); err != nil {
			return nil, fmt.Errorf("federation: %w", err)
		}
		for i := range o.Servers {
			b, err := newServer(l, p, i)
			if err != nil {
				return nil, err
			}
			l.Servers = append(l.Servers, b)
		}
	}
	for p := range o.Partners {
		for q := range p {
			if err := os.WriteFile(l.pairKey(p, q), []byte(fmt.Sprintf("the key of %s and %s", PartnerName(q), PartnerName(p))), 0o600); err != nil {
				return nil, fmt.Errorf("federation: %w", err)
			}
		}
		for i := range o.Gateways {
			g, err := l.newGateway(p, i)
			if err != nil {
				return nil, err
			}
			l.Gateways = append(l.Gateways, g)
		}
	}
	errs := make([]error, len(l.Gateways))
	turn := make(chan struct{}, 16)
	var all sync.WaitGroup
	for i, g := range l.Gateways {
		turn <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			defer func() { <-turn }()
			errs[i] = g.Start(ctx)
		}()
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Federation) groupKey(p int) string { return filepath.Join(l.dir, PartnerName(p)+".key") }

func (l *Federation) pairKey(p, q int) string {
	if p < q {
		p, q = q, p
	}
	return filepath.Join(l.dir, PartnerName(q)+PartnerName(p)+".key")
}

// Close stops all processes, servers and relays and removes the files.
func (l *Federation) Close() {
	if l.spawner != nil {
		l.spawner.Close()
	}
	var all sync.WaitGroup
	for _, g := range l.Gateways {
		all.Add(1)
		go func() {
			defer all.Done()
			g.Kill()
			for _, r := range []*link.Relay{g.links, g.calls} {
				if r != nil {
					r.Close()
				}
			}
		}()
	}
	for _, b := range l.Servers {
		b.close()
	}
	if l.mesh != nil {
		l.mesh.Close()
	}
	all.Wait()
	if l.part != nil {
		l.part.Close()
	}
	if l.dir != "" {
		os.RemoveAll(l.dir)
	}
}

// Gateway returns the i-th gateway of a partner.
func (l *Federation) Gateway(partner, i int) *Gateway {
	return l.Gateways[partner*l.options.Gateways+i]
}

// DefaultExports returns export blocks that offer all three classes under the partner's own name to all partners.
func DefaultExports(l *Federation, p int) string {
	var b strings.Builder
	for class, effect := range map[string]string{"view": "safe", "note": "unsafe", "log": "keyed"} {
		fmt.Fprintf(&b, "export \"%s\" {\n class = %q\n path = \"/%s/%s/\"\n all = true\n effects = [%q]\n}\n", class, class, class, PartnerName(p), effect)
	}
	return b.String()
}

// QuotaCandidates returns the keeper blocks of a quota with n candidates: the first gateways of the partners in turn.
func (l *Federation) QuotaCandidates(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(l.Gateway(i%l.options.Partners, i/l.options.Partners).quotaCandidate())
	}
	return b.String()
}

// partnerQuotaCandidates returns the keeper blocks for the first gateways of one partner.
func (l *Federation) partnerQuotaCandidates(partner int) string {
	var b strings.Builder
	for i := range min(3, (l.options.Gateways-1)|1) {
		b.WriteString(l.Gateway(partner, i).quotaCandidate())
	}
	return b.String()
}

// elapsed returns the time since the start of the run.
func (l *Federation) elapsed() time.Duration { return time.Since(l.startTime) }

// Settle waits until every running gateway has links to its whole group and to each partner, and has as many advertisements as
// given.
func (l *Federation) Settle(ctx context.Context, advertisements int) error {
	missing := ""
	for ctx.Err() == nil {
		missing = ""
		for _, g := range l.Gateways {
			if g.Log() == "" {
				continue
			}
			if w := g.missing(ctx, advertisements); w != "" {
				missing = g.Name + ": " + w
				break
			}
		}
		if missing == "" {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("federation: wait for gateways to settle: %s", missing)
}

// Cost returns the mean resident memory of a running gateway and the total processor time of all running gateways.
func (l *Federation) Cost() (memory int64, cpu time.Duration) {
	n := int64(0)
	for _, g := range l.Gateways {
		g.mu.Lock()
		p := g.process
		g.mu.Unlock()
		if p != nil {
			c, m := child.ResourceUsage(p.Cmd.Process.Pid)
			cpu += c
			memory += m
			n++
		}
	}
	return memory / max(1, n), cpu
}
