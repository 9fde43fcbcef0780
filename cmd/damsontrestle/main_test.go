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

// testTimeout bounds each wait of a test. Only a failing test waits that long.
const testTimeout = 60 * time.Second

const platformSettings = `{"lanes":[{"name":"view","effect":"read_like","target-ms":20000,"deadline-ms":40000}],
	"limits":{"max-attempts":3,"conn-idle-ms":60000,"connect-timeout-ms":20000,"cancelling":true,
	"retry-after":true,"max-retry-after-ms":2000},"tick-ms":5,"balancers":1,"registry-mode":"pushed"}`

// buildResult holds the folder of the programs that deploy/balancer.toml builds, once for all tests, and the commands in
// that file.
type buildResult struct{ dir, run, sim string }

var buildOnce = sync.OnceValues(func() (b buildResult, err error) {
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

// TestMain removes the build folder after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if b, err := buildOnce(); err == nil {
		os.RemoveAll(b.dir)
	}
	os.Exit(code)
}

func build(t *testing.T) buildResult {
	t.Helper()
	b, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// programPath returns the path of the built damsontrestle program.
func programPath(t *testing.T) string { return filepath.Join(build(t).dir, "bin", "damsontrestle") }

// The platform preloads a library into each process, so the program must be started by the dynamic linker.
func TestProgramIsLinkedToLibc(t *testing.T) {
	f, err := elf.Open(programPath(t))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	interpreted := slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP })
	libraries, err := f.ImportedLibraries()
	if err != nil || !interpreted || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.") }) {
		t.Errorf("dynamic linker requested: %v; imported libraries %v, %v", interpreted, libraries, err)
	}
	if !strings.HasPrefix(build(t).run, "exec ") {
		t.Errorf("run is %q; it must exec the program, since the platform signals and preloads only that process", build(t).run)
	}
}

func TestSimulatorStarts(t *testing.T) {
	b := build(t)
	cmd := exec.Command("/bin/sh", "-c", b.sim)
	cmd.Dir, cmd.Stdin = b.dir, strings.NewReader("sync\t1\neob\n")
	out, err := cmd.CombinedOutput()
	if err != nil || string(out) != "yield\n" {
		t.Fatalf("%v, output %q", err, out)
	}
}

// startNode writes a configuration to path, starts the node with additional environment variables, and waits until it
// serves. The returned log begins after that line.
func startNode(t *testing.T, path, config string, env ...string) (cmd *exec.Cmd, address string, log <-chan string) {
	t.Helper()
	return startNodeWith(t, build(t).run, path, config, env...)
}

// startNodeWith is startNode with a shell command that runs the node.
func startNodeWith(t *testing.T, command, path, config string, env ...string) (cmd *exec.Cmd, address string, log <-chan string) {
	t.Helper()
	cmd, log = launchNode(t, command, path, config, env...)
	serving := awaitLog(t, log, "msg=serving")
	return cmd, regexp.MustCompile(`address=(\S+)`).FindStringSubmatch(serving)[1], log
}

// launchNode starts the node without waiting until it serves.
func launchNode(t *testing.T, command, path, config string, env ...string) (cmd *exec.Cmd, log <-chan string) {
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
	logLines := make(chan string, 1000)
	go func() {
		defer close(logLines)
		lines := bufio.NewScanner(stderr)
		for lines.Scan() {
			logLines <- lines.Text()
		}
	}()
	return cmd, logLines
}

// awaitLog returns the first line of a log that contains want.
func awaitLog(t *testing.T, log <-chan string, want string) string {
	t.Helper()
	over := time.After(testTimeout)
	for {
		select {
		case line, ok := <-log:
			if !ok {
				t.Fatalf("the log ended without %q", want)
			}
			if strings.Contains(line, want) {
				return line
			}
		case <-over:
			t.Fatalf("timed out waiting for %q in the log", want)
		}
	}
}

