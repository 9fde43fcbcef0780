package config

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "damsontrestle/internal/testpeer/seeded"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/route"
)

func TestDeployedExampleLoads(t *testing.T) {
	cfg, problems := Load("../../deploy/damsontrestle.hcl")
	if len(problems) > 0 {
		t.Fatalf("%v", problems)
	}
	servers, _ := cfg.Pool("boxes")
	candidate, _ := cfg.Pool("candidate")
	view, _ := cfg.Class("view-interval")
	bridge, _ := cfg.Listener("bridge")
	if cfg.Node.Name != "annot-1" || cfg.Node.Limits.Memory != 192<<20 || servers.Connections.Max != 320 || servers.SlowStart.Minimum != 0.13 ||
		servers.Registry.Address != "127.0.0.1:8500" || servers.LoadReports != (LoadReports{"inflight", 4, "/stats"}) || cfg.BalancerSettings(servers).PollChoices != 4 || len(candidate.Servers) != 2 || candidate.Servers[1].Size != 0.5 ||
		time.Duration(view.LatencyObjective) != 1500*time.Millisecond || view.PriorityWeight != 12 || bridge.Paths != NormalizePaths || len(cfg.Routes) != 3 {
		t.Errorf("got %+v", cfg)
	}
	if _, err := cfg.RouteTable(); err != nil {
		t.Error(err)
	}
	if _, err := balancer.New(cfg.BalancerSettings(servers), 1); err != nil {
		t.Error(err)
	}
}

func TestExampleWithPeersLoads(t *testing.T) {
	c, problems := Load("../../deploy/peers.hcl")
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	if p := c.Node.Peers; p.Listen != "127.0.0.1:7946" || p.Region != "south" || len(p.Seeds) != 3 || time.Duration(p.ProbeInterval) != time.Second || time.Duration(p.MaxZoneStateAge) != 2*time.Second || p.KeyFile == "" {
		t.Errorf("got %+v", p)
	}
}

const validConfig = `
node "n1" {
  limits {
    memory = "64MiB"
    descriptors = 256
  }
}
class "view" {
  effect = "safe"
  aim = "1s"
  deadline = "2s"
}
listener "main" {
  address = "127.0.0.1:7070"
}
pool "p" {
  server "s1" {
    address = "127.0.0.1:9001"
  }
}
route "all" {
  default = true
  pool = "p"
}
`

