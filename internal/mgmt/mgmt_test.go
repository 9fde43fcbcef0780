package mgmt

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"damsontrestle/internal/metrics"
	"damsontrestle/internal/testpeer"
)

// fakeControl is a Control that records its calls.
type fakeControl struct {
	healthErr error
	calls     []string
}

func (c *fakeControl) Health() error { return c.healthErr }
func (c *fakeControl) Metrics() metrics.Report {
	var recorder metrics.Recorder
	recorder.RegisterClasses("view")
	return recorder.Report()
}
func (c *fakeControl) Quiesce() error { c.calls = append(c.calls, "quiesce"); return nil }
func (c *fakeControl) Resume() error {
	c.calls = append(c.calls, "resume")
	return errors.New("the node is ending")
}

func startServer(t *testing.T, control *fakeControl) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(ln, control, slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(func() { s.Close(); goleak.VerifyNone(t) })
	return ln.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testpeer.Limit))
	return c
}

// roundTrip sends a command line in pieces and returns the complete response.
func roundTrip(t *testing.T, address string, pieces ...string) string {
	t.Helper()
	c := dial(t, address)
	for _, p := range pieces {
		if _, err := io.WriteString(c, p); err != nil {
			t.Fatal(err)
		}
	}
	got, err := io.ReadAll(c)
	if err != nil && !strings.Contains(err.Error(), "reset") {
		t.Fatal(err)
	}
	return string(got)
}

func TestCommands(t *testing.T) {
	control := &fakeControl{}
	address := startServer(t, control)
	for _, c := range []struct{ line, want string }{
		{"health\n", "+OK ready\n"},
		{"health\r\n", "+OK ready\n"},
		{"counters\n", `{"fulfilled":{"view":0},"throttled":{"view":0},"faulted":{"view":0},"relayed":0,"open_requests":0,"registry_entries":0,"out_of_rotation":0}` + "\n.\n"},
		{"quiesce\n", "+OK clients are sent away\n"},
		{"resume\n", "-ERR the node is ending\n"},
		{"HEALTH\n", "-ERR \"HEALTH\" is no call; there are health, counters, quiesce and resume\n"},
		{"\n", "-ERR \"\" is no call; there are health, counters, quiesce and resume\n"},
	} {
		if got := roundTrip(t, address, c.line); got != c.want {
			t.Errorf("%q: got %q, want %q", c.line, got, c.want)
		}
	}
	if got := roundTrip(t, address, "hea", "lth", "\ntrailing text that is ignored"); got != "+OK ready\n" {
		t.Errorf("command in pieces: got %q", got)
	}
	if got := roundTrip(t, address, strings.Repeat("x", maxLineBytes)); !strings.HasPrefix(got, "-ERR a line holds") {
		t.Errorf("command that is too long: got %q", got)
	}
	if strings.Join(control.calls, " ") != "quiesce resume" {
		t.Errorf("got calls %v, want quiesce and resume", control.calls)
	}
}

func TestHealthReturnsError(t *testing.T) {
	if got := roundTrip(t, startServer(t, &fakeControl{healthErr: errors.New("no server is listed")}), "health\n"); got != "-ERR no server is listed\n" {
		t.Errorf("got %q", got)
	}
}

// Any number of clients that hold a connection with an incomplete command must not block others: the oldest connections are
// closed.
func TestSilentClientsDoNotBlockManagement(t *testing.T) {
	address := startServer(t, &fakeControl{})
	first := dial(t, address)
	io.WriteString(first, "heal")
	for range 4 * MaxConnections {
		io.WriteString(dial(t, address), "heal")
	}
	if got := roundTrip(t, address, "health\n"); got != "+OK ready\n" {
		t.Errorf("got %q", got)
	}
	if _, err := io.ReadAll(first); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("the oldest connection is still open: %v", err)
	}
}
