package fastcgi

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// encode returns the records that the functions write.
func encode(t testing.TB, writes ...func(*Writer) error) []byte {
	t.Helper()
	var out bytes.Buffer
	w := NewWriter(&out)
	for _, write := range writes {
		if err := write(w); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// exchange returns the records of a request and its response, among other records that a connection may carry.
func exchange(t testing.TB, body int) []byte {
	return encode(t,
		func(w *Writer) error { return w.Values(GetValues, AppendPair(nil, "FCGI_MPXS_CONNS", "")) },
		func(w *Writer) error { return w.Begin(1, Begin{Responder, true}) },
		func(w *Writer) error { return w.Begin(0x1234, Begin{Role: Filter}) },
		func(w *Writer) error {
			return w.Stream(Params, 1, AppendPair(nil, "NAME", strings.Repeat("v", 200)))
		},
		func(w *Writer) error { return w.CloseStream(Params, 1) },
		func(w *Writer) error { return w.Stream(Stdin, 1, make([]byte, body)) },
		func(w *Writer) error { return w.Abort(0x1234) },
		func(w *Writer) error { return w.CloseStream(Stdin, 1) },
		func(w *Writer) error { return w.Stream(Stdout, 1, []byte("Status: 200 OK\r\n\r\nok")) },
		func(w *Writer) error { return w.Stream(Stderr, 1, []byte("!")) },
		func(w *Writer) error { return w.End(1, End{AppStatus: 0xfffffffe, Status: Overloaded}) },
		func(w *Writer) error { return w.Unknown(77) })
}

// recordLines describes each record in a line.
func recordLines(r *Reader) (lines []string, err error) {
	for {
		rec, err := r.Next()
		if err != nil {
			return lines, err
		}
		line := fmt.Sprintf("%v %d %d bytes", rec.Type, rec.ID, len(rec.Content))
		switch rec.Type {
		case BeginRequest:
			b, err := rec.Begin()
			line += fmt.Sprintf(" role %d keep %v %v", b.Role, b.Keep, err)
		case EndRequest:
			e, err := rec.End()
			line += fmt.Sprintf(" app %#x status %d %v", e.AppStatus, e.Status, err)
		}
		lines = append(lines, line)
	}
}

func TestWriterOutputIsReadBack(t *testing.T) {
	want := strings.Split(`GET_VALUES 0 17 bytes
BEGIN_REQUEST 1 8 bytes role 1 keep true <nil>
BEGIN_REQUEST 4660 8 bytes role 3 keep false <nil>
PARAMS 1 209 bytes
PARAMS 1 0 bytes
STDIN 1 65528 bytes
STDIN 1 65528 bytes
STDIN 1 18944 bytes
ABORT_REQUEST 4660 0 bytes
STDIN 1 0 bytes
STDOUT 1 20 bytes
STDERR 1 1 bytes
END_REQUEST 1 8 bytes app 0xfffffffe status 2 <nil>
UNKNOWN_TYPE 0 8 bytes`, "\n")
	text := exchange(t, 150000)
	if len(text)%8 != 0 {
		t.Errorf("got %d bytes, want a multiple of 8", len(text))
	}
	for name, in := range map[string]io.Reader{"one read": bytes.NewReader(text), "byte by byte": iotest.OneByteReader(bytes.NewReader(text))} {
		got, err := recordLines(NewReader(in))
		if err != io.EOF || strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Errorf("%s: got error %v, want io.EOF; records\n%s", name, err, strings.Join(got, "\n"))
		}
	}
}

// An invalid record is reported with its type, request and offset, and nothing is read after it.
func TestRecordErrorsReportPosition(t *testing.T) {
	before := encode(t, func(w *Writer) error { return w.Abort(9) })
	for _, c := range []struct {
		name, record string
		want         error
		message      string
	}{
		{"unsupported version", "\x02\x05\x00\x07\x00\x00\x00\x00", ErrVersion, "fastcgi: STDIN of request 7 at byte 8: unsupported protocol version: got 2, want 1"},
		{"management record with a request id", "\x01\x09\x00\x01\x00\x00\x00\x00", ErrManagementID, "GET_VALUES of request 1 at byte 8"},
		{"request record with id 0", "\x01\x04\x00\x00\x00\x00\x00\x00", ErrZeroID, "PARAMS of request 0 at byte 8"},
		{"unknown type of a request record", "\x01\x63\x00\x05\x00\x00\x00\x00", ErrUnknownType, "type 99 of request 5 at byte 8"},
		{"incomplete header", "\x01\x05\x00", ErrTruncated, "STDIN of request 0 at byte 8"},
		{"incomplete content", "\x01\x05\x00\x02\x00\x05\x00\x00abc", ErrTruncated, "STDIN of request 2 at byte 8"},
		{"incomplete padding", "\x01\x05\x00\x02\x00\x01\xff\x00abc", ErrTruncated, "STDIN of request 2 at byte 8"},
	} {
		r := NewReader(strings.NewReader(string(before) + c.record))
		if _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			_, err := r.Next()
			var e *Error
			if !errors.Is(err, c.want) || !errors.As(err, &e) || e.Offset != 8 || !strings.Contains(err.Error(), c.message) {
				t.Errorf("%s: got error %v, want %v with %q", c.name, err, c.want, c.message)
			}
		}
	}
	for _, text := range []string{"\x01\x01\x00\x01\x00\x07\x00\x00\x00\x01\x00\x00\x00\x00\x00", "\x01\x03\x00\x01\x00\x00\x00\x00"} {
		rec, err := NewReader(strings.NewReader(text)).Next()
		if err != nil {
			t.Fatal(err)
		}
		_, bodyErr := rec.Begin()
		if rec.Type == EndRequest {
			_, bodyErr = rec.End()
		}
		if !errors.Is(bodyErr, ErrInvalidBody) {
			t.Errorf("%v body of %d bytes: got error %v, want ErrInvalidBody", rec.Type, len(rec.Content), bodyErr)
		}
	}
}

