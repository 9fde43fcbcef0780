package http1

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
	"damsontrestle/internal/validation"
)

// long is more than the node keeps of a body, and more than the kernel does on the way.
const long = 5 << 20

// randomBytes is a body that tells if anything of it is missing, twice or out of order.
func randomBytes(size int) []byte {
	text := make([]byte, size)
	rng := rand.New(rand.NewPCG(uint64(size), 1))
	for i := range text {
		text[i] = byte(rng.Uint32())
	}
	return text
}

// rawServer is a server that gets each connection with the head of its first request read.
func rawServer(t testing.TB, serve func(c net.Conn, r *http.Request)) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	t.Cleanup(func() { ln.Close(); all.Wait() })
	all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				defer c.Close()
				c.SetDeadline(time.Now().Add(2 * testpeer.Limit))
				in := testpeer.On(c)
				if r, err := http.ReadRequest(in.Reader); err == nil {
					serve(c, r)
				}
			})
		}
	})
	return ln
}

func entry(id string, ln net.Listener) string {
	return testpeer.Entry(id, ln.Addr().String(), "in_service")
}

func TestLongResponsesAreStreamedWhole(t *testing.T) {
	want := randomBytes(long)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		switch r.URL.RawQuery {
		case "length":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: %d\r\n\r\n", len(want))
			c.Write(want)
		case "chunks":
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for rest, size := want, 1; len(rest) > 0; size = size%9999 + 13 {
				n := min(size, len(rest))
				fmt.Fprintf(c, "%x;extension\r\n%s\r\n", n, rest[:n])
				rest = rest[n:]
			}
			io.WriteString(c, "0\r\nTrailer: x\r\n\r\n")
		case "end":
			io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
			c.Write(want)
			return false
		default:
			return testpeer.Echo(c, r, body)
		}
		return true
	})
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	c := testpeer.Dial(t, n.Addr())
	for i, form := range []string{"length", "chunks", "none", "end", "none"} {
		c.Send("GET", "/view/k?"+form, fmt.Sprint("r", i), "", "60")
		r, got := c.Answer(t)
		if form == "none" {
			if got != fmt.Sprint("for r", i) {
				t.Errorf("an answer after a long one: %q", got)
			}
			continue
		}
		if r.StatusCode != 200 || sha256.Sum256([]byte(got)) != sha256.Sum256(want) {
			t.Errorf("%s: %d, %d bytes of %d or not the same", form, r.StatusCode, len(got), len(want))
		}
	}
	if s.Opened() != 2 {
		t.Errorf("%d connections to the server, want one, and one after that which its end ended", s.Opened())
	}
}

// A client that takes nothing must hold its server up rather than fill the node.
func TestSlowReaderPushesBackOnServer(t *testing.T) {
	const size = 32 << 20
	var sent atomic.Int64
	over := make(chan struct{})
	ln := rawServer(t, func(c net.Conn, r *http.Request) {
		defer close(over)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		for part := randomBytes(64 << 10); sent.Load() < size; {
			n, err := c.Write(part)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	})
	n := start(t, testConfig(testpeer.Whole(entry("s1", ln))), nil)
	c := testpeer.Dial(t, n.Addr())
	c.Get("slow")
	r, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	for was := int64(-1); was != sent.Load(); time.Sleep(200 * time.Millisecond) {
		was = sent.Load()
	}
	if sent.Load() == size {
		t.Fatal("the server has sent all of it, and nobody has read it")
	}
	if got, err := io.Copy(io.Discard, r.Body); got != size || err != nil {
		t.Errorf("%d bytes, %v", got, err)
	}
	testpeer.Receive(t, over, "the server's end")
}

// A server that ends halfway has its client see that the answer is not complete, whatever its form; nothing is sent again.
func TestTruncatedLongReply(t *testing.T) {
	for _, form := range []string{"Content-Length: 200000", "Transfer-Encoding: chunked"} {
		var asked atomic.Int64
		ln := rawServer(t, func(c net.Conn, r *http.Request) {
			asked.Add(1)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", form)
			if strings.HasPrefix(form, "Transfer") {
				io.WriteString(c, "20000\r\n") // more than follows
			}
			c.Write(randomBytes(100000))
		})
		n := start(t, testConfig(testpeer.Whole(entry("s1", ln))), nil)
		c := testpeer.Dial(t, n.Addr())
		c.Get("cut")
		r, err := http.ReadResponse(c.Reader, nil)
		if err != nil || r.StatusCode != 200 {
			t.Fatalf("%s: %v %v", form, r, err)
		}
		if got, err := io.ReadAll(r.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: %d bytes, %v; want an end that can be told from the whole", form, len(got), err)
		}
		testpeer.Until(t, "the connections to be closed", func() bool { return n.upstream.Connections() == 0 })
		testpeer.Until(t, "it to be counted", func() bool { return n.front.counters.Report().Faulted["view"] == 1 })
		if asked.Load() != 1 {
			t.Errorf("%s: asked %d times", form, asked.Load())
		}
	}
}

// A client that leaves halfway through an answer frees the server's connection.
func TestDisconnectDuringLongResponse(t *testing.T) {
	over := make(chan struct{})
	ln := rawServer(t, func(c net.Conn, r *http.Request) {
		defer close(over)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 32<<20)
		for part := randomBytes(64 << 10); ; {
			if _, err := c.Write(part); err != nil {
				return
			}
		}
	})
	n := start(t, testConfig(testpeer.Whole(entry("s1", ln))), nil)
	c := testpeer.Dial(t, n.Addr())
	c.Get("leaving")
	if _, err := http.ReadResponse(c.Reader, nil); err != nil {
		t.Fatal(err)
	}
	c.Close()
	testpeer.Receive(t, over, "the server's end")
	testpeer.Until(t, "the connection to be closed", func() bool { return n.upstream.Connections() == 0 })
}

