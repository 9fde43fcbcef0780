package main

import (
	"bufio"
	"bytes"
	"debug/elf"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// limit is how long a test waits for what must come; only a failing one waits so long.
const limit = 60 * time.Second

const settings = `{"lanes":[{"name":"view","effect":"read_like","target-ms":20000,"deadline-ms":40000}],
	"limits":{"max-attempts":3,"conn-idle-ms":60000,"connect-timeout-ms":20000,"cancelling":true,
	"retry-after":true,"max-retry-after-ms":2000},"tick-ms":5,"balancers":1,"registry-mode":"pushed"}`

// built is what deploy/balancer.toml builds, made once for all tests in a folder of their own, and the commands
// that it names.
type built struct{ dir, run, sim string }

var buildOnce = sync.OnceValues(func() (b built, err error) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		return b, err
	}
	commands := map[string]string{}
	for _, m := range regexp.MustCompile(`(?m)^(\w+) = "(.*)"$`).FindAllSubmatch(deploy, -1) {
		commands[string(m[1])] = string(m[2])
	}
	if b.dir, err = os.MkdirTemp("", "built"); err != nil {
		return b, err
	}
	b.run, b.sim = commands["run"], commands["sim"]
	cmd := exec.Command("/bin/sh", "-c", strings.NewReplacer("-p bin", "-p "+b.dir+"/bin", "-o bin/", "-o "+b.dir+"/bin/").Replace(commands["build"]))
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		return b, fmt.Errorf("%s: %w\n%s", commands["build"], err, out)
	}
	return b, nil
})

// TestMain removes what was built.
func TestMain(m *testing.M) {
	code := m.Run()
	if b, err := buildOnce(); err == nil {
		os.RemoveAll(b.dir)
	}
	os.Exit(code)
}

func build(t *testing.T) built {
	t.Helper()
	b, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// program is the path of the node's program.
func program(t *testing.T) string { return filepath.Join(build(t).dir, "bin", "damsontrestle") }

// The platform loads a library into each process, which takes a program that the machine's dynamic linker starts.
func TestProgramIsLinkedToLibc(t *testing.T) {
	f, err := elf.Open(program(t))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	interpreted := slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP })
	libraries, err := f.ImportedLibraries()
	if err != nil || !interpreted || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.") }) {
		t.Errorf("asks for a dynamic linker: %v; needs %v, %v", interpreted, libraries, err)
	}
	if !strings.HasPrefix(build(t).run, "exec ") {
		t.Errorf("run is %q: the platform's signals and its library are for the one process that it ends in", build(t).run)
	}
}

func TestSimStarts(t *testing.T) {
	b := build(t)
	cmd := exec.Command("/bin/sh", "-c", b.sim)
	cmd.Dir, cmd.Stdin = b.dir, strings.NewReader("sync\t1\neob\n")
	out, err := cmd.CombinedOutput()
	if err != nil || string(out) != "yield\n" {
		t.Fatalf("%v, output %q", err, out)
	}
}

// start runs the node with a configuration, written to a path, and more in its environment, until it serves. It returns its log from then
// on.
func start(t *testing.T, path, config string, env ...string) (cmd *exec.Cmd, address string, log <-chan string) {
	t.Helper()
	return startBy(t, build(t).run, path, config, env...)
}

// startBy does so by a shell's command.
func startBy(t *testing.T, command, path, config string, env ...string) (cmd *exec.Cmd, address string, log <-chan string) {
	t.Helper()
	cmd, log = launch(t, command, path, config, env...)
	serving := await(t, log, "msg=serving")
	return cmd, regexp.MustCompile(`address=(\S+)`).FindStringSubmatch(serving)[1], log
}

