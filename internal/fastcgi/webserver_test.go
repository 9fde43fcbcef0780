package fastcgi

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/fcgi"
	"strings"
	"testing"
	"time"
)

// webServerLines passes a stream of records to a web server and returns its replies, one per line.
func webServerLines(t testing.TB, webServer *WebServer, text []byte) (lines string, lastErr error) {
	t.Helper()
	r := NewReader(bytes.NewReader(text))
	var all []string
	for {
		rec, err := r.Next()
		if err == io.EOF {
			break
		}
		var reply Reply
		if err == nil {
			reply, err = webServer.HandleRecord(rec)
		}
		if lastErr = err; err != nil {
			break
		}
		switch reply.Kind {
		case Output:
			all = append(all, fmt.Sprintf("%d output %q", reply.ID, reply.Data))
		case OutputEnd:
			all = append(all, fmt.Sprintf("%d output end", reply.ID))
		case ErrorOutput:
			all = append(all, fmt.Sprintf("%d error output %q", reply.ID, reply.Data))
		case Ended:
			all = append(all, fmt.Sprintf("%d ended, status %d, complete %v, not started %v", reply.ID, reply.End.Status, reply.OutputComplete, reply.NotStarted()))
		case ValuesReceived:
			all = append(all, fmt.Sprintf("available %d", webServer.Available()))
		}
	}
	return strings.Join(all, "\n"), lastErr
}

func valuesResult(pairs ...string) writeFunc {
	var text []byte
	for i := 0; i < len(pairs); i += 2 {
		text = AppendPair(text, pairs[i], pairs[i+1])
	}
	return func(w *Writer) error { return w.Values(GetValuesResult, text) }
}

func endRequest(id uint16, status Status) writeFunc {
	return func(w *Writer) error { return w.End(id, End{Status: status}) }
}

// startWebServer returns a WebServer with open requests 1 to n, whose bodies have ended if complete is set.
func startWebServer(t *testing.T, n int, complete bool) *WebServer {
	t.Helper()
	webServer := NewWebServer(NewWriter(io.Discard))
	webServer.maxRequests = n
	for range n {
		id, err := webServer.Begin(nil, true)
		if err != nil {
			t.Fatal(err)
		}
		if complete {
			if err := webServer.CloseSend(id); err != nil {
				t.Fatal(err)
			}
		}
	}
	return webServer
}

func TestWebServerScripts(t *testing.T) {
	for _, c := range []struct {
		name      string
		bodyEnded bool
		calls     []writeFunc
		want      string
	}{
		{"two responses interleaved", true, []writeFunc{streamData(Stdout, 1, "a"), streamData(Stdout, 2, "b"), streamData(Stderr, 2, "!"), closeStream(Stderr, 2),
			streamData(Stdout, 1, "c"), closeStream(Stdout, 1), endRequest(1, Complete), closeStream(Stdout, 2), endRequest(2, Complete)},
			"1 output \"a\"\n2 output \"b\"\n2 error output \"!\"\n1 output \"c\"\n1 output end\n1 ended, status 0, complete true, not started false\n" +
				"2 output end\n2 ended, status 0, complete true, not started false"},
		{"ended without the end of STDOUT", true, []writeFunc{streamData(Stdout, 1, "a"), endRequest(1, Complete)}, "1 output \"a\"\n1 ended, status 0, complete false, not started false"},
		{"refused", true, []writeFunc{endRequest(1, Overloaded), endRequest(2, CantMultiplex)},
			"1 ended, status 2, complete false, not started true\n2 ended, status 1, complete false, not started true"},
		{"unsupported role", true, []writeFunc{endRequest(1, UnknownRole)}, "1 ended, status 3, complete false, not started false"},
		{"ended before the end of the body", false, []writeFunc{closeStream(Stdout, 1), endRequest(1, Complete)}, "1 output end\n1 ended, status 0, complete true, not started false"},
		{"GET_VALUES not supported", true, []writeFunc{func(w *Writer) error { return w.Unknown(GetValues) }}, ""},
	} {
		if got, err := webServerLines(t, startWebServer(t, 2, c.bodyEnded), encode(t, c.calls...)); err != nil || got != c.want {
			t.Errorf("%s: error %v, got\n%s\nwant\n%s", c.name, err, got, c.want)
		}
	}
}