// Each error names the position, what was found and what is allowed.
func TestErrorsNamePositionAndAllowedValues(t *testing.T) {
	if _, problems := Parse([]byte(validConfig), "good.hcl"); len(problems) > 0 {
		t.Fatal(problems)
	}
	for _, c := range []struct{ old, text, want string }{
		{`memory = "64MiB"`, `memory = "64"`, `f.hcl:4:14: node.limits.memory: found "64"; allowed: an integer with a unit`},
		{`memory = "64MiB"`, `memory = 64`, `f.hcl:4:14: node.limits.memory: found the number 64; allowed: an integer with a unit in quotes`},
		{`memory = "64MiB"`, `memory = "1MiB"`, `f.hcl:4:5: node.limits.memory: found 1MiB; allowed: 16MiB to 1024GiB`},
		{`descriptors = 256`, `descriptors = 256.5`, `f.hcl:5:19: node.limits.descriptors: found the number 256.5; allowed: an integer`},
		{`descriptors = 256`, `descriptors = 64`, `f.hcl:5:5: node.limits.descriptors: found 64, but 176 are needed`},
		{`memory = "64MiB"`, `memory = "16MiB"
    extra = 1`, `f.hcl:5:5: node.limits.extra: found an unknown field; allowed here: cores, descriptors, memory`},
		{`effect = "safe"`, `effect = "save"`, `f.hcl:9:3: class.view.effect: found "save"; allowed: "unsafe", "keyed", "safe"`},
		{`effect = "safe"`, `effect = safe`, `f.hcl:9:12: class.view.effect: found the bare name safe; allowed: a literal value, with strings in quotes`},
		{`effect = "safe"`, `effect = null`, `f.hcl:9:12: class.view.effect: found null`},
		{`effect = "safe"`, `effect = "keyed"`, `f.hcl:8:1: class.view.key_scope: found ""; allowed: "cell", "zone", "all"`},
		{`effect = "safe"`, `effect = "safe"
  window = "1s"`, `f.hcl:10:3: class.view.window: found 1s; allowed only for classes with effect = "keyed"`},
		{`aim = "1s"`, `aim = "1"`, `f.hcl:10:9: class.view.aim: found "1"; allowed: a number with a unit`},
		{`aim = "1s"`, `aim = "3s"`, `f.hcl:10:3: class.view.aim: found 3s; allowed: 1ms to 2s`},
		{`aim = "1s"`, `aim = -1`, `f.hcl:10:9: found "-"; allowed: blocks, and fields with literal values`},
		{`aim = "1s"`, `aim = "${x}"`, `f.hcl:10:10: found "${"; allowed: plain text`},
		{`aim = "1s"`, `# none`, `f.hcl:8:1: class.view: aim is missing`},
		{`aim = "1s"`, `aim = "1s" }`, `f.hcl:10:`},
		{`"view" {`, `"view" "b" {`, `f.hcl:8:1: class: found 2 names; allowed: one, as in class "name" { }`},
		{`"view" {`, `{`, `f.hcl:8:1: class: found 0 names; allowed: one`},
		{`"view" {`, `"a/b" {`, `f.hcl:8:1: class.a/b: found the name "a/b"; allowed: 1 to 64 letters`},
		{`address = "127.0.0.1:7070"`, `address = "localhost:7070"`, `f.hcl:14:3: listener.main.address: found "localhost:7070"; allowed: an IP address with a port`},
		{`address = "127.0.0.1:9001"`, `address = "box1:9001"`, `f.hcl:18:5: pool.p.server.s1.address: found "box1:9001"; allowed: an IP address with a port: host names are not resolved`},
		{`address = "127.0.0.1:9001"`, `address = "0.0.0.0:9001"`, `f.hcl:18:5: pool.p.server.s1.address: found "0.0.0.0:9001", which is not an address to connect to`},
		{`pool = "p"`, `pool = "q"`, `f.hcl:23:3: route.all.to: found pool "q": no such pool; allowed: "p"`},
		{`pool = "p"`, `pool = ["p"]`, `f.hcl:23:10: route.all.pool: found a list; allowed: a quoted string`},
		{`pool = "p"`, `weight = 1`, `f.hcl:21:1: route.all: the route has no pool`},
		{`default = true`, `default = "yes"`, `f.hcl:22:13: route.all.default: found the string "yes"; allowed: true, false`},
		{`default = true`, `paths = ["/note/*"]`, `f.hcl:22:3: route.all.paths: it can never match`},
		{`default = true`, `classes = "view"`, `f.hcl:22:13: route.all.classes: found the string "view"; allowed: a list`},
		{`default = true`, `classes = [1]`, `f.hcl:22:13: route.all.classes: found a list entry that is not a quoted string`},
		{`route "all" {`, `rout "all" {`, `f.hcl:21:1: rout: found an unknown block; allowed here: class { }, export { }, federation { }, listener { }, node { }, partner { }, pool { }, quota { }, route { }`},
		{`route "all" {`, "server = 1\nroute \"all\" {", `f.hcl:21:1: server: found an unknown field; allowed here: class { }`},
		{`node "n1" {`, "node \"n2\" {\n limits {\n memory = \"64MiB\"\n descriptors = 256\n}\n}\nnode \"n1\" {", `f.hcl:8:1: node: found a second block; allowed: one`},
		{`limits {`, `limits "x" {`, `f.hcl:3:3: node.limits: found the name "x"; allowed: none`},
		{`listener "main" {`, "listener \"b\" {\n address = \"0.0.0.0:7070\"\n}\nlistener \"main\" {", `f.hcl:17:3: listener.main.address: found "127.0.0.1:7070", which conflicts with listener "b" at "0.0.0.0:7070"`},
		{`server "s1" {`, "server \"s0\" {\n address = \"127.0.0.1:9001\"\n}\nserver \"s1\" {", `f.hcl:21:5: pool.p.server.s1.address: found "127.0.0.1:9001", which is the address of server "s0"`},
		{`limits {`, "peers {\n listen = \"127.0.0.1:7946\"\n}\nlimits {", `f.hcl:3:3: node.peers: key_file is missing`},
		{`limits {`, "peers {\n listen = \"box:7946\"\n key_file = \"/k\"\n}\nlimits {", `f.hcl:4:2: node.peers.listen: found "box:7946"; allowed: an IP address with a port`},
		{`limits {`, "peers {\n listen = \"127.0.0.1:1\"\n key_file = \"k\"\n}\nlimits {", `f.hcl:5:2: node.peers.key_file: found "k"; allowed: an absolute path`},
		{`limits {`, "peers {\n listen = \"127.0.0.1:1\"\n key_file = \"/k\"\n seeds = [\"x\"]\n}\nlimits {", `f.hcl:6:2: node.peers.seeds: found "x"; allowed: an IP address`},
		{`limits {`, "peers {\n listen = \"127.0.0.1:1\"\n key_file = \"/k\"\n region = \"a-region-of-too-many\"\n}\nlimits {", `f.hcl:6:2: node.peers.region: found "a-region-of-too-many"; allowed with peers: 1 to 16`},
		{`limits {`, "peers {\n listen = \"127.0.0.1:1\"\n key_file = \"/k\"\n period = \"1ms\"\n}\nlimits {", `f.hcl:6:2: node.peers.period: found 1ms; allowed: 100ms to 1m`},
		{`server "s1" {`, "load_reports {\n ask = 4\n}\nserver \"s1\" {", `f.hcl:17:3: pool.p.load_reports: busy is missing`},
		{`server "s1" {`, "load_reports {\n busy = \"a=b\"\n}\nserver \"s1\" {", `f.hcl:18:2: pool.p.load_reports.busy: found the name "a=b"; allowed: 1 to 64 letters`},
		{`server "s1" {`, "load_reports {\n busy = \"x\"\n ask = 17\n}\nserver \"s1\" {", `f.hcl:19:2: pool.p.load_reports.ask: found 17; allowed: 0 to 16`},
		{`server "s1" {`, "load_reports {\n busy = \"x\"\n ask = 1\n}\nserver \"s1\" {", `f.hcl:19:2: pool.p.load_reports.ask: found 1; allowed: 0, or 2 to 16`},
		{`server "s1" {`, "load_reports {\n busy = \"x\"\n ask_path = \"/x\"\n}\nserver \"s1\" {", `f.hcl:19:2: pool.p.load_reports.ask_path: found "/x"; allowed: a path of visible ASCII that begins with "/"`},
		{`server "s1" {`, "load_reports {\n busy = \"x\"\n ask = 2\n ask_path = \"x y\"\n}\nserver \"s1\" {", `f.hcl:20:2: pool.p.load_reports.ask_path: found "x y"; allowed: a path`},
		{`server "s1" {`, "registry {\n address = \"127.0.0.1:1\"\n}\nserver \"s1\" {", `f.hcl:16:1: pool.p: found both a registry block and server blocks`},
		{`"safe"`, `"safe`, `f.hcl:9:`},
		{`class "view" {`, `class "view" = {`, `f.hcl:8:`},
	} {
		text := strings.Replace(validConfig, c.old, c.text, 1)
		if text == validConfig {
			t.Fatalf("%q is not in the valid file", c.old)
		}
		_, problems := Parse([]byte(text), "f.hcl")
		if problems.Err() == nil || !strings.Contains(problems.Error(), c.want) {
			t.Errorf("%s\n  got  %v\n  want %s", c.text, problems, c.want)
		}
	}
}