// upload sends a request's head and returns a function that sends its body in pieces.
func sendUpload(c *testpeer.Caller, id string, size int, chunked bool) (write func([]byte) error, end func()) {
	frame := fmt.Sprintf("Content-Length: %d", size)
	if chunked {
		frame = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(c, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 60\r\n%s\r\n\r\n", id, frame)
	if !chunked {
		return func(p []byte) error { _, err := c.Write(p); return err }, func() {}
	}
	return func(p []byte) error { _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(p), p); return err },
		func() { io.WriteString(c, "0\r\n\r\n") }
}

func TestLongBodiesAreStreamedWhole(t *testing.T) {
	want := randomBytes(long)
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		return testpeer.Reply200(c, fmt.Sprintf("%x", sha256.Sum256([]byte(body))))
	})
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	for _, size := range []int{1, validation.MaxBody, validation.MaxBody + 1, long} {
		for _, chunked := range []bool{false, true} {
			c := testpeer.Dial(t, n.Addr())
			for i := range 2 {
				if i == 1 && chunked {
					c.WantClosed(t, "a connection behind a body in chunks") // nothing may hide there
					break
				}
				write, end := sendUpload(c, fmt.Sprint(size, chunked, i), size, chunked)
				for rest := want[:size]; len(rest) > 0; {
					part := min(len(rest), 1+len(rest)/7)
					if err := write(rest[:part]); err != nil {
						t.Fatal(err)
					}
					rest = rest[part:]
				}
				end()
				c.Want(t, 200, fmt.Sprintf("%x", sha256.Sum256(want[:size])))
			}
		}
	}
	if s.Opened() != 1 {
		t.Errorf("%d connections to the server for bodies one after another, want 1", s.Opened())
	}
}

// An upload goes to another server as long as nothing of it is gone, and is refused, not tried again, once some is:
// the server that broke never had it whole.
func TestUploadBrokenByServer(t *testing.T) {
	good := testpeer.NewServer(t, testpeer.Echo)
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", testpeer.ClosedPort(t), "in_service"),
		testpeer.Entry("s2", good.Address(), "in_service"))), nil)
	for i := range 10 { // the closed one is drawn first now and then
		c := testpeer.Dial(t, n.Addr())
		id := fmt.Sprint("other-", i)
		write, _ := sendUpload(c, id, 1<<20, false)
		go write(randomBytes(1 << 20))
		c.Want(t, 200, "for "+id)
	}

	var tries atomic.Int64
	ln := rawServer(t, func(c net.Conn, r *http.Request) {
		tries.Add(1)
		io.CopyN(io.Discard, r.Body, 200<<10)
		c.(*net.TCPConn).SetLinger(0)
	})
	m := start(t, testConfig(testpeer.Whole(entry("s1", ln), entry("s2", ln))), nil)
	c := testpeer.Dial(t, m.Addr())
	write, _ := sendUpload(c, "broken", long, false)
	go write(randomBytes(long))
	r, _ := c.Answer(t)
	if r.StatusCode != 503 || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("got %d, Retry-After %q, close %v", r.StatusCode, r.Header.Get("Retry-After"), r.Close)
	}
	if tries.Load() != 1 {
		t.Errorf("sent %d times", tries.Load())
	}
}

