package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	_ "damsontrestle/internal/testpeer/seeded"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/config"
	"damsontrestle/internal/node"
	"damsontrestle/internal/plan"
	"damsontrestle/internal/testpeer"
)

// newNamedServer starts a server that answers every request with its name.
func newNamedServer(t *testing.T, name string) *testpeer.Server {
	return testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool { return testpeer.Reply200(c, name) })
}

// fixture is the environment of a daemon: its folder, configuration file, admin socket and log.
type fixture struct {
	dir, file, socket string
	listen            string
	options           Options
	log               *testpeer.LogBuffer
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	dir, err := os.MkdirTemp("", "d") // t.TempDir may exceed the length limit of a Unix socket's path
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return &fixture{dir: dir, file: filepath.Join(dir, "node.hcl"), socket: filepath.Join(dir, "admin"), listen: testpeer.ClosedPort(t), log: &testpeer.LogBuffer{}}
}

// configText returns a configuration with one pool of one server, followed by more.
func (r *fixture) configText(pool, server, more string) string {
	return fmt.Sprintf(`
node "n1" {
  state_folder = %q
  admin_socket = %q
  limits {
    memory = "128MiB"
    descriptors = 512
  }
}
class "view" {
  effect = "safe"
  aim = "10s"
  deadline = "20s"
}
class "note" {
  effect = "unsafe"
  aim = "10s"
  deadline = "20s"
}
listener "main" {
  address = %q
}
pool %q {
  server "s1" {
    address = %q
  }
}
route "all" {
  default = true
  pool = %q
}
%s`, filepath.Join(r.dir, "state"), r.socket, r.listen, pool, server, pool, more)
}

func (r *fixture) writeFile(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// open returns a daemon, started with the fixture's file and log, whose Run has not been called.
func (r *fixture) open(t *testing.T) *Daemon {
	t.Helper()
	o := r.options
	o.File, o.Log = r.file, slog.New(slog.NewTextHandler(r.log, nil))
	d, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// start runs a daemon until stop is called or the test ends.
func (r *fixture) start(t *testing.T) (d *Daemon, stop func()) {
	t.Helper()
	d = r.open(t)
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- d.Run(ctx) }()
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			if err := testpeer.Receive(t, end, "the daemon to stop"); err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(stop)
	return d, stop
}

func (r *fixture) client() *admin.Client { return admin.NewClient(r.socket) }

func (r *fixture) show(t *testing.T) admin.ShowResponse {
	t.Helper()
	s, err := r.client().Show(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// encodePlan returns an encoded plan from the running configuration to the one in text.
func (r *fixture) encodePlan(t *testing.T, text string) []byte {
	t.Helper()
	cfg, problems := config.Parse([]byte(text), "planned.hcl")
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	return r.encodePlanOf(t, cfg)
}

func (r *fixture) encodePlanOf(t *testing.T, cfg *config.Config) []byte {
	t.Helper()
	s := r.show(t)
	enc, err := plan.New(s.Running, s.Config, cfg, plan.Source{}, r.socket, time.Now()).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return enc
}

func (r *fixture) apply(t *testing.T, p []byte) (plan.Running, error) {
	t.Helper()
	return r.client().Apply(t.Context(), p, testpeer.Limit, nil)
}

func wantCode(t *testing.T, err error, code, text string) {
	t.Helper()
	var e *admin.Error
	if !errors.As(err, &e) || e.Code != code || !strings.Contains(e.Message, text) {
		t.Errorf("got %v, want %s: %s", err, code, text)
	}
}

// requestView sends a request of class view on a new connection and returns the name of the server, or the error.
func requestView(t *testing.T, address, host, path string) string {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	nc.Close()
	c := testpeer.Dial(t, address)
	defer c.Close()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %d\r\nX-Deadline: 4\r\n\r\n", path, host, rand.Uint64())
	resp, body := c.ReadResponse(t)
	if resp.StatusCode != 200 {
		return resp.Status
	}
	return body
}

func (r *fixture) wantServed(t *testing.T, by string) {
	t.Helper()
	if got := requestView(t, r.listen, "h", "/view/k"); got != by {
		t.Errorf("served by %q, want %q", got, by)
	}
}

// with sets the node's options.
func (r *fixture) with(o node.Options) *fixture {
	r.options.Node = o
	return r
}
