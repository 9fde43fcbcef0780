package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// lateAnswer is how long after its client's time a final response may end (the operators' standing terms).
const lateAnswer = 500 * time.Millisecond

// slowPeerSettings have a latency objective that is shorter than the time that clients wait.
const slowPeerSettings = `{"lanes":[{"name":"view","effect":"read_like","target-ms":1500,"deadline-ms":2500},
	{"name":"note","effect":"non_idempotent","target-ms":1500,"deadline-ms":2500}],
	"limits":{"max-attempts":3,"conn-idle-ms":60000,"connect-timeout-ms":1000,"cancelling":true,
	"retry-after":true,"max-retry-after-ms":2000},"tick-ms":5,"balancers":1,"registry-mode":"pushed"}`

// listenWith handles each connection to a new address with a function.
func listenWith(t *testing.T, handle func(c net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
	return listener.Addr().String()
}

// agentConfig returns the configuration of a platform node that follows an agent and knows its list.
func agentConfig(agent *testpeer.Agent, list, settings string, memoryMB, sockets int) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		agent.Address(), memoryMB, sockets, strings.Replace(list, "%d", "1", 1), settings)
}

// Limits of the nodes of most tests.
const (
	usualMemoryMB = 64
	usualSockets  = 1024
)

// startNodeWithServer starts a node as a process before one server, which handles each connection with a function.
func startNodeWithServer(t *testing.T, handle func(c net.Conn)) (address string) {
	t.Helper()
	agent := testpeer.NewAgent(t)
	list := testpeer.FullSnapshot(testpeer.Entry("s1", listenWith(t, handle), "in_service"))
	agent.Tell(false, list)
	config := agentConfig(agent, list, slowPeerSettings, usualMemoryMB, usualSockets)
	cmd, address, log := startNode(t, filepath.Join(t.TempDir(), "config.json"), config)
	t.Cleanup(func() { cmd.Process.Signal(syscall.SIGKILL) })
	go func() {
		for line := range log {
			t.Log(line)
		}
	}()
	return address
}

// paceInterval is the pause between two parts of a paced stream.
const paceInterval = 50 * time.Millisecond

// writePaced writes a text at a rate in bytes per second.
func writePaced(w io.Writer, text string, rate int, frame func(part string) string) error {
	size := max(1, int(time.Duration(rate)*paceInterval/time.Second))
	for len(text) > 0 {
		part := text[:min(size, len(text))]
		text = text[len(part):]
		if _, err := io.WriteString(w, frame(part)); err != nil {
			return err
		}
		time.Sleep(paceInterval)
	}
	return nil
}

// plain is the framing of a body with a length or none, chunk that of a chunked one.
func plain(part string) string { return part }
func chunk(part string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(part), part) }

// slowReply is a reply that a server writes slowly and completely.
type slowReply struct {
	name    string
	framing string // "length", "chunked" or "none"
	bytes   int
	rate    int           // bytes per second
	begin   time.Duration // from the request to the head
}

var slowReplies = []slowReply{
	{"long, begins late", "length", 101818, 37000, 1100 * time.Millisecond},
	{"long, begins late", "chunked", 101818, 37000, 1100 * time.Millisecond},
	{"long", "chunked", 100000, 30000, 0},
	{"long", "none", 100000, 30000, 0},
	{"below the buffered length", "length", 40000, 25000, 0},
	{"below the buffered length, past the client's time", "length", 60000, 20000, 0},
	{"below the buffered length, past the client's time", "chunked", 60000, 20000, 0},
	{"short", "length", 4000, 1000, 0},
	{"short", "none", 4000, 1000, 0},
}

// write writes the reply to a server's connection.
func (r slowReply) write(c net.Conn) {
	time.Sleep(r.begin)
	body := repeated("x", r.bytes)
	switch r.framing {
	case "length":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", r.bytes)
		writePaced(c, body, r.rate, plain)
	case "chunked":
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		writePaced(c, body, r.rate, chunk)
		io.WriteString(c, "0\r\n\r\n")
	default:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
		writePaced(c, body, r.rate, plain)
	}
}

