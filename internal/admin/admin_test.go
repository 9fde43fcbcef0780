package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/plan"
	"damsontrestle/internal/testpeer"
)

// fakeControl is a Control that does what a test says.
type fakeControl struct {
	apply func(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error)
}

func (f fakeControl) Show() ShowResponse {
	return ShowResponse{Running: plan.Running{Node: "n", Serial: 7}}
}

func (f fakeControl) Apply(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
	return f.apply(text, wait, step)
}

func (f fakeControl) Rollback(now plan.Running, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
	return f.apply([]byte(now.Node), wait, step)
}

// serve serves a Control until the test ends, and returns its socket.
func serve(t *testing.T, c Control) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	path := filepath.Join(dir, "s")
	ln, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(ln, c, slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(s.Close)
	return path
}

func TestStepsAndResultAreStreamed(t *testing.T) {
	var got string
	var waited time.Duration
	c := NewClient(serve(t, fakeControl{func(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
		got, waited = string(text), wait
		step("prepare", time.Millisecond)
		step("commit", time.Second)
		if got == "bad" {
			return plan.Running{Node: "n", Serial: 7}, &Error{CodeFailed, "it broke"}
		}
		return plan.Running{Node: "n", Serial: 8}, nil
	}}))
	if s, err := c.Show(t.Context()); err != nil || s.Serial != 7 {
		t.Errorf("%+v, %v", s, err)
	}
	var steps []string
	note := func(l ChangeEvent) { steps = append(steps, l.Step+" "+l.Took) }
	if r, err := c.Apply(t.Context(), []byte("good"), 3*time.Second, note); err != nil || r.Serial != 8 || got != "good" || waited != 3*time.Second {
		t.Errorf("%+v, %v, %q, %v", r, err, got, waited)
	}
	if s := strings.Join(steps, ", "); s != "prepare 1ms, commit 1s" {
		t.Error(s)
	}
	_, err := c.Apply(t.Context(), []byte("bad"), 0, nil)
	var e *Error
	if !errors.As(err, &e) || e.Code != CodeFailed || e.Message != "it broke" {
		t.Errorf("%v", err)
	}
	if _, err := c.Rollback(t.Context(), plan.Running{Node: "back"}, 0, nil); err != nil || got != "back" {
		t.Errorf("%v, %q", err, got)
	}
}