// All errors are reported at once, in the order of the file, and a field that cannot be read is reported once.
func TestParseReportsAllErrors(t *testing.T) {
	text := strings.NewReplacer(`memory = "64MiB"`, `memory = 64`, `effect = "safe"`, `effect = "save"`, `aim = "1s"`, `aim = 1`,
		`pool = "p"`, `pool = "q"`, `"127.0.0.1:9001"`, `"box"`).Replace(validConfig)
	_, problems := Parse([]byte(text), "f.hcl")
	var lines []int
	for _, p := range problems.Errors() {
		lines = append(lines, p.Line)
	}
	if !reflect.DeepEqual(lines, []int{4, 9, 10, 18, 23}) {
		t.Errorf("errors in lines %v, want [4 9 10 18 23]\n%v", lines, problems)
	}
}

func TestParseReturnsWarnings(t *testing.T) {
	cfg, problems := Parse([]byte(strings.Replace(validConfig, "256", "512", 1)+"pool \"idle\" {\n server \"s\" {\n address = \"127.0.0.1:9002\"\n }\n}\n"), "f.hcl")
	if cfg == nil || problems.Err() != nil || len(problems) != 1 || !strings.Contains(problems.Error(), `f.hcl:25:1: warning: pool.idle: no route selects it`) {
		t.Errorf("got configuration %v with problems %v, want one warning", cfg, problems)
	}
}

