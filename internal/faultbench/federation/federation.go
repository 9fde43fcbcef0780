// Package federation plays a federation with real processes: gateways of several partners by `damsontrestle serve`, with their
// log servers, the links between gateways and requests to partners through relays that fail on purpose, clients who come to another
// gateway with what they had asked for, and an auditor that holds what servers ran against what clients heard. It leaves nothing
// behind: processes end with this one, and files lie in a folder that is removed.
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

// Options are how a league is made.
type Options struct {
	Binary   string // of the program, built with -tags rig where faults are asked for
	Partners int
	Gateways int // of each partner
	Boxes    int // of each partner, dealt out over two cells
	Zones    int // that each partner's gateways lie in; 0: 1
	Service  time.Duration
	Silence  time.Duration // that ends a link; 0: 1 s
	Period   time.Duration // of membership; 0: 300 ms
	Custody  string        // when_alone of all classes; empty: no replication
	Quota    string        // the body of the block quota "notes"; quota candidates are added
	Apart    bool          // each partner keeps the quota by itself: Quota is one partner's part
	Exports  func(l *League, partner int) string
	Edit     func(g *Gateway, text string) string // changes a gateway's file; nil: nothing does
	Stale    time.Duration                        // that offers are used whose links have all ended; 0: 30 s
	Links    int                                  // that each gateway holds to gateways of each partner; 0: 2
	Memory   string                               // for requests that are held; empty: 8MiB
	Deadline time.Duration                        // of classes; 0: 5 s
	Seed     uint64
	Log      func(format string, args ...any)
}

// League is one under way.
type League struct {
	o       Options
	dir     string
	part    *link.Part
	spawner *child.Spawner
	mesh    *link.Mesh
	dice    *link.Dice
	began   time.Time
	Audit   *Audit

	mu       sync.Mutex
	Gateways []*Gateway // of all partners, those of one after another
	Boxes    []*Box
	shapes   map[[2]string]link.Shape // of datagrams, between gateways by their IP addresses
}

// Gateway is one gateway.
type Gateway struct {
	league  *League
	Partner int
	Index   int // among its partner's
	Name    string
	IP      string
	Zone    string

	seen  string      // where others reach its links and datagrams
	links *link.Relay // in front of its links
	calls *link.Relay // in front of partners' requests
	file  string

	mu      sync.Mutex
	process *child.Process
	edit    func(string) string
	env     []string
}

// Name is what a partner is called.
func Name(partner int) string { return fmt.Sprintf("p%d", partner) }