// A refusal before the first step is a status of its own, with a code.
func TestErrorCodesMapToHTTPStatus(t *testing.T) {
	for code, status := range map[string]int{CodeStale: 409, CodeBusy: 409, CodeOtherNode: 409, CodeNoPrevious: 409, CodeShuttingDown: 503,
		CodeUnreadable: 400, CodeNewer: 400, CodeInvalid: 400, CodeFailed: 500} {
		h := Handler(fakeControl{func([]byte, time.Duration, func(string, time.Duration)) (plan.Running, error) {
			return plan.Running{}, &Error{code, "why"}
		}})
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("POST", "/v1/apply", strings.NewReader("x")))
		var e Error
		if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil || w.Code != status || e.Code != code || e.Message != "why" {
			t.Errorf("%s: %d %s", code, w.Code, w.Body)
		}
	}
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	path := serve(t, fakeControl{func(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
		t.Errorf("carried out: %.20q", text)
		return plan.Running{}, nil
	}})
	for name, c := range map[string]struct {
		text   string
		status string
	}{
		"no wait":               {"POST /v1/apply?wait=soon HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "400"},
		"a negative wait":       {"POST /v1/apply?wait=-1s HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "400"},
		"too long a wait":       {"POST /v1/apply?wait=1h HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "400"},
		"half a plan":           {"POST /v1/apply HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf", "400"},
		"a long rollback":       {"POST /v1/rollback HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000), "413"},
		"a rollback of nothing": {"POST /v1/rollback HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{]", "400"},
		"GET":                   {"GET /v1/apply HTTP/1.1\r\nHost: a\r\n\r\n", "405"},
		"another path":          {"GET /v2/show HTTP/1.1\r\nHost: a\r\n\r\n", "404"},
	} {
		nc, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, c.text)
		nc.(*net.UnixConn).CloseWrite()
		nc.SetDeadline(time.Now().Add(testpeer.Limit))
		said, _ := io.ReadAll(nc)
		if !strings.HasPrefix(string(said), "HTTP/1.1 "+c.status) {
			t.Errorf("%s: %.60q", name, said)
		}
		nc.Close()
	}
}

// What is carried out goes on though its client has left, and the client is told that it does.
func TestChangeOutlivesItsClient(t *testing.T) {
	begun, on, over := make(chan struct{}), make(chan struct{}), make(chan struct{})
	c := NewClient(serve(t, fakeControl{func(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
		close(begun)
		<-on
		for range 100 {
			step("a step nobody hears", 0)
		}
		close(over)
		return plan.Running{}, nil
	}}))
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() {
		_, err := c.Apply(ctx, nil, 0, nil)
		left <- err
	}()
	testpeer.Receive(t, begun, "the change")
	cancel()
	if err := testpeer.Receive(t, left, "the client's end"); !errors.Is(err, ErrTruncatedResponse) {
		t.Errorf("%v", err)
	}
	close(on)
	testpeer.Receive(t, over, "the change's end")
}

func TestShowWithoutDaemon(t *testing.T) {
	if _, err := NewClient(filepath.Join(t.TempDir(), "none")).Show(t.Context()); !errors.Is(err, ErrNoDaemon) {
		t.Errorf("%v", err)
	}
}

// An answer that ends before its last line is no success.
func TestTruncatedResponseIsError(t *testing.T) {
	dir := t.TempDir()
	ln, err := net.Listen("unix", filepath.Join(dir, "s"))
	if err != nil {
		t.Skip("the folder's path is too long for a socket")
	}
	defer ln.Close()
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"step":"prepare"}`+"\n")
	}))
	if _, err := NewClient(filepath.Join(dir, "s")).Apply(t.Context(), nil, 0, nil); !errors.Is(err, ErrTruncatedResponse) {
		t.Errorf("%v", err)
	}
}

// Whatever a client sends, the handler answers with a status and, unless it is carried out, an error in words.
func FuzzRequests(f *testing.F) {
	f.Add("POST", "/v1/apply?wait=1s", []byte("{}"))
	f.Add("POST", "/v1/rollback", []byte(`{"node":"n","serial":1}`))
	f.Add("GET", "/v1/show", []byte(nil))
	f.Add("POST", "/v1/rollback?wait=", []byte(`{"serial":1e99}`))
	f.Add("PUT", "/v1/../v1/apply?wait=%zz", []byte("x"))
	h := Handler(fakeControl{func(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
		if wait < 0 || wait > MaxWait {
			return plan.Running{}, errors.New("a wait beyond the bounds came through")
		}
		_, err := plan.Decode(text)
		if err != nil {
			return plan.Running{}, &Error{CodeUnreadable, err.Error()}
		}
		return plan.Running{}, nil
	}})
	f.Fuzz(func(t *testing.T, method, target string, body []byte) {
		r, err := http.NewRequest(method, "http://admin"+target, bytes.NewReader(body))
		if err != nil {
			return
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code < 200 || w.Code > 599 || w.Code == 500 {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
	})
}

// A daemon whose queue is full can't be asked whether it runs: its socket stays.
func TestSocketWithFullQueueIsNotTakenOver(t *testing.T) {
	dir, err := os.MkdirTemp("", "a") // a Unix socket's path is short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	path := dir + "/s"
	fd, err := syscall.Socket(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrUnix{Name: path}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	before, err := os.Lstat(path)
	if err != nil {
		t.Fatal(err)
	}
	for {
		c, err := net.Dial("unix", path)
		if errors.Is(err, syscall.EAGAIN) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	if ln, err := Listen(path); !errors.Is(err, syscall.EAGAIN) {
		t.Errorf("%v, %v; want EAGAIN", ln, err)
	}
	if after, err := os.Lstat(path); err != nil || !os.SameFile(before, after) {
		t.Errorf("the daemon's socket was taken: %v", err)
	}
}