// A server that turns an upload away before it is complete: its client hears so at once, though it has not sent all.
func TestUploadRejectedEarly(t *testing.T) {
	ln := rawServer(t, func(c net.Conn, r *http.Request) {
		io.CopyN(io.Discard, r.Body, 100<<10)
		io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		io.Copy(io.Discard, c)
	})
	n := start(t, testConfig(testpeer.Whole(entry("s1", ln))), nil)
	c := testpeer.Dial(t, n.Addr())
	write, _ := sendUpload(c, "early", 10<<20, false)
	if err := write(randomBytes(200 << 10)); err != nil { // and no more
		t.Fatal(err)
	}
	c.Want(t, http.StatusServiceUnavailable, "")
	testpeer.Until(t, "the connection to the server to be closed", func() bool { return n.upstream.Connections() == 0 })
}

// A server that turns an upload away before it has read any of it, and another that takes it: what the first attempt
// had begun to read is not missing in the second, or there is no second.
func TestUploadRetriedAtAnotherServerIsWhole(t *testing.T) {
	const size = 300 << 10
	text := randomBytes(size)
	full := rawServer(t, func(c net.Conn, r *http.Request) {
		io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		io.Copy(io.Discard, c)
	})
	good := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool {
		return testpeer.Reply200(c, fmt.Sprintf("%x", sha256.Sum256([]byte(body))))
	})
	n := start(t, testConfig(testpeer.Whole(entry("s1", full), testpeer.Entry("s2", good.Address(), "in_service"))), nil)
	heard := map[int]int{}
	for i := range 60 {
		c := testpeer.Dial(t, n.Addr())
		write, end := sendUpload(c, fmt.Sprint("u", i), size, i%2 == 0)
		go func() {
			for rest, part := text, 1+(i*7919)%(90<<10); len(rest) > 0; rest = rest[min(part, len(rest)):] {
				if write(rest[:min(part, len(rest))]) != nil {
					return
				}
			}
			end()
		}()
		r, body := c.Answer(t)
		if heard[r.StatusCode]++; r.StatusCode == 200 && body != fmt.Sprintf("%x", sha256.Sum256(text)) {
			t.Errorf("upload %d came to the server otherwise than it was sent", i)
		}
	}
	if heard[200] == 0 || heard[200]+heard[503] != 60 {
		t.Errorf("heard %v", heard)
	}
}

// A client that leaves in the midst of its body, or stops sending: no server ever has it whole, and no server is
// blamed for it.
func TestUploadCutByClient(t *testing.T) {
	begun, complete := make(chan struct{}, 10), make(chan error, 10)
	ln := rawServer(t, func(c net.Conn, r *http.Request) {
		begun <- struct{}{}
		_, err := io.Copy(io.Discard, r.Body)
		complete <- err
	})
	n := start(t, testConfig(testpeer.Whole(entry("s1", ln))), func(n *testNode) { n.front.grace = 300 * time.Millisecond })
	for _, leaves := range []bool{true, false} {
		c := testpeer.Dial(t, n.Addr())
		write, _ := sendUpload(c, fmt.Sprint("cut", leaves), long, false)
		if err := write(randomBytes(100 << 10)); err != nil {
			t.Fatal(err)
		}
		testpeer.Receive(t, begun, "the attempt") // for a client that has left by then none begins
		if leaves {
			c.Close()
		} else {
			c.Want(t, http.StatusBadRequest, "")
			c.WantClosed(t, "an upload that stopped")
		}
		if err := testpeer.Receive(t, complete, "the server's end"); err == nil {
			t.Error("the server had it whole")
		}
	}
	testpeer.Until(t, "nothing to be open", func() bool {
		return n.upstream.Connections() == 0 && n.front.counters.Report().OpenRequests == 0 && n.engine.Status().Open == 0
	})
	if a := n.engine.Status().Avoided; a != 0 {
		t.Errorf("%d servers are avoided for what their callers did", a)
	}
}

