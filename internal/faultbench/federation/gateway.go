package federation

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/faultbench/child"
	"damsontrestle/internal/faultbench/link"
)

// Gateway is a gateway process with the relays in front of it.
type Gateway struct {
	federation *Federation
	Partner    int
	Index      int // within its partner
	Name       string
	IP         string
	Zone       string

	advertised string      // address at which others reach its links and datagrams
	links      *link.Relay // for links
	calls      *link.Relay // for requests of partners
	file       string

	mu      sync.Mutex
	process *child.Process
	edit    func(string) string
	env     []string
}

// newGateway opens the relays in front of a gateway.
func (l *Federation) newGateway(p, i int) (*Gateway, error) {
	g := &Gateway{federation: l, Partner: p, Index: i, Name: fmt.Sprintf("%s-g%d", PartnerName(p), i), Zone: fmt.Sprintf("z%d", i%l.options.Zones),
		IP: l.part.IP(1+p, 1+i)}
	own := netip.MustParseAddrPort(g.IP + ":7946")
	for range 50 { // the same port must be free for datagrams and for links
		seen, err := l.mesh.Join(g.Name, g.IP, own)
		if err != nil {
			return nil, err
		}
		if g.links, err = link.Forward(seen, own.String(), l.dice); err == nil {
			g.advertised = seen
			break
		}
	}
	if g.links == nil {
		return nil, errors.New("federation: reserve port for links: no port is free for both UDP and TCP")
	}
	var err error
	if g.calls, err = link.Forward("127.0.0.1:0", g.IP+":7071", l.dice); err != nil {
		return nil, err
	}
	g.file = filepath.Join(l.dir, g.Name+".hcl")
	return g, nil
}

func (g *Gateway) quotaCandidate() string {
	return fmt.Sprintf(" keeper \"%s/%s\" {\n address = %q\n }\n", PartnerName(g.Partner), g.Name, g.advertised)
}

// configText returns the gateway's configuration file.
func (g *Gateway) configText() string {
	l, o := g.federation, g.federation.options
	var b strings.Builder
	w := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	w("node %q {\n zone = %q\n admin_socket = %q\n limits {\n memory = \"128MiB\"\n descriptors = 2048\n }", g.Name, g.Zone, g.socket())
	var seeds []string
	for _, s := range l.PartnerGateways(g.Partner) {
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", s.advertised))
		}
	}
	w(" peers {\n listen = \"%s:7946\"\n advertise = %q\n key_file = %q\n period = %q\n seeds = [%s]\n }\n}", g.IP, g.advertised, l.groupKey(g.Partner), o.Period, strings.Join(seeds, ", "))
	for _, c := range [][2]string{{"view", "safe"}, {"note", "unsafe"}, {"log", "keyed"}} {
		w("class %q {\n effect = %q\n aim = %q\n deadline = %q", c[0], c[1], o.Deadline, o.Deadline)
		if c[1] == "keyed" {
			w(" key_scope = \"cell\"\n window = \"30s\"")
		}
		if o.Custody != "" {
			w(" custody {\n when_alone = %q\n }", o.Custody)
		}
		w("}")
	}
	w("listener \"callers\" {\n address = \"%s:7070\"\n}\nlistener \"partners\" {\n address = \"%s:7071\"\n}", g.IP, g.IP)
	w("pool \"boxes\" {\n attempts = 3\n copies {\n count = %d\n index = %d\n }\n connections {\n most = 100\n idle = \"60s\"\n connect_timeout = \"1s\"\n }", o.Gateways, g.Index)
	for _, x := range l.Servers {
		if x.Partner == g.Partner {
			w(" server %q {\n address = %q\n cell = %d\n }", x.Name, x.address, x.Cell)
		}
	}
	n := PartnerName(g.Partner)
	w("}\nroute \"own\" {\n paths = [\"/view/%s/*\", \"/note/%s/*\", \"/log/%s/*\"]\n pool = \"boxes\"\n}", n, n, n)
	w("federation %q {\n listener = \"partners\"\n calls = %q\n silence = %q\n stale = %q\n memory = %q\n}", n, g.calls.Addr(), o.Silence, o.Stale, o.Memory)
	for q := range o.Partners {
		if q == g.Partner {
			continue
		}
		var at []string
		for _, x := range l.PartnerGateways(q) {
			at = append(at, fmt.Sprintf("%q", x.advertised))
		}
		w("partner %q {\n key_file = %q\n gateways = [%s]\n links = %d\n accept = [\"/view/%s/\", \"/note/%s/\", \"/log/%s/\"]\n}", PartnerName(q), l.pairKey(g.Partner, q), strings.Join(at, ", "), max(1, o.Links), PartnerName(q), PartnerName(q), PartnerName(q))
	}
	exports := o.Exports
	if exports == nil {
		exports = DefaultExports
	}
	w("%s", exports(l, g.Partner))
	if o.Quota != "" {
		candidates := l.QuotaCandidates(min(3, o.Partners))
		if o.QuotaPerPartner {
			candidates = l.partnerQuotaCandidates(g.Partner)
		}
		w("quota \"notes\" {\n%s\n%s}", o.Quota, candidates)
	}
	text := b.String()
	if o.Edit != nil {
		text = o.Edit(g, text)
	}
	g.mu.Lock()
	edit := g.edit
	g.mu.Unlock()
	if edit != nil {
		text = edit(text)
	}
	return text
}