// slowResult is what a client got of a slow reply.
type slowResult struct {
	class    string
	status   int
	first    time.Duration // until the response began
	received int64
	err      error
}

// readSlowReply reads a response that began to be waited for at a time.
func readSlowReply(client *testpeer.ClientConn, class string, begin time.Time) slowResult {
	result := slowResult{class: class}
	response, err := http.ReadResponse(client.Reader, nil)
	result.first = time.Since(begin)
	if err != nil {
		result.err = err
		return result
	}
	result.status = response.StatusCode
	result.received, result.err = io.Copy(io.Discard, response.Body)
	return result
}

// Guards against a cut of a sound reply: its server goes on writing it when the attempt's or the client's time ends.
func TestSlowReplyInProgressIsNotCut(t *testing.T) {
	t.Parallel()
	const wait = 2500 * time.Millisecond
	for _, reply := range slowReplies {
		t.Run(fmt.Sprint(reply.name, " ", reply.framing), func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			address := startNodeWithServer(t, func(c net.Conn) {
				request, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				io.Copy(io.Discard, request.Body)
				requests.Add(1)
				reply.write(c)
			})
			results := make(chan slowResult)
			for class, method := range map[string]string{"note": "POST", "view": "GET"} {
				client := testpeer.Dial(t, address)
				begin := time.Now()
				client.Send(method, "/"+class+"/k", "slow-"+class, "", fmt.Sprint(wait.Seconds()))
				go func() { results <- readSlowReply(client, class, begin) }()
			}
			for range 2 {
				r := <-results
				if r.status != 200 || r.received != int64(reply.bytes) || r.err != nil {
					t.Errorf("%s: status %d after %v, %d bytes, %v; want 200 with %d bytes", r.class, r.status, r.first, r.received, r.err, reply.bytes)
				}
				if r.first > wait+lateAnswer {
					t.Errorf("%s: the response began after %v; the client waits %v", r.class, r.first, wait)
				}
			}
			if requests.Load() != 2 {
				t.Errorf("%d requests reached the server, want 2", requests.Load())
			}
		})
	}
}

// slowUpload is a request's body that its server reads slowly.
type slowUpload struct {
	name        string
	chunked     bool
	bytes       int
	readRate    int  // of the server, bytes per second
	writeRate   int  // of the client, bytes per second; 0: as fast as it can
	smallBuffer bool // of the client's and the server's sockets
	wait        time.Duration
	served      bool // the server can read it in time
}

// socketBuffer is the size of small socket buffers, in bytes: more than a segment of the loopback interface holds.
const socketBuffer = 96 << 10

var slowUploads = []slowUpload{
	{name: "all in buffers", chunked: true, bytes: 803706, readRate: 101420, wait: 1500 * time.Millisecond},
	{name: "all in buffers", bytes: 803706, readRate: 101420, wait: 1500 * time.Millisecond},
	{name: "beyond the buffers", bytes: 9 << 20, readRate: 1_500_000, wait: 1500 * time.Millisecond},
	{name: "beyond the buffers", chunked: true, bytes: 9 << 20, readRate: 1_500_000, wait: 1500 * time.Millisecond},
	{name: "beyond the buffers, longer wait", bytes: 9 << 20, readRate: 1_000_000, wait: 2500 * time.Millisecond},
	{name: "small buffers of the client", bytes: 8_000_000, readRate: 4_000_000, smallBuffer: true, wait: 2500 * time.Millisecond, served: true},
	{name: "small buffers of the client", chunked: true, bytes: 8_000_000, readRate: 4_000_000, smallBuffer: true, wait: 2500 * time.Millisecond, served: true},
	{name: "client as slow as the server", bytes: 600_000, readRate: 200_000, writeRate: 150_000, wait: 1500 * time.Millisecond, served: true},
	{name: "client as slow as the server", chunked: true, bytes: 600_000, readRate: 200_000, writeRate: 150_000, wait: 1500 * time.Millisecond, served: true},
}

// readPaced reads a request's body at a rate in bytes per second and reports whether it was complete.
func readPaced(body io.Reader, rate int) bool {
	size := int64(time.Duration(rate) * paceInterval / time.Second)
	for {
		_, err := io.CopyN(io.Discard, body, size)
		if err != nil {
			return err == io.EOF
		}
		time.Sleep(paceInterval)
	}
}