// An unknown management record, 255 bytes of padding and 1000 empty records are valid.
func TestReaderAcceptsUnusualRecords(t *testing.T) {
	text := "\x01\x63\x00\x00\x00\x02\xff\x00ab" + strings.Repeat("p", 255) + strings.Repeat("\x01\x05\x00\x03\x00\x00\x00\x00", 1000)
	got, err := recordLines(NewReader(strings.NewReader(text)))
	if err != io.EOF || len(got) != 1001 || got[0] != "type 99 0 2 bytes" || got[1000] != "STDIN 3 0 bytes" {
		t.Errorf("got %d records, error %v, first record %q", len(got), err, got[:1])
	}
}

func TestSteadyStateDoesNotAllocate(t *testing.T) {
	text := exchange(t, 150000)
	in := bytes.NewReader(text)
	r := NewReader(in)
	w := NewWriter(io.Discard)
	pairs := NewPairs(PairLimits{Bytes: 1 << 16, Count: 100})
	text = text[:len(text):len(text)]
	round := func() {
		in.Reset(text)
		r.offset = 0
		r.err = nil
		pairs.Reset()
		for {
			rec, err := r.Next()
			if err == io.EOF {
				return
			}
			if rec.Type == Params {
				err = pairs.Feed(rec.Content, func(name, value []byte) {})
			}
			if err != nil {
				t.Fatal(err)
			}
			w.Stream(Stdout, 1, rec.Content)
		}
	}
	round()
	if n := testing.AllocsPerRun(100, round); n > 0 {
		t.Errorf("%v allocations per %d bytes", n, len(text))
	}
}

// Any input either decodes to records that are unchanged after writing and reading them, or fails with an *Error.
func FuzzReader(f *testing.F) {
	f.Add([]byte{})
	f.Add(exchange(f, 50))
	f.Add([]byte("\x01\x05\x00\x03\x00\x00\x00\x00\x01\x05\x00\x03\xff\xff\xff\x00"))
	f.Add([]byte("\x01\x63\x00\x00\x00\x02\xff\x00ab"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewReader(bytes.NewReader(text))
		var rewritten bytes.Buffer
		w := NewWriter(&rewritten)
		var records []string
		for {
			rec, err := r.Next()
			var e *Error
			if err != nil {
				if err != io.EOF && !errors.As(err, &e) {
					t.Fatalf("got %v, want an *Error", err)
				}
				break
			}
			records = append(records, fmt.Sprintf("%v %d %x", rec.Type, rec.ID, rec.Content))
			if err := w.writeRecord(rec.Type, rec.ID, rec.Content); err != nil {
				t.Fatal(err)
			}
		}
		w.Flush()
		r = NewReader(&rewritten)
		for i, want := range records {
			rec, err := r.Next()
			if got := fmt.Sprintf("%v %d %x", rec.Type, rec.ID, rec.Content); err != nil || got != want {
				t.Fatalf("record %d: %s, %v; want %s", i, got, err, want)
			}
		}
		if _, err := r.Next(); err != io.EOF {
			t.Fatalf("after the last record: got %v, want io.EOF", err)
		}
	})
}

// BenchmarkExchange reads the records of a small request and writes those of a response.
func BenchmarkExchange(b *testing.B) {
	text := encode(b,
		func(w *Writer) error { return w.Begin(1, Begin{Responder, true}) },
		func(w *Writer) error {
			var pairs []byte
			for _, p := range [][2]string{{"REQUEST_METHOD", "POST"}, {"REQUEST_URI", "/add-note/9"}, {"CONTENT_LENGTH", "200"},
				{"HTTP_X_REQUEST_ID", "9b1f03aa5c7e2d41"}, {"HTTP_X_DEADLINE", "0.480"}} {
				pairs = AppendPair(pairs, p[0], p[1])
			}
			return w.Stream(Params, 1, pairs)
		},
		func(w *Writer) error { return w.CloseStream(Params, 1) },
		func(w *Writer) error { return w.Stream(Stdin, 1, make([]byte, 200)) },
		func(w *Writer) error { return w.CloseStream(Stdin, 1) })
	in := bytes.NewReader(text)
	r := NewReader(in)
	w := NewWriter(io.Discard)
	pairs := NewPairs(PairLimits{Bytes: 1 << 16, Count: 100})
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		in.Reset(text)
		r.err = nil
		pairs.Reset()
		for {
			rec, err := r.Next()
			if err != nil {
				break
			}
			if rec.Type == Params {
				pairs.Feed(rec.Content, func(name, value []byte) {})
			}
		}
		w.Stream(Stdout, 1, text[:100])
		w.CloseStream(Stdout, 1)
		w.End(1, End{})
		w.Flush()
	}
}
