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

var testWorld = configtest.Addresses{Servers: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"},
	Listeners: []string{"127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13"}}

var testTime = time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)

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

// Each change lists its action and effect, and those of each field.
func TestDiffEffects(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*config.Config)
		want   string // kind name action effect: path action effect; ...
	}{
		{"no change", func(c *config.Config) {}, ""},
		{"the order of blocks", func(c *config.Config) { c.Pools[0], c.Pools[1] = c.Pools[1], c.Pools[0] }, ""},
		{"a weight", func(c *config.Config) { c.Routes[0].To[0].Weight = 8 }, "route views change taken over live: to.boxes.weight change taken over live"},
		{"a class", func(c *config.Config) { c.Classes[0].Effect = config.Unsafe }, "class view-interval change taken over live: effect change taken over live"},
		{"the connect timeout", func(c *config.Config) { c.Pools[0].Connections.ConnectTimeout *= 2; c.Pools[0].MaxAttempts = 2 },
			"pool boxes change new connections only: attempts change taken over live; connections.connect_timeout change new connections only"},
		{"an address", func(c *config.Config) { c.Listeners[1].Address = "127.0.0.1:7072" }, "listener bridge change drains: address change drains"},
		{"the path normalization", func(c *config.Config) { c.Listeners[1].Paths = config.StrictPaths }, "listener bridge change taken over live: paths change taken over live"},
		{"the admin socket", func(c *config.Config) { c.Node.AdminSocket = "/x"; c.Node.Limits.Memory *= 2 },
			"node  change needs a restart: admin_socket change needs a restart; limits.memory change taken over live"},
		{"a server's address", func(c *config.Config) { c.Pools[1].Servers[0].Address = "127.0.0.1:9109" },
			"pool candidate change taken over live: servers.c1.address change taken over live"},
		{"an added server", func(c *config.Config) {
			c.Pools[1].Servers = append(c.Pools[1].Servers, config.Server{Name: "c3", Address: "127.0.0.1:9103", Size: 1, State: config.Ready})
		}, "pool candidate change taken over live: servers.c3.address add taken over live; servers.c3.size add taken over live; servers.c3.state add taken over live"},
		{"a registry instead of a list", func(c *config.Config) {
			c.Pools[1].Servers = nil
			c.Pools[1].Registry = &config.Registry{Address: "127.0.0.1:8501", Mode: config.Pushed}
		}, "pool candidate change taken over live: registry.address add taken over live; registry.mode add taken over live; servers.c1.address remove taken over live; " +
			"servers.c1.size remove taken over live; servers.c1.state remove taken over live; servers.c1.zone remove taken over live; servers.c2.address remove taken over live; " +
			"servers.c2.size remove taken over live; servers.c2.state remove taken over live; servers.c2.zone remove taken over live"},
		{"a header condition without its value", func(c *config.Config) { c.Routes[1].Headers[0].Equals = nil },
			"route candidate-by-hand change taken over live: headers.X-Candidate add taken over live; headers.X-Candidate.equals remove taken over live"},
		{"a removed listener", func(c *config.Config) { c.Listeners = c.Listeners[:1] },
			"listener bridge remove drains: address remove drains; paths remove drains; protocol remove drains"},
		{"an added route", func(c *config.Config) {
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

func TestFormatChanges(t *testing.T) {
	next := example(t)
	next.Pools[0].MaxAttempts = 2
	next.Listeners = next.Listeners[:1]
	next.Node.Zone = "karunagappally"
	got := FormatChanges(Diff(example(t), next))
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
	if fields := RestartFields(Diff(example(t), next)); !reflect.DeepEqual(fields, []string{"node.zone"}) {
		t.Errorf("got restart fields %v, want node.zone", fields)
	}
}

// A decoded plan holds exactly the new configuration and may be applied to its base. TestRejectedPlans covers changes to an encoded
// plan.
func TestPlanRoundTrip(t *testing.T) {
	old, next := example(t), example(t)
	next.Pools[0].MaxAttempts = 2
	p := New(runningOf(old, 3), old, next, Source{"f.hcl", Digest([]byte("text"))}, "/run/admin", testTime)
	text, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	back, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(back.Config.Canonical(), next.Canonical()) || back.Base != p.Base || back.Source != p.Source || len(back.Changes) != 1 {
		t.Errorf("the decoded plan differs: %+v", back)
	}
	if err := back.CheckBase(runningOf(old, 3)); err != nil {
		t.Error(err)
	}
}

// The creation time of a plan is informative: whether the plan may be applied does not depend on the clock.
func TestPlanTimeHasNoEffect(t *testing.T) {
	old, next := example(t), example(t)
	next.Pools[0].MaxAttempts = 2
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		p := New(runningOf(old, 3), old, next, Source{"f.hcl", Digest([]byte("text"))}, "/run/admin", testTime.Add(step))
		if err := p.CheckBase(runningOf(old, 3)); err != nil {
			t.Errorf("created %v from now: %v", step, err)
		}
		if err := p.CheckBase(runningOf(old, 4)); !errors.Is(err, ErrStale) {
			t.Errorf("created %v from now, for a configuration that no longer runs: got %v, want %v", step, err, ErrStale)
		}
	}
}

func TestRejectedPlans(t *testing.T) {
	old, next := example(t), example(t)
	next.Pools[0].MaxAttempts = 2
	p := New(runningOf(old, 3), old, next, Source{"f.hcl", "d"}, "/run/admin", testTime)
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
	invalidText, _ := New(runningOf(old, 3), old, invalid, Source{}, "/run/admin", testTime).Encode()
	for name, c := range map[string]struct {
		text    []byte
		want    error
		message string
	}{
		"empty":                 {nil, ErrUnreadable, ""},
		"cut short":             {text[:len(text)/2], ErrUnreadable, "cut short after"},
		"cut short by a byte":   {text[:len(text)-2], ErrUnreadable, "cut short after"},
		"an edited field":       {edit(`"attempts":2`, `"attempts":5`), ErrUnreadable, "digest"},
		"an edited base":        {edit(`"serial":3`, `"serial":4`), ErrUnreadable, "digest"},
		"an unknown field":      {edit(`"attempts":2`, `"attempts":2,"more":1`), ErrUnreadable, "more"},
		"no configuration":      {[]byte(`{"format":1}`), ErrUnreadable, "no configuration"},
		"a newer format":        {edit(`"format":1`, `"format":2`), ErrNewer, "2; this program reads 1"},
		"no format":             {[]byte(`{}`), ErrUnreadable, "no format"},
		"trailing data":         {append(bytes.Clone(text), "{}"...), ErrUnreadable, ""},
		"not JSON":              {[]byte("plan"), ErrUnreadable, ""},
		"invalid configuration": {invalidText, ErrInvalid, "pool.boxes.attempts: found 99; allowed: 1 to 16"},
		"too long":              {make([]byte, MaxSize+1), ErrUnreadable, "longer"},
	} {
		if _, err := Decode(c.text); !errors.Is(err, c.want) || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: got error %v, want %v with %q", name, err, c.want, c.message)
		}
	}
	other := runningOf(old, 3)
	other.Node = "n2"
	newLineage := runningOf(old, 3)
	newLineage.Lineage = "m"
	restarted := runningOf(old, 3)
	restarted.Incarnation = "2"
	for name, c := range map[string]struct {
		now     Running
		want    error
		message string
	}{
		"after another apply":           {runningOf(next, 4), ErrStale, "serial 4"},
		"after an apply and a rollback": {runningOf(old, 5), ErrStale, "serial 5"},
		"another state folder":          {newLineage, ErrStale, "new state"},
		"a restart":                     {restarted, ErrStale, "started again"},
		"another node":                  {other, ErrOtherNode, `"annot-1", this node is "n2"`},
	} {
		if err := p.CheckBase(c.now); !errors.Is(err, c.want) || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: got error %v, want %v with %q", name, err, c.want, c.message)
		}
	}
	renamed := example(t)
	renamed.Node.Name = "n2"
	if err := New(runningOf(old, 3), old, renamed, Source{}, "/run/admin", testTime).CheckBase(runningOf(old, 3)); !errors.Is(err, ErrOtherNode) {
		t.Errorf("renamed node: got %v, want %v", err, ErrOtherNode)
	}
}