// TestSIGHUPUnderLoad reloads the configuration between the requests of a client. A broken file is logged and changes
// nothing, an unchanged file changes nothing, and a new file moves the node to the servers of another discovery service.
// No request is lost, and the client's connection stays open.
func TestSIGHUPUnderLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	newDiscovery := func(name string) *httptest.Server {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, name)
		}))
		t.Cleanup(server.Close)
		text := fmt.Sprintf(`{"rev":3,"all":true,"targets":[{"uid":%q,"endpoint":%q,"az":"a","model":"m",
			"pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}]}`, name, strings.TrimPrefix(server.URL, "http://"))
		discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RawQuery != "" {
				<-r.Context().Done() // no update
				return
			}
			fmt.Fprint(w, text)
		}))
		t.Cleanup(discovery.Close)
		return discovery
	}
	old, next := newDiscovery("old"), newDiscovery("next")
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":%s}`,
		strings.TrimPrefix(old.URL, "http://"), platformSettings)
	cmd, address, log := startNode(t, path, config)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(4 * testTimeout))
	reader := bufio.NewReader(conn)
	requests := 0
	sendRequest := func() string {
		requests++
		fmt.Fprintf(conn, "GET /view/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%d\r\nX-Deadline: 40\r\n\r\n", requests)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", requests, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %d %q, %v", requests, resp.StatusCode, body, err)
		}
		return string(body)
	}
	reload := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	for _, text := range []string{config[:len(config)/2], config} {
		reload(text)
		if text != config {
			awaitLog(t, log, "configuration reload failed")
		} else {
			awaitLog(t, log, "configuration reloaded")
		}
		for range 20 {
			if body := sendRequest(); body != "old" {
				t.Fatalf("served by %q, want \"old\"", body)
			}
		}
	}
	reload(strings.Replace(config, strings.TrimPrefix(old.URL, "http://"), strings.TrimPrefix(next.URL, "http://"), 1))
	for end := time.Now().Add(testTimeout); sendRequest() != "next"; {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for a reply of the new discovery service's server")
		}
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit after SIGTERM: %v", err)
	}
}

// TestSIGTERMDrainsRequestsAndExitsZero sends SIGTERM to the program while a request is in flight. The node answers that
// request and exits with 0.
func TestSIGTERMDrainsRequestsAndExitsZero(t *testing.T) {
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
		<-r.Context().Done() // no update
	}))
	defer discovery.Close()
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"rev":1,"all":true,"targets":[
		{"uid":"s-1","endpoint":%q,"az":"a","model":"m","pod_group":0,"state":"in_service",
		"capacity_hint":1,"boot_ms":0}]},"settings":%s}`,
		strings.TrimPrefix(discovery.URL, "http://"), endpoint, platformSettings)
	cmd, address, _ := startNode(t, path, config)
	sendRequest := func(id, key string) (string, error) {
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
	if body, err := sendRequest("one", "fast"); err != nil || body != "made by the server for one" {
		t.Fatalf("response %q, %v", body, err)
	}
	idle, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	idle.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprint(idle, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	ready := bufio.NewReader(idle)
	resp, err := http.ReadResponse(ready, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("readiness check: %v, %v", resp, err)
	}
	type reply struct {
		body string
		err  error
	}
	slow := make(chan reply, 1)
	go func() {
		body, err := sendRequest("two", "slow")
		slow <- reply{body, err}
	}()
	<-got
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF { // the node closes idle connections
		t.Fatalf("read of an idle connection after SIGTERM: %v, want EOF", err)
	}
	close(hold)
	if r := <-slow; r.err != nil || r.body != "made by the server for two" {
		t.Fatalf("response to the request in flight: %q, %v", r.body, r.err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit after SIGTERM: %v", err)
	}
	if c, err := net.Dial("tcp", address); err == nil {
		c.Close()
		t.Fatal("a connection was accepted after the node exited")
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