// A body may come in pieces at any point, no slower than the least rate and its grace.
func TestBodyInPieces(t *testing.T) {
	s := testpeer.NewServer(t, func(c net.Conn, r *http.Request, body string) bool { return testpeer.Reply200(c, body) })
	n := start(t, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	c := testpeer.Dial(t, n.Addr())
	text := "POST http://backend.local/note/k HTTP/1.1\r\nhost:h\r\nX-Request-Id:  pieces \r\nx-deadline: 60\r\n" +
		"TRANSFER-ENCODING: Chunked\r\n\r\n2\r\nok\r\n1;x=y\r\n!\r\n0\r\nTrailer: t\r\n\r\n"
	for i := range len(text) {
		io.WriteString(c, text[i:i+1])
	}
	c.Want(t, 200, "ok!")
	c = testpeer.Dial(t, n.Addr())
	fmt.Fprintf(c, "POST /note/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: asks\r\nX-Deadline: 60\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if r, err := http.ReadResponse(c.Reader, nil); err != nil || r.StatusCode != 100 {
		t.Fatalf("%v %v", r, err)
	}
	io.WriteString(c, "ok")
	c.Want(t, 200, "ok")
	c.Get("next") // the body that was asked for was no head
	c.Want(t, 200, "")
}

// However a head is cut into pieces, the scan tells the same of it.
func TestHeadScan(t *testing.T) {
	const get, length, coding = "POST / HTTP/1.1\r\nHost: h\r\n", "content-length : 5\r\n", "Transfer-encoding: chunked\r\n"
	for _, c := range []struct {
		name, text string
		coded      bool
		unframed   bool
	}{
		{"lengths", get + "Content-Length: 5\r\n\r\n", false, false},
		{"chunks", get + coding + "\r\n", true, false},
		{"both", get + "Content-Length: 5\r\n" + coding + "\r\n", true, true},
		{"both the other way round", get + coding + "Content-Length: 5\r\n\r\n", true, true},
		{"a coding that was not seen", get + "\r\n" + coding, true, true},
		{"not whole", get + coding, true, true},
		{"bare newlines", "POST / HTTP/1.1\n" + coding + "Content-Length: 1\n\n", true, true},
		{"a name in a value", get + "X: Content-Length: 5\r\n" + coding + "\r\n", true, false},
		{"a long line before", get + "X: " + strings.Repeat("x", 9999) + "\r\nContent-Length: 5\r\n" + coding + "\r\n", true, true},
	} {
		for size := 1; size <= len(c.text); size = size*3 + 1 {
			var s headScan
			for rest := []byte(c.text); len(rest) > 0; rest = rest[min(size, len(rest)):] {
				s.feed(rest[:min(size, len(rest))])
			}
			if got := s.take(c.coded); got != c.unframed {
				t.Errorf("%s, in pieces of %d: unframed %v", c.name, size, got)
			}
			if s.feed([]byte("5\r\nbody")); s.state != scanTaken {
				t.Errorf("%s: the body is read as a head", c.name)
			}
		}
	}
	var s headScan
	s.feed([]byte(get + coding + "\r\n" + get))
	if s.take(true); !s.take(true) {
		t.Error("the head that came right behind another passes unseen")
	}
}

// Whatever comes, in whatever pieces, the scan agrees with itself, and a coded request that net/http would take for
// framed by its chunks alone has no length beside them.
func FuzzHeadScan(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"), uint8(1))
	f.Add([]byte("POST / HTTP/1.1\nHost: h\nContent-Length:5\ntransfer-encoding:chunked\n\n0\r\n\r\n"), uint8(7))
	f.Add([]byte("\r\n\r\nGET / HTTP/1.1\r\n folded: x\r\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		var complete, pieces headScan
		complete.feed(text)
		for rest, n := text, int(size)+1; len(rest) > 0; rest = rest[min(n, len(rest)):] {
			pieces.feed(rest[:min(n, len(rest))])
		}
		if complete.state != pieces.state || complete.length != pieces.length || complete.coding != pieces.coding {
			t.Fatalf("%q: %+v whole, %+v in pieces of %d", text, complete, pieces, int(size)+1)
		}
		r, err := http.ReadRequest(testpeer.On(&readConn{Reader: bytes.NewReader(text)}).Reader)
		if err != nil || len(r.TransferEncoding) == 0 {
			return
		}
		head, _, _ := bytes.Cut(bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n")), []byte("\n\n"))
		if !complete.take(true) && bytes.Contains(bytes.ToLower(head), []byte("\ncontent-length:")) {
			t.Fatalf("%q: a length beside a coding passes", text)
		}
	})
}

// readConn is a connection that only reads.
type readConn struct {
	net.Conn
	io.Reader
}

func (r *readConn) Read(p []byte) (int, error) { return r.Reader.Read(p) }