func TestWebServerRejectsInvalidRecordSequences(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls []writeFunc
		want  error
	}{
		{"record of an unknown request", []writeFunc{streamData(Stdout, 3, "x")}, ErrUnknownRequest},
		{"record after the end of its request", []writeFunc{endRequest(1, Complete), streamData(Stdout, 1, "x")}, ErrUnknownRequest},
		{"second END_REQUEST", []writeFunc{endRequest(1, Complete), endRequest(1, Complete)}, ErrUnknownRequest},
		{"STDOUT after its end", []writeFunc{closeStream(Stdout, 1), streamData(Stdout, 1, "x")}, ErrStreamEnded},
		{"BEGIN_REQUEST from the application", []writeFunc{beginRequest(5, Responder)}, ErrWrongDirection},
		{"unknown status", []writeFunc{endRequest(1, 9)}, ErrInvalidBody},
		{"incomplete END_REQUEST", []writeFunc{func(w *Writer) error { return w.writeRecord(EndRequest, 1, []byte("half")) }}, ErrInvalidBody},
		{"incomplete values", []writeFunc{func(w *Writer) error { return w.Values(GetValuesResult, []byte("\x05")) }}, ErrTruncatedPair},
	} {
		_, err := webServerLines(t, startWebServer(t, 1, true), encode(t, c.calls...))
		var e *Error
		if !errors.Is(err, c.want) || !errors.As(err, &e) {
			t.Errorf("%s: got error %v, want %v", c.name, err, c.want)
		}
	}
}

// A connection carries one request until the application reports a higher limit. Free ids are reused, and that of an
// aborted request only once it has ended.
func TestWebServerCapacityAndIDReuse(t *testing.T) {
	webServer := NewWebServer(NewWriter(io.Discard))
	first, err := webServer.Begin(nil, true)
	if err != nil || first != 1 || webServer.Available() != 0 {
		t.Fatalf("id %d, error %v, %d available", first, err, webServer.Available())
	}
	if _, err := webServer.Begin(nil, true); !errors.Is(err, ErrTooManyRequests) {
		t.Errorf("second request: got error %v, want ErrTooManyRequests", err)
	}
	for _, c := range []struct{ values, want string }{
		{encodeString(t, valuesResult(mpxConns, "1", maxReqs, "3")), "available 2"},
		{encodeString(t, valuesResult(mpxConns, "0", maxReqs, "3")), "available 0"},
		{encodeString(t, valuesResult(mpxConns, "1", maxReqs, "many")), "available 0"},
		{encodeString(t, valuesResult(maxReqs, "3", "OTHER", "x", mpxConns, "1")), "available 2"},
	} {
		if got, err := webServerLines(t, webServer, []byte(c.values)); err != nil || got != c.want {
			t.Errorf("got %q, error %v; want %q", got, err, c.want)
		}
	}
	second, _ := webServer.Begin(nil, true)
	if webServer.Abort(first); second != 2 {
		t.Errorf("id %d", second)
	}
	third, _ := webServer.Begin(nil, true)
	if third != 3 {
		t.Errorf("got id %d while an aborted request is open, want 3", third)
	}
	got, err := webServerLines(t, webServer, encode(t, streamData(Stdout, first, "late"), endRequest(first, Complete)))
	if err != nil || got != "1 ended, status 0, complete false, not started false" {
		t.Errorf("end of the aborted request: got %q, error %v", got, err)
	}
	if again, err := webServer.Begin(nil, true); again != first || err != nil {
		t.Errorf("got id %d, error %v; want the free one", again, err)
	}
	if webServer.Send(9, nil) == nil || webServer.CloseSend(9) == nil || webServer.Abort(9) != nil {
		t.Error("unknown id: Send or CloseSend succeeded, or Abort failed")
	}
}