// launch starts the node and does not wait until it serves.
func launch(t *testing.T, command, path, config string, env ...string) (cmd *exec.Cmd, log <-chan string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Env = build(t).dir, append(append(os.Environ(), "BALANCER_CONFIG="+path), env...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	said := make(chan string, 1000)
	go func() {
		defer close(said)
		lines := bufio.NewScanner(stderr)
		for lines.Scan() {
			said <- lines.Text()
		}
	}()
	return cmd, said
}

// await returns the first line of a log that holds what is wanted.
func await(t *testing.T, log <-chan string, want string) string {
	t.Helper()
	over := time.After(limit)
	for {
		select {
		case line, ok := <-log:
			if !ok {
				t.Fatalf("the log ends without %q", want)
			}
			if strings.Contains(line, want) {
				return line
			}
		case <-over:
			t.Fatalf("the log never says %q", want)
		}
	}
}

// TestSIGHUPUnderLoad replaces the file while requests are under way: a broken one is logged and
// changes nothing, nor does the same once more, and a new one moves the node to the servers that another
// discovery names. No request is lost, and the client's connection is kept.
func TestSIGHUPUnderLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	list := func(name string) *httptest.Server {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, name)
		}))
		t.Cleanup(server.Close)
		text := fmt.Sprintf(`{"rev":3,"all":true,"targets":[{"uid":%q,"endpoint":%q,"az":"a","model":"m",
			"pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}]}`, name, strings.TrimPrefix(server.URL, "http://"))
		discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RawQuery != "" {
				<-r.Context().Done() // nothing new
				return
			}
			fmt.Fprint(w, text)
		}))
		t.Cleanup(discovery.Close)
		return discovery
	}
	old, next := list("old"), list("next")
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":%s}`,
		strings.TrimPrefix(old.URL, "http://"), settings)
	cmd, address, log := start(t, path, config)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(4 * limit))
	br := bufio.NewReader(c)
	asked := 0
	ask := func() string {
		asked++
		fmt.Fprintf(c, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%d\r\nX-Deadline: 40\r\n\r\n", asked)
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("request %d: %v", asked, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %d %q, %v", asked, resp.StatusCode, body, err)
		}
		return string(body)
	}
	hup := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	for _, text := range []string{config[:len(config)/2], config} {
		hup(text)
		if text != config {
			await(t, log, "the new configuration is bad")
		} else {
			await(t, log, "configuration reloaded")
		}
		for range 20 {
			if body := ask(); body != "old" {
				t.Fatalf("served by %q", body)
			}
		}
	}
	hup(strings.Replace(config, strings.TrimPrefix(old.URL, "http://"), strings.TrimPrefix(next.URL, "http://"), 1))
	for end := time.Now().Add(limit); ask() != "next"; {
		if time.Now().After(end) {
			t.Fatal("the new discovery's server gets nothing")
		}
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v", err)
	}
}

// TestRunServesAndEndsOnSIGTERM runs the real program: it serves a request, is told to end while
// another is out, answers that one too, and exits with 0.
func TestRunServesAndEndsOnSIGTERM(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	hold, got := make(chan struct{}), make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			got <- struct{}{}
			<-hold
		}
		fmt.Fprint(w, "made by the server for ", r.Header.Get("X-Request-Id"))
	}))
	defer server.Close()
	endpoint := strings.TrimPrefix(server.URL, "http://")
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done() // nothing new
	}))
	defer discovery.Close()
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[
		{"uid":"s-1","endpoint":%q,"az":"a","model":"m","pod_group":0,"state":"in_service",
		"capacity_hint":1,"boot_ms":0}]},"settings":%s}`,
		strings.TrimPrefix(discovery.URL, "http://"), endpoint, settings)
	cmd, address, _ := start(t, path, config)
	ask := func(id, key string) (string, error) {
		req, _ := http.NewRequest("GET", "http://"+address+"/view/"+key, nil)
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline", "40")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		var body bytes.Buffer
		_, err = body.ReadFrom(resp.Body)
		return body.String(), err
	}
	if body, err := ask("one", "fast"); err != nil || body != "made by the server for one" {
		t.Fatalf("got %q, %v", body, err)
	}
	idle, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	idle.SetDeadline(time.Now().Add(limit))
	fmt.Fprint(idle, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	ready := bufio.NewReader(idle)
	resp, err := http.ReadResponse(ready, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("not ready: %v, %v", resp, err)
	}
	type reply struct {
		body string
		err  error
	}
	slow := make(chan reply, 1)
	go func() {
		body, err := ask("two", "slow")
		slow <- reply{body, err}
	}()
	<-got
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF { // it lets its idle clients go
		t.Fatalf("an idle connection after SIGTERM: %v", err)
	}
	close(hold)
	if r := <-slow; r.err != nil || r.body != "made by the server for two" {
		t.Fatalf("the request in flight: %q, %v", r.body, r.err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v", err)
	}
	if c, err := net.Dial("tcp", address); err == nil {
		c.Close()
		t.Fatal("still listening after its end")
	}
}

func TestBadConfigExitsWithOneLine(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"missing": "", "cut": `{"listen":`, "empty": `{}`} {
		path := filepath.Join(dir, name)
		if text != "" {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		cmd := exec.Command("/bin/sh", "-c", build(t).run)
		cmd.Dir, cmd.Env = build(t).dir, append(os.Environ(), "BALANCER_CONFIG="+path)
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.HasPrefix(string(out), "damsontrestle: config: ") ||
			strings.Count(string(out), "\n") != 1 {
			t.Errorf("%s: %v, output %q", name, err, out)
		}
	}
}
