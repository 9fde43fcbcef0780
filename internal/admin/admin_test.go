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

// fakeControl is a Control whose changes are executed by a function of the test.
type fakeControl struct {
	apply func(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error)
}

func (f fakeControl) Show() ShowResponse {
	return ShowResponse{Running: plan.Running{Node: "n", Serial: 7}}
}

func (f fakeControl) Apply(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
	return f.apply(text, wait, step)
}

func (f fakeControl) Rollback(current plan.Running, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
	return f.apply([]byte(current.Node), wait, step)
}

// serve serves a Control until the end of the test, and returns the path of its socket.
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
	client := NewClient(serve(t, fakeControl{func(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
		got, waited = string(text), wait
		step("prepare", time.Millisecond)
		step("commit", time.Second)
		if got == "bad" {
			return plan.Running{Node: "n", Serial: 7}, &Error{CodeFailed, "it broke"}
		}
		return plan.Running{Node: "n", Serial: 8}, nil
	}}))
	if shown, err := client.Show(t.Context()); err != nil || shown.Serial != 7 {
		t.Errorf("got %+v, %v, want serial 7", shown, err)
	}
	var steps []string
	record := func(e ChangeEvent) { steps = append(steps, e.Step+" "+e.Took) }
	if running, err := client.Apply(t.Context(), []byte("good"), 3*time.Second, record); err != nil || running.Serial != 8 || got != "good" || waited != 3*time.Second {
		t.Errorf("got %+v, %v with plan %q and wait %v", running, err, got, waited)
	}
	if shown := strings.Join(steps, ", "); shown != "prepare 1ms, commit 1s" {
		t.Errorf("got steps %q", shown)
	}
	_, err := client.Apply(t.Context(), []byte("bad"), 0, nil)
	var e *Error
	if !errors.As(err, &e) || e.Code != CodeFailed || e.Message != "it broke" {
		t.Errorf("got error %v, want code %s and message \"it broke\"", err, CodeFailed)
	}
	if _, err := client.Rollback(t.Context(), plan.Running{Node: "back"}, 0, nil); err != nil || got != "back" {
		t.Errorf("got %v with node %q, want node back", err, got)
	}
}

