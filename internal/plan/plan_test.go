package plan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"

	"damsontrestle/internal/config"
	"damsontrestle/internal/config/configtest"
	"damsontrestle/internal/route"
)

var world = configtest.Addresses{Servers: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"},
	Listeners: []string{"127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13"}}

var made = time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)

func example(t testing.TB) *config.Config {
	t.Helper()
	c, problems := config.Load("../../deploy/damsontrestle.hcl")
	if problems.Err() != nil {
		t.Fatal(problems)
	}
	return c
}

func runningOf(c *config.Config, serial int64) Running {
	return Running{Node: c.Node.Name, Lineage: "l", Serial: serial, Fingerprint: c.Fingerprint()}
}

// Each change tells, down to the field, what becomes of it and what it does.
func TestDiffEffects(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*config.Config)
		want   string // kind name action effect: path action effect; ...
	}{
		{"nothing", func(c *config.Config) {}, ""},
		{"the order of blocks", func(c *config.Config) { c.Pools[0], c.Pools[1] = c.Pools[1], c.Pools[0] }, ""},
		{"a weight", func(c *config.Config) { c.Routes[0].To[0].Weight = 8 }, "route views change taken over live: to.boxes.weight change taken over live"},
		{"a class", func(c *config.Config) { c.Classes[0].Effect = config.Unsafe }, "class view-interval change taken over live: effect change taken over live"},
		{"the connect timeout", func(c *config.Config) { c.Pools[0].Connections.ConnectTimeout *= 2; c.Pools[0].MaxAttempts = 2 },
			"pool boxes change new connections only: attempts change taken over live; connections.connect_timeout change new connections only"},
		{"an address", func(c *config.Config) { c.Listeners[1].Address = "127.0.0.1:7072" }, "listener bridge change drains: address change drains"},
		{"how paths are taken", func(c *config.Config) { c.Listeners[1].Paths = config.StrictPaths }, "listener bridge change taken over live: paths change taken over live"},
		{"the admin socket", func(c *config.Config) { c.Node.AdminSocket = "/x"; c.Node.Limits.Memory *= 2 },
			"node  change needs a restart: admin_socket change needs a restart; limits.memory change taken over live"},
		{"a server's address", func(c *config.Config) { c.Pools[1].Servers[0].Address = "127.0.0.1:9109" },
			"pool candidate change taken over live: servers.c1.address change taken over live"},
		{"a server more", func(c *config.Config) {
			c.Pools[1].Servers = append(c.Pools[1].Servers, config.Server{Name: "c3", Address: "127.0.0.1:9103", Size: 1, State: config.Ready})
		}, "pool candidate change taken over live: servers.c3.address add taken over live; servers.c3.size add taken over live; servers.c3.state add taken over live"},
		{"a registry for a list", func(c *config.Config) {
			c.Pools[1].Servers = nil
			c.Pools[1].Registry = &config.Registry{Address: "127.0.0.1:8501", Mode: config.Pushed}
		}, "pool candidate change taken over live: registry.address add taken over live; registry.mode add taken over live; servers.c1.address remove taken over live; " +
			"servers.c1.size remove taken over live; servers.c1.state remove taken over live; servers.c1.zone remove taken over live; servers.c2.address remove taken over live; " +
			"servers.c2.size remove taken over live; servers.c2.state remove taken over live; servers.c2.zone remove taken over live"},
		{"a header without a value", func(c *config.Config) { c.Routes[1].Headers[0].Equals = nil },
			"route candidate-by-hand change taken over live: headers.X-Candidate add taken over live; headers.X-Candidate.equals remove taken over live"},
		{"a listener less", func(c *config.Config) { c.Listeners = c.Listeners[:1] },
			"listener bridge remove drains: address remove drains; paths remove drains; protocol remove drains"},
		{"a route more", func(c *config.Config) {
			c.Routes = append(c.Routes, route.Route{Name: "new", Hosts: []string{"b", "a"}, To: []route.Target{{Pool: "boxes", Weight: 1}}})
		}, "route new add taken over live: hosts add taken over live; to.boxes.weight add taken over live"},
	} {
		next := example(t)
		c.change(next)
		var got []string
		for _, d := range Diff(example(t), next) {
			var fields []string
			for _, f := range d.Fields {
				fields = append(fields, fmt.Sprintf("%s %s %s", f.Path, f.Action, f.Effect))
			}
			got = append(got, fmt.Sprintf("%s %s %s %s: %s", d.Kind, d.Name, d.Action, d.Effect, strings.Join(fields, "; ")))
		}
		if s := strings.Join(got, "\n"); s != c.want {
			t.Errorf("%s:\ngot  %s\nwant %s", c.name, s, c.want)
		}
	}
}