// A file whose nesting would overflow the stack of the parser is rejected before parsing.
func TestDeepNestingIsRejected(t *testing.T) {
	for _, text := range []string{strings.Repeat("[", 1<<20), "a = " + strings.Repeat("[", 1<<20), "a = " + strings.Repeat("!", 1<<20) + "true",
		"a = " + strings.Repeat("(", 1<<20), strings.Repeat("a {", 1<<18), "a = " + strings.Repeat("-", 1<<18) + "1"} {
		if _, problems := Parse([]byte(text), "f.hcl"); problems.Err() == nil || len(problems) > 200 {
			t.Errorf("%.20q: got %d problems, want 1 to 200 with an error", text, len(problems))
		}
	}
	if _, problems := Parse(make([]byte, MaxFileSize+1), "f.hcl"); problems.Err() == nil {
		t.Error("a file longer than MaxFileSize is accepted")
	}
}

func TestLoadNamesTheFile(t *testing.T) {
	dir := t.TempDir()
	for _, path := range []string{dir + "/none.hcl", dir} {
		if _, problems := Load(path); problems.Err() == nil || !strings.HasPrefix(problems.Error(), path+": ") {
			t.Errorf("got %v, want an error that begins with %s", problems, path)
		}
	}
	path := dir + "/bad.hcl"
	if err := os.WriteFile(path, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, problems := Load(path); problems.Err() == nil || !strings.HasPrefix(problems.Error(), path+":1:") {
		t.Errorf("got %v, want an error in line 1 of %s", problems, path)
	}
}

// The platform's file is converted to the same model: all its values are represented there, and a different value changes the
// fingerprint.
func TestPlatformConfigRoundTrip(t *testing.T) {
	cfg, start, err := ParsePlatform([]byte(validPlatformConfig))
	if err != nil {
		t.Fatal(err)
	}
	if start.EndpointList == nil {
		t.Error("the endpoint list is missing")
	}
	if _, err := cfg.RouteTable(); err != nil {
		t.Error(err)
	}
	other, _, err := ParsePlatform([]byte(strings.Replace(validPlatformConfig, `"conn-idle-ms":60000.0`, `"conn-idle-ms":50000.0`, 1)))
	if err != nil || cfg.Fingerprint() == other.Fingerprint() {
		t.Errorf("after a change of conn-idle-ms: %v, unchanged fingerprint %s", err, other.Fingerprint())
	}
	var decoded Config
	text, _ := json.Marshal(cfg)
	if err := json.Unmarshal(text, &decoded); err != nil || !reflect.DeepEqual(&decoded, cfg) {
		t.Errorf("%v\ngot  %+v\nwant %+v", err, decoded, cfg)
	}
}

// The fingerprint does not depend on the order of blocks, but on every value.
func TestFingerprintIgnoresBlockOrder(t *testing.T) {
	a, _ := Load("../../deploy/damsontrestle.hcl")
	b, _ := Load("../../deploy/damsontrestle.hcl")
	b.Classes[0], b.Classes[2] = b.Classes[2], b.Classes[0]
	b.Routes[0].To[0], b.Routes[0].To[1] = b.Routes[0].To[1], b.Routes[0].To[0]
	if a.Fingerprint() != b.Fingerprint() {
		t.Error("the order of blocks changes the fingerprint")
	}
	b.Routes[0].To[0].Weight++
	if a.Fingerprint() == b.Fingerprint() {
		t.Error("a weight does not change the fingerprint")
	}
}

func TestUnitsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Duration(rapid.Int64Min(0).Draw(t, "duration"))
		s := Size(rapid.Int64Min(0).Draw(t, "size"))
		var d2 Duration
		var s2 Size
		if err := d2.UnmarshalText([]byte(d.String())); err != nil || d2 != d {
			t.Fatalf("duration %v is parsed as %v, %v", d, d2, err)
		}
		if err := s2.UnmarshalText([]byte(s.String())); err != nil || s2 != s {
			t.Fatalf("size %v is parsed as %v, %v", s, s2, err)
		}
	})
	var s Size
	for _, bad := range []string{"", "MiB", "1.5MiB", "-1B", "1 TB", "9223372036854775807GiB", "1MB"} {
		if err := s.UnmarshalText([]byte(bad)); err == nil {
			t.Errorf("%q is accepted as %v", bad, s)
		}
	}
}

