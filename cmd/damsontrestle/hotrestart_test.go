package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// manage sends a line to the management endpoint of a process.
func manage(t *testing.T, address, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(limit))
	fmt.Fprintln(c, request)
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(got)
}

// freeAddress is one that nobody listens at now.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// TestHotRestart runs the real program twice at one address, as the platform does for an upgrade: once
// the second says that it is ready the first is told to end. Requests go on all the while, half of them on connections of
// their own, and each is served.
func TestHotRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "for ", r.Header.Get("X-Request-Id"))
	}))
	defer server.Close()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done() // nothing new
	}))
	defer discovery.Close()
	address, endpoints, folder := freeAddress(t), []string{freeAddress(t), freeAddress(t)}, t.TempDir()
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"mgmt":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"rev":1,"all":true,"targets":[
		{"uid":"s-1","endpoint":%q,"az":"a","model":"m","pod_group":0,"state":"in_service",
		"capacity_hint":1,"boot_ms":0}]},"settings":%s}`, address, endpoints[0], strings.TrimPrefix(discovery.URL, "http://"),
		strings.TrimPrefix(server.URL, "http://"), settings)
	first, _, log := start(t, path, config, "TMPDIR="+folder)

	var asked atomic.Int64
	over := make(chan struct{})
	var load sync.WaitGroup
	for i := range 6 {
		load.Go(func() {
			client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}
			defer client.CloseIdleConnections()
			for k := 0; ; k++ {
				select {
				case <-over:
					return
				default:
				}
				id := fmt.Sprint(i, "-", k)
				req, _ := http.NewRequest("GET", "http://"+address+"/view/k", nil)
				req.Header.Set("X-Request-Id", id)
				req.Header.Set("X-Deadline", "40")
				resp, err := client.Do(req)
				if err != nil {
					t.Errorf("%s: %v", id, err)
					return
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || string(body) != "for "+id {
					t.Errorf("%s: %d %q, %v", id, resp.StatusCode, body, err)
				}
				asked.Add(1)
			}
		})
	}
	progress := func() {
		t.Helper()
		for was, end := asked.Load(), time.Now().Add(limit); asked.Load() < was+200; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no calls are answered any more")
			}
		}
	}
	progress()
	second, _, _ := start(t, path, config, "TMPDIR="+folder, "BALANCER_MGMT="+endpoints[1])
	for _, d := range endpoints {
		if got := manage(t, d, "health"); got != "+OK ready\n" {
			t.Errorf("health: %q", got)
		}
	}
	await(t, log, "by_two=true")
	progress()
	if err := first.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	await(t, log, "successor process is running; yielding listeners to it")
	if err := first.Wait(); err != nil {
		t.Errorf("the first process: %v", err)
	}
	progress()
	close(over)
	load.Wait()
	if err := second.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := second.Wait(); err != nil {
		t.Errorf("the second process: %v", err)
	}
}