// Start starts all gateways and returns once each is ready, has links to its group and to each partner, and knows their offers.
func Start(ctx context.Context, o Options) (l *League, err error) {
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
	l = &League{o: o, dice: link.NewDice(o.Seed), began: time.Now(), shapes: map[[2]string]link.Shape{}, Audit: newAudit()}
	defer func() {
		if err != nil {
			l.Close()
		}
	}()
	if l.dir, err = os.MkdirTemp("", "league"); err != nil {
		return nil, fmt.Errorf("league: %w", err)
	}
	if l.part, err = link.TakePart(); err != nil {
		return nil, err
	}
	l.spawner = child.NewSpawner()
	l.mesh = link.NewMesh(l.dice, l.between)
	for p := range o.Partners {
		if err := os.WriteFile(l.groupKey(p), []byte(fmt.Sprintf("the key of the group %s", Name(p))), 0o600); err != nil {
			return nil, fmt.Errorf("league: %w", err)
		}
		for i := range o.Boxes {
			b, err := newBox(l, p, i)
			if err != nil {
				return nil, err
			}
			l.Boxes = append(l.Boxes, b)
		}
	}
	for p := range o.Partners {
		for q := range p {
			if err := os.WriteFile(l.pairKey(p, q), []byte(fmt.Sprintf("the key of %s and %s", Name(q), Name(p))), 0o600); err != nil {
				return nil, fmt.Errorf("league: %w", err)
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

func (l *League) groupKey(p int) string { return filepath.Join(l.dir, Name(p)+".key") }

func (l *League) pairKey(p, q int) string {
	if p < q {
		p, q = q, p
	}
	return filepath.Join(l.dir, Name(q)+Name(p)+".key")
}

// Close ends all.
func (l *League) Close() {
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
	for _, b := range l.Boxes {
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

// newGateway opens what stands before a gateway.
func (l *League) newGateway(p, i int) (*Gateway, error) {
	g := &Gateway{league: l, Partner: p, Index: i, Name: fmt.Sprintf("%s-g%d", Name(p), i), Zone: fmt.Sprintf("z%d", i%l.o.Zones),
		IP: l.part.IP(1+p, 1+i)}
	own := netip.MustParseAddrPort(g.IP + ":7946")
	for range 50 { // the same port has to be free for datagrams and for links
		seen, err := l.mesh.Join(g.Name, g.IP, own)
		if err != nil {
			return nil, err
		}
		if g.links, err = link.Forward(seen, own.String(), l.dice); err == nil {
			g.seen = seen
			break
		}
	}
	if g.links == nil {
		return nil, errors.New("league: no port is free for a gateway's links")
	}
	var err error
	if g.calls, err = link.Forward("127.0.0.1:0", g.IP+":7071", l.dice); err != nil {
		return nil, err
	}
	g.file = filepath.Join(l.dir, g.Name+".hcl")
	return g, nil
}

// between is how datagrams pass between two gateways.
func (l *League) between(from, to string) link.Shape {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shapes[[2]string{from, to}]
}

// Set has everything that goes from one gateway to another pass so: links, requests and datagrams, by whoever they were opened.
func (l *League) Set(from, to *Gateway, s link.Shape) {
	// What a link says in one direction goes over the relay before the one it was opened to, or before the one that opened it.
	l.mu.Lock()
	l.shapes[[2]string{from.IP, to.IP}] = s
	there, back := l.shapes[[2]string{from.IP, to.IP}], l.shapes[[2]string{to.IP, from.IP}]
	l.mu.Unlock()
	to.links.SetFrom(from.IP, pair(there, back))
	to.calls.SetFrom(from.IP, pair(there, back))
	from.links.SetFrom(to.IP, pair(back, there))
	from.calls.SetFrom(to.IP, pair(back, there))
}

// pair is the shape of a connection whose near side speaks by one shape, and its far side by another.
func pair(there, back link.Shape) link.Shape {
	s := there.Over(back)
	s.CutThere, s.CutBack = there.CutThere, back.CutThere
	return s
}

// Cut cuts all that goes from some gateways to others, and back where both is set. It returns what mends it.
func (l *League) Cut(from, to []*Gateway, both bool) (mend func()) {
	set := func(s link.Shape) {
		for _, a := range from {
			for _, b := range to {
				if a == b {
					continue
				}
				l.Set(a, b, s)
				if both {
					l.Set(b, a, s)
				}
			}
		}
	}
	set(link.Shape{CutThere: true})
	return func() { set(link.Shape{}) }
}

// Of are the gateways of a partner, but for some.
func (l *League) Of(partner int, but ...*Gateway) (out []*Gateway) {
	for _, g := range l.Gateways {
		if g.Partner == partner && !contains(but, g) {
			out = append(out, g)
		}
	}
	return out
}

// But are all gateways but some.
func (l *League) But(but ...*Gateway) (out []*Gateway) {
	for _, g := range l.Gateways {
		if !contains(but, g) {
			out = append(out, g)
		}
	}
	return out
}

func contains(list []*Gateway, g *Gateway) bool {
	for _, o := range list {
		if o == g {
			return true
		}
	}
	return false
}

// Gateway is the i-th of a partner.
func (l *League) Gateway(partner, i int) *Gateway { return l.Gateways[partner*l.o.Gateways+i] }

// DefaultExports has each partner offer all three classes below its own name to all.
func DefaultExports(l *League, p int) string {
	var b strings.Builder
	for class, effect := range map[string]string{"view": "safe", "note": "unsafe", "log": "keyed"} {
		fmt.Fprintf(&b, "export \"%s\" {\n class = %q\n path = \"/%s/%s/\"\n all = true\n effects = [%q]\n}\n", class, class, class, Name(p), effect)
	}
	return b.String()
}

// Keepers are the blocks of a quota that name its quota candidates: the first gateways of the first partners.
func (l *League) Keepers(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(l.Gateway(i%l.o.Partners, i/l.o.Partners).keeper())
	}
	return b.String()
}

// keepersOf are such blocks of a partner's first gateways alone.
func (l *League) keepersOf(partner int) string {
	var b strings.Builder
	for i := range min(3, (l.o.Gateways-1)|1) {
		b.WriteString(l.Gateway(partner, i).keeper())
	}
	return b.String()
}

func (g *Gateway) keeper() string {
	return fmt.Sprintf(" keeper \"%s/%s\" {\n address = %q\n }\n", Name(g.Partner), g.Name, g.seen)
}

// text is a gateway's file.
func (g *Gateway) text() string {
	l, o := g.league, g.league.o
	var b strings.Builder
	w := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	w("node %q {\n zone = %q\n admin_socket = %q\n limits {\n memory = \"128MiB\"\n descriptors = 2048\n }", g.Name, g.Zone, g.socket())
	var seeds []string
	for _, s := range l.Of(g.Partner) {
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", s.seen))
		}
	}
	w(" peers {\n listen = \"%s:7946\"\n advertise = %q\n key_file = %q\n period = %q\n seeds = [%s]\n }\n}", g.IP, g.seen, l.groupKey(g.Partner), o.Period, strings.Join(seeds, ", "))
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
	for _, x := range l.Boxes {
		if x.Partner == g.Partner {
			w(" server %q {\n address = %q\n cell = %d\n }", x.Name, x.address, x.Cell)
		}
	}
	n := Name(g.Partner)
	w("}\nroute \"own\" {\n paths = [\"/view/%s/*\", \"/note/%s/*\", \"/log/%s/*\"]\n pool = \"boxes\"\n}", n, n, n)
	w("federation %q {\n listener = \"partners\"\n calls = %q\n silence = %q\n stale = %q\n memory = %q\n}", n, g.calls.Addr(), o.Silence, o.Stale, o.Memory)
	for q := range o.Partners {
		if q == g.Partner {
			continue
		}
		var at []string
		for _, x := range l.Of(q) {
			at = append(at, fmt.Sprintf("%q", x.seen))
		}
		w("partner %q {\n key_file = %q\n gateways = [%s]\n links = %d\n accept = [\"/view/%s/\", \"/note/%s/\", \"/log/%s/\"]\n}", Name(q), l.pairKey(g.Partner, q), strings.Join(at, ", "), max(1, o.Links), Name(q), Name(q), Name(q))
	}
	exports := o.Exports
	if exports == nil {
		exports = DefaultExports
	}
	w("%s", exports(l, g.Partner))
	if o.Quota != "" {
		candidates := l.Keepers(min(3, o.Partners))
		if o.Apart {
			candidates = l.keepersOf(g.Partner)
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

func (g *Gateway) socket() string { return filepath.Join(g.league.dir, g.Name+".sock") }

// Calls is where its clients come.
func (g *Gateway) Calls() string { return g.IP + ":7070" }

// Start starts its process and returns once that answers.
func (g *Gateway) Start(ctx context.Context) error {
	if err := os.WriteFile(g.file, []byte(g.text()), 0o600); err != nil {
		return fmt.Errorf("league: %w", err)
	}
	p, err := g.league.spawner.Run(exec.Command(g.league.o.Binary, "serve", g.file), nil, 64<<10, g.env, nil)
	if err != nil {
		return fmt.Errorf("league: %w", err)
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
			return fmt.Errorf("league: %s: %s", g.Name, p.Died())
		case <-ctx.Done():
			return fmt.Errorf("league: %s does not answer: %w\n%s", g.Name, ctx.Err(), p.Log)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// With has the next Start find something in the environment.
func (g *Gateway) With(env ...string) { g.env = env }

// Show is what the gateway tells of itself.
func (g *Gateway) Show(ctx context.Context) (admin.Show, error) {
	return admin.NewClient(g.socket()).Show(ctx)
}

// Change has the gateway go by an edited file, by plan and apply at once, and returns when it does.
func (g *Gateway) Change(ctx context.Context, edit func(string) string) error {
	before, err := g.Show(ctx)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.edit = edit
	p := g.process
	g.mu.Unlock()
	if err := os.WriteFile(g.file, []byte(g.text()), 0o600); err != nil {
		return fmt.Errorf("league: %w", err)
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
	return fmt.Errorf("league: %s does not take its file over: %w\n%s", g.Name, ctx.Err(), g.Log())
}

// Log is the end of its log.
func (g *Gateway) Log() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil {
		return ""
	}
	return g.process.Log.String()
}

// Signal sends its process a signal.
func (g *Gateway) Signal(sig syscall.Signal) error {
	g.mu.Lock()
	p := g.process
	g.mu.Unlock()
	if p == nil {
		return nil
	}
	return p.Signal(sig)
}

// Kill ends its process at once.
func (g *Gateway) Kill() { g.End(syscall.SIGKILL, 0) }

// End ends its process by a signal, and at once if that has no effect in time.
func (g *Gateway) End(sig syscall.Signal, within time.Duration) {
	g.mu.Lock()
	p := g.process
	g.process = nil
	g.mu.Unlock()
	if p != nil {
		p.End(sig, within)
	}
}

// Ended is closed once its process has ended by itself.
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

// now is the time of the run.
func (l *League) now() time.Duration { return time.Since(l.began) }

// Settle waits until every gateway that runs has links to all of its group, to each partner, and knows as many offers.
func (l *League) Settle(ctx context.Context, advertisements int) error {
	why := ""
	for ctx.Err() == nil {
		why = ""
		for _, g := range l.Gateways {
			if g.Log() == "" {
				continue
			}
			if w := g.unsettled(ctx, advertisements); w != "" {
				why = g.Name + ": " + w
				break
			}
		}
		if why == "" {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("league: not settled: %s", why)
}

// unsettled is what a gateway still lacks.
func (g *Gateway) unsettled(ctx context.Context, advertisements int) string {
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
	for _, o := range g.league.Of(g.Partner, g) {
		if o.Log() != "" {
			living++
		}
	}
	if to[Name(g.Partner)] < living {
		return fmt.Sprintf("%d links to its group, want %d", to[Name(g.Partner)], living)
	}
	for p := range g.league.o.Partners {
		if p != g.Partner && to[Name(p)] == 0 {
			return "no link to " + Name(p)
		}
	}
	if n := s.Status.Gateway.Routes.Advertisements; n != advertisements {
		return fmt.Sprintf("%d offers, want %d", n, advertisements)
	}
	for p := range g.league.o.Partners {
		if p != g.Partner && s.Status.Pools["partner:"+Name(p)].Requests.Ready == 0 {
			return "no gateway of " + Name(p) + " is known"
		}
	}
	return ""
}

// Cost is the resident memory of a process, on average, and the processor time of all that run.
func (l *League) Cost() (memory int64, cpu time.Duration) {
	n := int64(0)
	for _, g := range l.Gateways {
		g.mu.Lock()
		p := g.process
		g.mu.Unlock()
		if p != nil {
			c, m := child.Use(p.Cmd.Process.Pid)
			cpu += c
			memory += m
			n++
		}
	}
	return memory / max(1, n), cpu
}