func (g *Gateway) socket() string { return filepath.Join(g.federation.dir, g.Name+".sock") }

// Address returns the address for clients.
func (g *Gateway) Address() string { return g.IP + ":7070" }

// Start starts the process and returns once it answers on its admin socket.
func (g *Gateway) Start(ctx context.Context) error {
	if err := os.WriteFile(g.file, []byte(g.configText()), 0o600); err != nil {
		return fmt.Errorf("federation: %w", err)
	}
	p, err := g.federation.spawner.Run(exec.Command(g.federation.options.Binary, "serve", g.file), nil, 64<<10, g.env, nil)
	if err != nil {
		return fmt.Errorf("federation: %w", err)
	}
	g.mu.Lock()
	g.process = p
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for {
		if _, err := g.Show(ctx); err == nil {
			return nil
		}
		select {
		case <-p.Done:
			return fmt.Errorf("federation: %s: %s", g.Name, p.UnexpectedExit())
		case <-ctx.Done():
			return fmt.Errorf("federation: %s: wait for admin socket: %w\n%s", g.Name, ctx.Err(), p.Log)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// SetEnv sets additional environment variables for the next Start.
func (g *Gateway) SetEnv(env ...string) { g.env = env }

// Show returns the response of the admin endpoint show.
func (g *Gateway) Show(ctx context.Context) (admin.ShowResponse, error) {
	return admin.NewClient(g.socket()).Show(ctx)
}

// Reconfigure edits the gateway's file, sends SIGHUP, and returns once the new configuration is applied.
func (g *Gateway) Reconfigure(ctx context.Context, edit func(string) string) error {
	before, err := g.Show(ctx)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.edit = edit
	p := g.process
	g.mu.Unlock()
	if err := os.WriteFile(g.file, []byte(g.configText()), 0o600); err != nil {
		return fmt.Errorf("federation: %w", err)
	}
	if err := p.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	for ctx.Err() == nil {
		if now, err := g.Show(ctx); err == nil && now.Serial > before.Serial {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("federation: %s: wait for configuration to be applied: %w\n%s", g.Name, ctx.Err(), g.Log())
}

// Log returns the end of the process's log, or "" if no process was started or it was stopped.
func (g *Gateway) Log() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return ""
	}
	return g.process.Log.String()
}

// Signal sends a signal to the process, if there is one.
func (g *Gateway) Signal(sig syscall.Signal) error {
	g.mu.Lock()
	p := g.process
	g.mu.Unlock()
	if p == nil {
		return nil
	}
	return p.Signal(sig)
}

// Kill stops the process with SIGKILL.
func (g *Gateway) Kill() { g.Stop(syscall.SIGKILL, 0) }

// Stop sends a signal to the process, and SIGKILL if it has not exited in time.
func (g *Gateway) Stop(sig syscall.Signal, within time.Duration) {
	g.mu.Lock()
	p := g.process
	g.process = nil
	g.mu.Unlock()
	if p != nil {
		p.Stop(sig, within)
	}
}

// Ended returns a channel that is closed once the process has exited.
func (g *Gateway) Ended() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	return g.process.Done
}

// missing describes the first thing that the gateway still lacks to be settled, or returns "".
func (g *Gateway) missing(ctx context.Context, advertisements int) string {
	s, err := g.Show(ctx)
	if err != nil || s.Status.Gateway == nil {
		return fmt.Sprint(err)
	}
	to := map[string]int{}
	for _, k := range s.Status.Gateway.Links {
		p, _, _ := strings.Cut(k.Gateway, "/")
		to[p]++
	}
	living := 0
	for _, o := range g.federation.PartnerGateways(g.Partner, g) {
		if o.Log() != "" {
			living++
		}
	}
	if to[PartnerName(g.Partner)] < living {
		return fmt.Sprintf("%d links to its group, want %d", to[PartnerName(g.Partner)], living)
	}
	for p := range g.federation.options.Partners {
		if p != g.Partner && to[PartnerName(p)] == 0 {
			return "no link to " + PartnerName(p)
		}
	}
	if n := s.Status.Gateway.Routes.Advertisements; n != advertisements {
		return fmt.Sprintf("%d advertisements, want %d", n, advertisements)
	}
	for p := range g.federation.options.Partners {
		if p != g.Partner && s.Status.Pools["partner:"+PartnerName(p)].Requests.Ready == 0 {
			return "no gateway of " + PartnerName(p) + " is known"
		}
	}
	return ""
}