func encodeString(t testing.TB, writes ...writeFunc) string { return string(encode(t, writes...)) }

// WebServer interoperates with the responder of net/http/fcgi, with bodies of several records in both directions.
func TestStandardLibraryAsApplication(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go fcgi.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		w.Header().Set("X-Told", fmt.Sprint(r.Method, " ", r.URL.RequestURI(), " ", r.Header.Get("X-Request-Id"), " ", len(body), " ", err))
		w.Write(bytes.Repeat([]byte("answer"), 20000))
	}))
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(30 * time.Second))
	w := NewWriter(c)
	webServer, r := NewWebServer(w), NewReader(c)
	for i := range 3 {
		if err := webServer.RequestValues(); err != nil {
			t.Fatal(err)
		}
		id, err := webServer.Begin([]Param{{"REQUEST_METHOD", "POST"}, {"SERVER_PROTOCOL", "HTTP/1.1"}, {"REQUEST_URI", "/add-note/k?q"},
			{"HTTP_HOST", "h"}, {"CONTENT_LENGTH", "100000"}, {"HTTP_X_REQUEST_ID", fmt.Sprint("id", i)}}, true)
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(webServer.Send(id, make([]byte, 100000)), webServer.CloseSend(id), w.Flush()); err != nil {
			t.Fatal(err)
		}
		var answer bytes.Buffer
		for over := false; !over; {
			rec, err := r.Next()
			if err != nil {
				t.Fatal(err)
			}
			reply, err := webServer.HandleRecord(rec)
			if err != nil {
				t.Fatal(err)
			}
			switch reply.Kind {
			case Output:
				answer.Write(reply.Data)
			case Ended:
				if over = true; reply.NotStarted() || !reply.OutputComplete || reply.End != (End{}) {
					t.Errorf("got end %+v, want a complete response with status 0", reply)
				}
			}
		}
		head, body, _ := strings.Cut(answer.String(), "\r\n\r\n")
		if want := fmt.Sprintf("X-Told: POST /add-note/k?q id%d 100000 <nil>", i); !strings.Contains(head, want) || body != strings.Repeat("answer", 20000) {
			t.Errorf("got header %q and %d bytes, want %q", head, len(body), want)
		}
	}
}

// For any input, replies belong to open requests only, each request ends once, and errors are *Error.
func FuzzWebServer(f *testing.F) {
	f.Add(encode(f, streamData(Stdout, 1, "Status: 200\r\n\r\nok"), closeStream(Stdout, 1), endRequest(1, Complete)))
	f.Add(encode(f, valuesResult(mpxConns, "1", maxReqs, "50"), streamData(Stderr, 2, "!"), endRequest(2, Overloaded), endRequest(1, 9)))
	f.Add([]byte("\x01\x0a\x00\x00\x00\x03\x00\x00\x80\xff\xff"))
	f.Fuzz(func(t *testing.T, text []byte) {
		webServer := NewWebServer(NewWriter(io.Discard))
		webServer.maxRequests = 3
		open := map[uint16]bool{}
		for range 3 {
			id, err := webServer.Begin([]Param{{"A", "b"}}, true)
			if err != nil {
				t.Fatal(err)
			}
			open[id] = true
		}
		webServer.Abort(2)
		r := NewReader(bytes.NewReader(text))
		for {
			rec, err := r.Next()
			if err != nil {
				return
			}
			reply, err := webServer.HandleRecord(rec)
			if err != nil {
				var named *Error
				if !errors.As(err, &named) {
					t.Fatalf("got %v, want an *Error", err)
				}
				return
			}
			switch {
			case reply.Kind != NoReply && reply.Kind != ValuesReceived && !open[reply.ID]:
				t.Fatalf("reply %+v of a request that is not open", reply)
			case reply.Kind == Output && reply.ID == 2:
				t.Fatalf("reply %+v of an aborted request", reply)
			case reply.Kind == Ended:
				delete(open, reply.ID)
			}
		}
	})
}
