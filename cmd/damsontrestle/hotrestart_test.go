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

// sendManagement sends a line to a process's management endpoint and returns the reply.
func sendManagement(t *testing.T, address, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintln(c, request)
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(got)
}

// freeAddress returns a loopback address without a listener.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// TestHotRestart runs two processes of the program at one address, as the platform does for an upgrade. After the second
// process reports that it is ready, the first gets SIGTERM. Every request sent meanwhile must be served, half of them on
// connections of their own.
func TestHotRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "for ", r.Header.Get("X-Request-Id"))
	}))
	defer server.Close()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done() // no update
	}))
	defer discovery.Close()
	address, endpoints, folder := freeAddress(t), []string{freeAddress(t), freeAddress(t)}, t.TempDir()
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"mgmt":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"rev":1,"all":true,"targets":[
		{"uid":"s-1","endpoint":%q,"az":"a","model":"m","pod_group":0,"state":"in_service",
		"capacity_hint":1,"boot_ms":0}]},"settings":%s}`, address, endpoints[0], strings.TrimPrefix(discovery.URL, "http://"),
		strings.TrimPrefix(server.URL, "http://"), platformSettings)
	first, _, log := startNode(t, path, config, "TMPDIR="+folder)

	var answered atomic.Int64
	stopLoad := make(chan struct{})
	var load sync.WaitGroup
	for i := range 6 {
		load.Go(func() {
			client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-stopLoad:
					return
				default:
				}
				id := fmt.Sprint(i, "-", n)
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
				answered.Add(1)
			}
		})
	}
	progress := func() {
		t.Helper()
		for was, end := answered.Load(), time.Now().Add(testTimeout); answered.Load() < was+200; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("timed out waiting for 200 more replies")
			}
		}
	}
	progress()
	second, _, _ := startNode(t, path, config, "TMPDIR="+folder, "BALANCER_MGMT="+endpoints[1])
	for _, endpoint := range endpoints {
		if got := sendManagement(t, endpoint, "health"); got != "+OK ready\n" {
			t.Errorf("health: %q, want \"+OK ready\"", got)
		}
	}
	awaitLog(t, log, "by_two=true")
	progress()
	if err := first.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	awaitLog(t, log, "successor process is running; yielding listeners to it")
	if err := first.Wait(); err != nil {
		t.Errorf("exit of the first process: %v", err)
	}
	progress()
	close(stopLoad)
	load.Wait()
	if err := second.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := second.Wait(); err != nil {
		t.Errorf("exit of the second process: %v", err)
	}
}