func TestText(t *testing.T) {
	next := example(t)
	next.Pools[0].MaxAttempts = 2
	next.Listeners = next.Listeners[:1]
	next.Node.Zone = "karunagappally"
	got := Text(Diff(example(t), next))
	want := `  ~ node: part of it needs a restart
      ~ zone = "chavara" -> "karunagappally"  (needs a restart)

  - listener "bridge": accepts no more; its callers are answered and let go
      - address  = "127.0.0.1:7071"
      - paths    = "normalize"
      - protocol = "http1"

  ~ pool "boxes": taken over live
      ~ attempts = 4 -> 2  (taken over live)

Plan: 0 to add, 2 to change, 1 to remove.
`
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	if r := Restarts(Diff(example(t), next)); !reflect.DeepEqual(r, []string{"node.zone"}) {
		t.Errorf("%v", r)
	}
}

// A plan holds exactly the new configuration, and nothing of it can be changed unseen.
func TestPlanRoundTrip(t *testing.T) {
	old, next := example(t), example(t)
	next.Pools[0].MaxAttempts = 2
	p := Make(runningOf(old, 3), old, next, Source{"f.hcl", Digest([]byte("text"))}, "/run/admin", made)
	text, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	back, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(back.Config.Canonical(), next.Canonical()) || back.Base != p.Base || back.Source != p.Source || len(back.Changes) != 1 {
		t.Errorf("%+v", back)
	}
	if err := back.Fits(runningOf(old, 3)); err != nil {
		t.Error(err)
	}
}

// When a plan was made is for people to read: it fits or does not under any clock.
func TestPlanTimeHasNoEffect(t *testing.T) {
	old, next := example(t), example(t)
	next.Pools[0].MaxAttempts = 2
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		p := Make(runningOf(old, 3), old, next, Source{"f.hcl", Digest([]byte("text"))}, "/run/admin", made.Add(step))
		if err := p.Fits(runningOf(old, 3)); err != nil {
			t.Errorf("made %v from now: %v", step, err)
		}
		if err := p.Fits(runningOf(old, 4)); !errors.Is(err, ErrStale) {
			t.Errorf("made %v from now, for what no longer runs: %v", step, err)
		}
	}
}

func TestRejectedPlans(t *testing.T) {
	old, next := example(t), example(t)
	next.Pools[0].MaxAttempts = 2
	p := Make(runningOf(old, 3), old, next, Source{"f.hcl", "d"}, "/run/admin", made)
	text, _ := p.Encode()
	edit := func(old, new string) []byte {
		out := bytes.Replace(text, []byte(old), []byte(new), 1)
		if bytes.Equal(out, text) {
			t.Fatalf("%s is not in the plan", old)
		}
		return out
	}
	invalid := example(t)
	invalid.Pools[0].MaxAttempts = 99
	invalidText, _ := Make(runningOf(old, 3), old, invalid, Source{}, "/run/admin", made).Encode()
	for name, c := range map[string]struct {
		text []byte
		is   error
		say  string
	}{
		"nothing":              {nil, ErrUnreadable, ""},
		"cut short":            {text[:len(text)/2], ErrUnreadable, "cut short after"},
		"cut by a byte":        {text[:len(text)-2], ErrUnreadable, "cut short after"},
		"an edited field":      {edit(`"attempts":2`, `"attempts":5`), ErrUnreadable, "digest"},
		"an edited base":       {edit(`"serial":3`, `"serial":4`), ErrUnreadable, "digest"},
		"an unknown field":     {edit(`"attempts":2`, `"attempts":2,"more":1`), ErrUnreadable, "more"},
		"no configuration":     {[]byte(`{"format":1}`), ErrUnreadable, "no configuration"},
		"a newer format":       {edit(`"format":1`, `"format":2`), ErrNewer, "2; this program reads 1"},
		"no format":            {[]byte(`{}`), ErrUnreadable, "no format"},
		"something behind":     {append(bytes.Clone(text), "{}"...), ErrUnreadable, ""},
		"no JSON":              {[]byte("plan"), ErrUnreadable, ""},
		"what no check passes": {invalidText, ErrInvalid, "pool.boxes.attempts: found 99; allowed: 1 to 16"},
		"too long":             {make([]byte, MaxPlan+1), ErrUnreadable, "longer"},
	} {
		if _, err := Decode(c.text); !errors.Is(err, c.is) || !strings.Contains(err.Error(), c.say) {
			t.Errorf("%s: %v", name, err)
		}
	}
	other := runningOf(old, 3)
	other.Node = "n2"
	begun := runningOf(old, 3)
	begun.Lineage = "m"
	restarted := runningOf(old, 3)
	restarted.Incarnation = "2"
	for name, c := range map[string]struct {
		now Running
		is  error
		say string
	}{
		"another apply came between": {runningOf(next, 4), ErrStale, "serial 4"},
		"and a rollback":             {runningOf(old, 5), ErrStale, "serial 5"},
		"another state":              {begun, ErrStale, "new state"},
		"a restart":                  {restarted, ErrStale, "started again"},
		"another node":               {other, ErrOtherNode, `"annot-1", this is "n2"`},
	} {
		if err := p.Fits(c.now); !errors.Is(err, c.is) || !strings.Contains(err.Error(), c.say) {
			t.Errorf("%s: %v", name, err)
		}
	}
	renamed := example(t)
	renamed.Node.Name = "n2"
	if err := Make(runningOf(old, 3), old, renamed, Source{}, "/run/admin", made).Fits(runningOf(old, 3)); !errors.Is(err, ErrOtherNode) {
		t.Errorf("another name: %v", err)
	}
}