// The operators' page lists every field of the model under the heading of its block.
func TestConfigurationPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	sections := map[string]string{}
	for _, part := range strings.Split(string(page), "\n#")[1:] {
		title, text, _ := strings.Cut(strings.TrimLeft(part, "# "), "\n")
		kind, _, _ := strings.Cut(title, " ")
		sections[kind] = text
	}
	blocks := map[string]reflect.Type{"node": reflect.TypeFor[Node](), "limits": reflect.TypeFor[Limits](), "peers": reflect.TypeFor[Peers](), "class": reflect.TypeFor[Class](),
		"listener": reflect.TypeFor[Listener](), "pool": reflect.TypeFor[Pool](), "copies": reflect.TypeFor[Balancers](),
		"shedding": reflect.TypeFor[Shedding](), "connections": reflect.TypeFor[Connections](), "slow_start": reflect.TypeFor[SlowStart](),
		"load_reports": reflect.TypeFor[LoadReports](), "registry": reflect.TypeFor[Registry](), "server": reflect.TypeFor[Server](), "route": reflect.TypeFor[route.Route](),
		"header": reflect.TypeFor[route.Header](), "to": reflect.TypeFor[route.Target](), "custody": reflect.TypeFor[Replication](),
		"federation": reflect.TypeFor[Federation](), "partner": reflect.TypeFor[Partner](), "export": reflect.TypeFor[Export](), "quota": reflect.TypeFor[Quota]()}
	fieldCount := 0
	for kind, block := range blocks {
		text, there := sections[kind]
		if !there {
			t.Errorf("the page has no heading for %s", kind)
		}
		for i := range block.NumField() {
			field, _, _ := strings.Cut(block.Field(i).Tag.Get("json"), ",")
			if field == "name" || field == "pool" || blocks[field] != nil || field == "servers" || field == "headers" {
				continue // a block's own name, or a block within it
			}
			fieldCount++
			if !strings.Contains(text, "`"+field+"`") {
				t.Errorf("%s: field %s is missing on the page", kind, field)
			}
		}
	}
	if fieldCount < 40 {
		t.Errorf("got %d fields, want at least 40", fieldCount)
	}
}