// An error before the first step has an HTTP status that corresponds to its code.
func TestErrorCodesMapToHTTPStatus(t *testing.T) {
	for code, status := range map[string]int{CodeStale: 409, CodeBusy: 409, CodeOtherNode: 409, CodeNoPrevious: 409, CodeShuttingDown: 503,
		CodeUnreadable: 400, CodeNewer: 400, CodeInvalid: 400, CodeFailed: 500} {
		handler := Handler(fakeControl{func([]byte, time.Duration, func(string, time.Duration)) (plan.Running, error) {
			return plan.Running{}, &Error{code, "why"}
		}})
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest("POST", "/v1/apply", strings.NewReader("x")))
		var e Error
		if err := json.Unmarshal(recorder.Body.Bytes(), &e); err != nil || recorder.Code != status || e.Code != code || e.Message != "why" {
			t.Errorf("%s: got %d %s, want status %d", code, recorder.Code, recorder.Body, status)
		}
	}
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	path := serve(t, fakeControl{func(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
		t.Errorf("malformed request was executed: %.20q", text)
		return plan.Running{}, nil
	}})
	for name, c := range map[string]struct {
		text   string
		status string
	}{
		"unparsable wait":    {"POST /v1/apply?wait=soon HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "400"},
		"negative wait":      {"POST /v1/apply?wait=-1s HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "400"},
		"excessive wait":     {"POST /v1/apply?wait=1h HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "400"},
		"incomplete plan":    {"POST /v1/apply HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf", "400"},
		"long rollback":      {"POST /v1/rollback HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000), "413"},
		"malformed rollback": {"POST /v1/rollback HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{]", "400"},
		"GET":                {"GET /v1/apply HTTP/1.1\r\nHost: a\r\n\r\n", "405"},
		"unknown path":       {"GET /v2/show HTTP/1.1\r\nHost: a\r\n\r\n", "404"},
	} {
		conn, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, c.text)
		conn.(*net.UnixConn).CloseWrite()
		conn.SetDeadline(time.Now().Add(testpeer.Limit))
		response, _ := io.ReadAll(conn)
		if !strings.HasPrefix(string(response), "HTTP/1.1 "+c.status) {
			t.Errorf("%s: got %.60q, want status %s", name, response, c.status)
		}
		conn.Close()
	}
}

// A change continues after its client has disconnected, and the client gets an error that says so.
func TestChangeOutlivesItsClient(t *testing.T) {
	started, proceed, finished := make(chan struct{}), make(chan struct{}), make(chan struct{})
	client := NewClient(serve(t, fakeControl{func(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
		close(started)
		<-proceed
		for range 100 {
			step("step without a client", 0)
		}
		close(finished)
		return plan.Running{}, nil
	}}))
	ctx, cancel := context.WithCancel(t.Context())
	clientDone := make(chan error, 1)
	go func() {
		_, err := client.Apply(ctx, nil, 0, nil)
		clientDone <- err
	}()
	testpeer.Receive(t, started, "the start of the change")
	cancel()
	if err := testpeer.Receive(t, clientDone, "the end of the client"); !errors.Is(err, ErrTruncatedResponse) {
		t.Errorf("got error %v, want ErrTruncatedResponse", err)
	}
	close(proceed)
	testpeer.Receive(t, finished, "the end of the change")
}

func TestShowWithoutDaemon(t *testing.T) {
	if _, err := NewClient(filepath.Join(t.TempDir(), "none")).Show(t.Context()); !errors.Is(err, ErrNoDaemon) {
		t.Errorf("got error %v, want ErrNoDaemon", err)
	}
}

// A response that ends before its last line is an error.
func TestTruncatedResponseIsError(t *testing.T) {
	dir := t.TempDir()
	ln, err := net.Listen("unix", filepath.Join(dir, "s"))
	if err != nil {
		t.Skip("the path of the temporary directory is too long for a socket")
	}
	defer ln.Close()
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"step":"prepare"}`+"\n")
	}))
	if _, err := NewClient(filepath.Join(dir, "s")).Apply(t.Context(), nil, 0, nil); !errors.Is(err, ErrTruncatedResponse) {
		t.Errorf("got error %v, want ErrTruncatedResponse", err)
	}
}

// The handler responds to any request with a valid status other than 500.
func FuzzRequests(f *testing.F) {
	f.Add("POST", "/v1/apply?wait=1s", []byte("{}"))
	f.Add("POST", "/v1/rollback", []byte(`{"node":"n","serial":1}`))
	f.Add("GET", "/v1/show", []byte(nil))
	f.Add("POST", "/v1/rollback?wait=", []byte(`{"serial":1e99}`))
	f.Add("PUT", "/v1/../v1/apply?wait=%zz", []byte("x"))
	h := Handler(fakeControl{func(text []byte, wait time.Duration, step func(string, time.Duration)) (plan.Running, error) {
		if wait < 0 || wait > MaxWait {
			return plan.Running{}, errors.New("wait out of range")
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
			t.Fatalf("got status %d with body %s", w.Code, w.Body)
		}
	})
}

// A daemon whose accept queue is full can't be asked whether it runs, so its socket must not be replaced.
func TestSocketWithFullQueueIsNotTakenOver(t *testing.T) {
	dir, err := os.MkdirTemp("", "a") // t.TempDir may be too long for the path of a Unix socket
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
		t.Errorf("Listen returned %v, %v; want EAGAIN", ln, err)
	}
	if after, err := os.Lstat(path); err != nil || !os.SameFile(before, after) {
		t.Errorf("the daemon's socket was replaced: %v", err)
	}
}