// For any two configurations a plan says no change exactly if they mean the same, and what it holds is the
// second one completely.
func TestDiffIsEmptyOnlyForEqualConfigurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := configtest.Draw(t, world), configtest.Draw(t, world)
		if rapid.IntRange(0, 3).Draw(t, "same") == 0 {
			text, _ := json.Marshal(a)
			b = new(config.Config)
			if err := json.Unmarshal(text, b); err != nil {
				t.Fatal(err)
			}
		}
		p := Make(runningOf(a, 1), a, b, Source{}, "/run/admin", made)
		if (len(p.Changes) == 0) != (a.Fingerprint() == b.Fingerprint()) {
			t.Fatalf("%d changes, fingerprints %s and %s", len(p.Changes), a.Fingerprint(), b.Fingerprint())
		}
		text, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(text)
		if err != nil {
			t.Fatal(err)
		}
		if back.Config.Fingerprint() != b.Fingerprint() || len(Diff(b, back.Config)) != 0 {
			t.Fatal("the plan holds something else")
		}
		for _, c := range p.Changes {
			for _, f := range c.Fields {
				if string(f.Old) == string(f.New) {
					t.Fatalf("%s %s %s changes from %s to %s", c.Kind, c.Name, f.Path, f.Old, f.New)
				}
			}
		}
	})
}

// No text has Decode crash, and one that it takes is a plan whose every part fits.
func FuzzDecode(f *testing.F) {
	old, next := example(f), example(f)
	next.Pools[0].MaxAttempts = 2
	text, _ := Make(runningOf(old, 3), old, next, Source{"f.hcl", "d"}, "/run/admin", made).Encode()
	f.Add(text)
	f.Add(text[:len(text)/2])
	for _, s := range []string{"", "{}", `{"format":2}`, `{"format":1,"config":null}`, `[]`, `{"format":1}{}`, `{"format":1e9}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := Decode(text)
		if err != nil {
			return
		}
		if p.Config.Check().Err() != nil || p.Digest != p.digest() || p.Result != p.Config.Fingerprint() {
			t.Fatal("a plan that does not hold together was taken")
		}
	})
}

// bigPair are two configurations of 1,000 pools and 10,000 routes that differ in a tenth of both.
func bigPair() (old, next *config.Config) {
	make := func(changed int) *config.Config {
		c := &config.Config{Node: config.Node{Name: "n", Limits: config.Limits{Memory: 8 << 30, Descriptors: 1 << 20, Cores: 1}},
			Classes:   []config.Class{{Name: "view", Effect: config.Safe, LatencyObjective: config.Duration(time.Second), Deadline: config.Duration(time.Second), PriorityWeight: 1}},
			Listeners: []config.Listener{{Name: "main", Address: "127.0.0.1:7070", Protocol: config.HTTP1, Paths: config.StrictPaths}}}
		for i := range 1000 {
			p := config.Pool{Name: fmt.Sprint("pool-", i), Protocol: config.HTTP1, MaxAttempts: 3, MayCancel: true, Tick: config.Duration(time.Millisecond),
				Balancers: config.Balancers{Count: 1}, Shedding: config.Shedding{Total: 1}, SlowStart: config.SlowStart{Minimum: 1},
				Connections: config.Connections{Max: 64, IdleTimeout: config.Duration(time.Minute), ConnectTimeout: config.Duration(time.Second)}}
			for k := range 3 {
				p.Servers = append(p.Servers, config.Server{Name: fmt.Sprint("s", k), Address: fmt.Sprintf("127.%d.%d.%d:9000", i/250+1, i%250, k+1), Size: 1, State: config.Ready})
			}
			if i%10 < changed {
				p.MaxAttempts = 2
			}
			c.Pools = append(c.Pools, p)
		}
		for i := range 10000 {
			r := route.Route{Name: fmt.Sprint("r", i), Hosts: []string{fmt.Sprintf("h%d.example", i)}, To: []route.Target{{Pool: fmt.Sprint("pool-", i%1000), Weight: 1}}}
			if i%10 < changed {
				r.To[0].Weight = 2
			}
			c.Routes = append(c.Routes, r)
		}
		c.Routes = append(c.Routes, route.Route{Name: "rest", Default: true, To: []route.Target{{Pool: "pool-0", Weight: 1}}})
		return c
	}
	return make(0), make(1)
}

// BenchmarkPlan1000Pools10000Routes is all steps of a plan: check, difference, writing, reading again.
func BenchmarkPlan1000Pools10000Routes(b *testing.B) {
	old, next := bigPair()
	b.ReportAllocs()
	for b.Loop() {
		if err := next.Check().Err(); err != nil {
			b.Fatal(err)
		}
		p := Make(runningOf(old, 1), old, next, Source{}, "/run/admin", made)
		text, err := p.Encode()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := Decode(text); err != nil {
			b.Fatal(err)
		}
		if len(p.Changes) != 1100 {
			b.Fatal(len(p.Changes))
		}
	}
}