// For any two configurations a plan has no changes if and only if their fingerprints are equal, and it holds the
// complete second configuration.
func TestDiffIsEmptyOnlyForEqualConfigurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := configtest.Draw(t, testWorld), configtest.Draw(t, testWorld)
		if rapid.IntRange(0, 3).Draw(t, "same") == 0 {
			text, _ := json.Marshal(a)
			b = new(config.Config)
			if err := json.Unmarshal(text, b); err != nil {
				t.Fatal(err)
			}
		}
		p := New(runningOf(a, 1), a, b, Source{}, "/run/admin", testTime)
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
			t.Fatal("the decoded plan holds another configuration")
		}
		for _, c := range p.Changes {
			for _, f := range c.Fields {
				if string(f.Old) == string(f.New) {
					t.Fatalf("%s %s %s: listed as a change from %s to %s", c.Kind, c.Name, f.Path, f.Old, f.New)
				}
			}
		}
	})
}

// Decode does not crash on any input, and a plan that it accepts is valid and matches its digest and fingerprint.
func FuzzDecode(f *testing.F) {
	old, next := example(f), example(f)
	next.Pools[0].MaxAttempts = 2
	text, _ := New(runningOf(old, 3), old, next, Source{"f.hcl", "d"}, "/run/admin", testTime).Encode()
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
			t.Fatal("Decode accepted an inconsistent plan")
		}
	})
}

// largeConfigs returns two configurations of 1,000 pools and 10,000 routes that differ in a tenth of both.
func largeConfigs() (old, next *config.Config) {
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

// BenchmarkPlan1000Pools10000Routes measures all steps of a plan: check, diff, encode and decode.
func BenchmarkPlan1000Pools10000Routes(b *testing.B) {
	old, next := largeConfigs()
	b.ReportAllocs()
	for b.Loop() {
		if err := next.Check().Err(); err != nil {
			b.Fatal(err)
		}
		p := New(runningOf(old, 1), old, next, Source{}, "/run/admin", testTime)
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