// Any file is either rejected with a position within it, or parsed into a configuration that passes all checks again, has the same
// fingerprint after encoding and decoding, and is accepted by the balancer.
func FuzzFile(f *testing.F) {
	f.Add([]byte(validConfig))
	text, err := os.ReadFile("../../deploy/damsontrestle.hcl")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	for _, s := range []string{"", "node", `node "a" {}`, "a = [[[[", "a = 1e9999", `a = "\u12"`, "a = <<E\nx\nE\n", "/*", "a=b.c[0]", `x "y" z {}`, "a = 0x1", "\xff"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, problems := Parse(text, "f.hcl")
		if (cfg == nil) != (problems.Err() != nil) {
			t.Fatalf("got configuration %v with problems %v", cfg, problems)
		}
		lines := strings.Count(string(text), "\n") + 1
		for _, p := range problems {
			if p.Line < 1 || p.Line > lines || p.Column < 1 || p.Message == "" {
				t.Fatalf("problem %+v has no message or a position outside the %d lines", p, lines)
			}
		}
		if cfg == nil {
			return
		}
		if secondCheck := cfg.Check(); secondCheck.Err() != nil {
			t.Fatalf("second check: %v", secondCheck)
		}
		encoded, err := json.Marshal(cfg)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Config
		if err := json.Unmarshal(encoded, &decoded); err != nil || decoded.Fingerprint() != cfg.Fingerprint() {
			t.Fatalf("%v: the fingerprint differs after encoding and decoding", err)
		}
		for _, p := range cfg.Pools {
			if _, err := balancer.New(cfg.BalancerSettings(p), 1); err != nil {
				t.Fatalf("the balancer rejects settings that Check accepted: %v", err)
			}
		}
	})
}

// largeConfig returns a configuration with the given numbers of pools and routes.
func largeConfig(pools, routes int) *Config {
	cfg, problems := Parse([]byte(validConfig), "good.hcl")
	if problems.Err() != nil {
		panic(problems)
	}
	cfg.Node.Limits = Limits{Memory: 8 << 30, Descriptors: 1 << 20, Cores: 1}
	cfg.Pools = nil
	for i := range pools {
		pool := defaultPool(fmt.Sprint("pool-", i))
		for k := range 3 {
			pool.Servers = append(pool.Servers, Server{Name: fmt.Sprint("s", k), Address: fmt.Sprintf("127.%d.%d.%d:9000", i/250+1, i%250, k+1), Size: 1, State: Ready})
		}
		cfg.Pools = append(cfg.Pools, pool)
	}
	cfg.Routes = cfg.Routes[:0]
	for i := range routes {
		cfg.Routes = append(cfg.Routes, route.Route{Name: fmt.Sprint("r", i), Hosts: []string{fmt.Sprintf("h%d.example", i)},
			To: []route.Target{{Pool: fmt.Sprint("pool-", i%pools), Weight: 1}}})
	}
	cfg.Routes = append(cfg.Routes, route.Route{Name: "rest", Default: true, To: []route.Target{{Pool: "pool-0", Weight: 1}}})
	return cfg
}

func BenchmarkCheck1000Pools10000Routes(b *testing.B) {
	c := largeConfig(1000, 10000)
	b.ReportAllocs()
	for b.Loop() {
		if err := c.Check().Err(); err != nil {
			b.Fatal(err)
		}
	}
}