// send writes the request and returns the time at which its last byte was written.
func (u slowUpload) send(c net.Conn) (time.Time, error) {
	framing := fmt.Sprintf("Content-Length: %d", u.bytes)
	frame := plain
	if u.chunked {
		framing, frame = "Transfer-Encoding: chunked", chunk
	}
	fmt.Fprintf(c, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: slow-upload\r\nX-Deadline: %g\r\n%s\r\n\r\n", u.wait.Seconds(), framing)
	body := repeated("x", u.bytes)
	var err error
	if u.writeRate > 0 {
		err = writePaced(c, body, u.writeRate, frame)
	} else {
		const part = 16 << 10
		for rest := body; len(rest) > 0 && err == nil; rest = rest[min(part, len(rest)):] {
			_, err = io.WriteString(c, frame(rest[:min(part, len(rest))]))
		}
	}
	if u.chunked && err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return time.Now(), err
}

// slowlyReadUploads are read completely within their clients' time, but after the time of an attempt.
var slowlyReadUploads = []slowUpload{
	{name: "read within the client's time", bytes: 800_000, readRate: 400_000, wait: 2500 * time.Millisecond, served: true},
	{name: "read within the client's time", chunked: true, bytes: 800_000, readRate: 400_000, wait: 2500 * time.Millisecond, served: true},
	{name: "large", bytes: 8_000_000, readRate: 4_000_000, wait: 2500 * time.Millisecond, served: true},
	{name: "large, small buffers", chunked: true, bytes: 3_000_000, readRate: 1_500_000, smallBuffer: true, wait: 2500 * time.Millisecond, served: true},
}

// Guards against a cut of a sound upload: its server is still reading it when the attempt's time ends, or has freed too little of the
// kernel's buffer for the node to write on.
func TestUploadThatServerReadsIsNotCut(t *testing.T) {
	t.Parallel()
	playSlowUploads(t, slowlyReadUploads)
}

// Guards against a final response that is late, or an upload that is cut: its server reads it slowly, while its last bytes wait in
// buffers or its client goes on writing.
func TestUploadToSlowServerIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	playSlowUploads(t, slowUploads)
}

// String returns the name of the upload with its framing.
func (u slowUpload) String() string {
	if u.chunked {
		return u.name + " chunked"
	}
	return u.name + " length"
}

// playSlowUploads plays each upload in a test of its own, beside each other.
func playSlowUploads(t *testing.T, uploads []slowUpload) {
	for _, upload := range uploads {
		t.Run(upload.String(), func(t *testing.T) {
			t.Parallel()
			playSlowUpload(t, upload)
		})
	}
}

// playSlowUpload sends an upload through a node to a server that reads it slowly, and checks when and how it is answered.
func playSlowUpload(t *testing.T, upload slowUpload) {
	address := startNodeWithServer(t, func(c net.Conn) {
		if upload.smallBuffer {
			c.(*net.TCPConn).SetReadBuffer(socketBuffer)
		}
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil && readPaced(request.Body, upload.readRate) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	client := testpeer.Dial(t, address)
	if upload.smallBuffer {
		client.Conn.(*net.TCPConn).SetWriteBuffer(socketBuffer)
	}
	type sending struct {
		at  time.Time
		err error
	}
	sent := make(chan sending, 1)
	go func() {
		at, err := upload.send(client)
		sent <- sending{at, err}
	}()
	response, err := http.ReadResponse(client.Reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	end := time.Now()
	last := <-sent
	took := end.Sub(last.at)
	t.Logf("status %d, %v after the last byte (%v)", response.StatusCode, took, last.err)
	if took > upload.wait+lateAnswer {
		t.Errorf("status %d %v after the last byte; the client waits %v", response.StatusCode, took, upload.wait)
	}
	if (response.StatusCode == 200) != upload.served {
		t.Errorf("status %d, %v after the last byte; served in time: want %v", response.StatusCode, took, upload.served)
	}
}