func TestFederationExampleLoads(t *testing.T) {
	cfg, problems := Load("../../deploy/federation.hcl")
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	note, _ := cfg.Class("note")
	drilling, _ := find(cfg.Partners, "drilling", Partner.name)
	if f := cfg.Federation; f == nil || f.Partner != "chavara" || f.Replicas != 3 || f.Memory != 16<<20 || len(cfg.Partners) != 2 || len(cfg.Exports) != 2 || len(cfg.Quotas) != 1 ||
		note.Replication == nil || note.Replication.Fallback != RejectUnreplicated || drilling.Preference != 200 || drilling.Links != 2 || cfg.Exports[1].MaxHops != 1 || len(cfg.Quotas[0].Candidates) != 3 {
		t.Errorf("got %+v", cfg)
	}
	summary := strings.Join(cfg.FederationSummary(), "\n")
	for _, want := range []string{`class "view": requests are served even if too few holders can be reached`, `class "note": requests are rejected if too few holders can be reached`,
		`quota "notes": at most 120 requests in any second (120 allowed) and 660 in any 10 s`} {
		if !strings.Contains(summary, want) {
			t.Errorf("%q is missing in\n%s", want, summary)
		}
	}
	standalone, problems := Parse([]byte(validConfig), "good.hcl")
	if len(problems) > 0 || standalone.FederationSummary() != nil || len(standalone.AllPools()) != len(standalone.Pools) || len(cfg.AllPools()) != 3 {
		t.Errorf("got problems %v, %d pools with federation, want 3", problems, len(cfg.AllPools()))
	}
}

// Each error in a federation names the field, what was found and what is allowed.
func TestFederationErrorsNamePositionAndAllowedValues(t *testing.T) {
	text, err := os.ReadFile("../../deploy/federation.hcl")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`listener = "partners"`, `listener = "nobody"`, `federation.chavara.listener: found "nobody": there is no listener of that name`},
		{`when_alone = "serve"`, `when_alone = "hope"`, `class.view.custody.when_alone: found "hope"; allowed: "serve", "refuse"`},
		{`pass_on_to  = ["karunagappally"]`, `pass_on_to  = ["lab"]`, `partner.drilling.pass_on_to: found "lab": there is no partner of that name`},
		{`accept      = ["/view/wells/"]`, `accept      = ["/view/wells"]`, `partner.drilling.accept: found "/view/wells"; allowed: a path with a slash at both ends`},
		{`path     = "/note/chavara/"`, `path     = "/view/chavara/"`, `export.notes.path: found "/view/chavara/"; allowed: a path of the class that begins with "/note/" and ends with a slash`},
		{`effects  = ["unsafe"]`, `effects  = ["safe"]`, `export.notes.effects: the class "note" is unsafe, which is not among them`},
		{`hands   = 2`, `hands   = 9`, `export.views.hands: found 9; allowed: 1 to 8`},
		{`burst    = 60`, `burst    = 2`, `quota.notes.when_cut: found "floor": when cut off from the quota leader, 5 gateways could each draw a request of their own floor at once`},
		{`rate     = 60`, `rate     = 15`, `quota.notes.rate: found 15, but the partners' floors add up to 20`},
		{`keeper "drilling/gw" {
    address = "127.0.2.1:7946"
  }`, ``, `quota.notes: found 2 keepers; allowed: 1, 3, 5 or 7`},
		{`keeper "drilling/gw"`, `keeper "drilling"`, `quota.notes.keeper.drilling: found the name "drilling"; allowed: a partner's and a gateway's, as in "chavara/annot-1"`},
		{`gateways = ["127.0.1.1:7946", "127.0.1.2:7946"]`, `gateways = []`, `partner.karunagappally.gateways: found 0; allowed: 1 to 256`},
		{`federation "chavara" {
  listener = "partners"
  memory   = "16MiB"
  keep     = "30s"
  stale    = "30s"
}`, ``, `it requires a federation block`},
	} {
		if !strings.Contains(string(text), c.from) {
			t.Fatalf("the example does not contain %q", c.from)
		}
		_, problems := Parse([]byte(strings.Replace(string(text), c.from, c.to, 1)), "f.hcl")
		if err := problems.Err(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %q", c.to, err, c.want)
		}
	}
}
