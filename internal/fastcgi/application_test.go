package fastcgi

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

// play gives an application a stream of records and tells what it comes to, line by line, and what is answered.
func play(t testing.TB, b Bounds, text []byte) (events, answers string, app *Application, failed error) {
	t.Helper()
	var out bytes.Buffer
	w := NewWriter(&out)
	app = NewApplication(b, w)
	r := NewReader(bytes.NewReader(text))
	var lines []string
	for {
		rec, err := r.Next()
		if err == io.EOF {
			break
		}
		var e Event
		if err == nil {
			e, err = app.Take(rec)
		}
		if failed = err; err != nil {
			break
		}
		switch e.Kind {
		case Called:
			lines = append(lines, fmt.Sprintf("%d called %v", e.ID, e.Params))
		case Body:
			lines = append(lines, fmt.Sprintf("%d body %q", e.ID, e.Data))
		case BodyEnd:
			lines = append(lines, fmt.Sprintf("%d body's end", e.ID))
		case Aborted:
			lines = append(lines, fmt.Sprintf("%d aborted", e.ID))
		}
	}
	w.Flush()
	said, _ := script(NewReader(&out))
	return strings.Join(lines, "\n"), strings.Join(said, "\n"), app, failed
}

type step = func(*Writer) error

func begin(id uint16, role Role) step {
	return func(w *Writer) error { return w.Begin(id, Begin{role, true}) }
}

func stream(typ Type, id uint16, text string) step {
	return func(w *Writer) error { return w.Stream(typ, id, []byte(text)) }
}

func closed(typ Type, id uint16) step {
	return func(w *Writer) error { return w.CloseStream(typ, id) }
}

func abort(id uint16) step { return func(w *Writer) error { return w.Abort(id) } }

var testBounds = Bounds{Requests: 3, Params: Limits{Bytes: 1000, Count: 10}}

// Requests on one connection, interleaved, with ids that come again, roles that nobody has, one too many, aborts of
// what is open and of what is not, and records for what has ended.
func TestApplicationScripts(t *testing.T) {
	pair := string(AppendPair(nil, "A", "b"))
	for _, c := range []struct {
		name            string
		calls           []step
		events, answers string
		open            int
	}{
		{"interleaved", []step{begin(1, Responder), begin(7, Responder), stream(Params, 1, pair[:1]), stream(Params, 7, pair),
			closed(Params, 7), stream(Params, 1, pair[1:]), stream(Stdin, 7, "x"), closed(Params, 1), closed(Stdin, 1), closed(Stdin, 7)},
			"7 called [{A b}]\n7 body \"x\"\n1 called [{A b}]\n1 body's end\n7 body's end", "", 2},
		{"roles", []step{begin(1, Authorizer), begin(2, Filter), begin(3, 9), stream(Params, 1, pair), closed(Params, 1), stream(Data, 2, "d")},
			"", "END_REQUEST 1 8 bytes app 0x0 status 3 <nil>\nEND_REQUEST 2 8 bytes app 0x0 status 3 <nil>\nEND_REQUEST 3 8 bytes app 0x0 status 3 <nil>", 0},
		{"one too many", []step{begin(1, Responder), begin(2, Responder), begin(3, Responder), begin(4, Responder), closed(Params, 4), closed(Params, 3)},
			"3 called []", "END_REQUEST 4 8 bytes app 0x0 status 2 <nil>", 3},
		{"aborts", []step{abort(5), begin(5, Responder), abort(5), closed(Params, 5), abort(5), closed(Stdin, 5)},
			"5 aborted\n5 called []\n5 aborted\n5 body's end", "", 1},
		{"data for a responder", []step{begin(1, Responder), stream(Data, 1, "d"), closed(Params, 1)}, "1 called []", "", 1},
		{"values", []step{func(w *Writer) error {
			return w.Values(GetValues, AppendPair(AppendPair(AppendPair(nil, mpxConns, ""), maxReqs, ""), "OTHER", ""))
		}, func(w *Writer) error { return w.record(99, 0, nil) }}, "", "GET_VALUES_RESULT 0 34 bytes\nUNKNOWN_TYPE 0 8 bytes", 0},
		{"a thousand empty records for what has ended", []step{func(w *Writer) error {
			for range 1000 {
				if err := w.CloseStream(Stdin, 9); err != nil {
					return err
				}
			}
			return nil
		}}, "", "", 0},
	} {
		events, answers, app, err := play(t, testBounds, written(t, c.calls...))
		if err != nil || events != c.events || answers != c.answers || app.Open() != c.open {
			t.Errorf("%s: %v, %d open\n%s\nanswers\n%s", c.name, err, app.Open(), events, answers)
		}
	}
}

func TestWhatDoesNotFitEndsTheConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls []step
		want  error
		says  string
	}{
		{"an id in use", []step{begin(1, Responder), begin(1, Responder)}, ErrInUse, "BEGIN_REQUEST of request 1 at byte 16"},
		{"PARAMS behind their end", []step{begin(1, Responder), closed(Params, 1), closed(Params, 1)}, ErrEnded, "PARAMS of request 1 at byte 24"},
		{"STDIN behind its end", []step{begin(1, Responder), closed(Params, 1), closed(Stdin, 1), stream(Stdin, 1, "x")}, ErrEnded, "STDIN of request 1"},
		{"STDIN before the end of PARAMS", []step{begin(1, Responder), stream(Stdin, 1, "x")}, ErrOrder, "STDIN of request 1 at byte 16"},
		{"half a pair", []step{begin(1, Responder), stream(Params, 1, "\x01"), closed(Params, 1)}, ErrPairCut, "PARAMS of request 1"},
		{"a pair of 2 GB", []step{begin(1, Responder), stream(Params, 1, "\xff\xff\xff\xff\x00")}, ErrPairLong, "PARAMS of request 1"},
		{"an answer", []step{begin(1, Responder), stream(Stdout, 1, "x")}, ErrDirection, "STDOUT of request 1"},
		{"an end", []step{func(w *Writer) error { return w.End(1, End{}) }}, ErrDirection, "END_REQUEST of request 1"},
	} {
		_, _, _, err := play(t, testBounds, written(t, c.calls...))
		var e *Error
		if !errors.Is(err, c.want) || !errors.As(err, &e) || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// An id is free again once its request has ended, and whether the connection stays is what its request asked for.
func TestFinish(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	a := NewApplication(testBounds, w)
	take := func(text []byte) {
		t.Helper()
		rec, err := NewReader(bytes.NewReader(text)).Next()
		if err == nil {
			_, err = a.Take(rec)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, keeps := range []bool{true, false} {
		take(written(t, func(w *Writer) error { return w.Begin(4, Begin{Responder, keeps}) }))
		if keep, err := a.Finish(4, End{App: 1}); keep != keeps || err != nil {
			t.Errorf("keep %v, %v", keep, err)
		}
		if _, err := a.Finish(4, End{}); err == nil {
			t.Error("it ends twice")
		}
		take(written(t, closed(Params, 4))) // sent before it heard of the end
	}
	take(written(t, begin(4, Responder)))
	if _, err := a.Finish(4, End{Status: Overloaded}); err != nil {
		t.Error(err)
	}
	w.Flush()
	const served, end = "STDOUT 4 0 bytes\n", "END_REQUEST 4 8 bytes app "
	if got, _ := script(NewReader(&out)); strings.Join(got, "\n") != served+end+"0x1 status 0 <nil>\n"+served+end+"0x1 status 0 <nil>\n"+end+"0x0 status 2 <nil>" {
		t.Errorf("%q", got)
	}
}

// Whatever a web server sends, an application holds no more than its bounds, ends nothing twice, and requests each
// request once.
func FuzzApplication(f *testing.F) {
	pair := string(AppendPair(nil, "A", "b"))
	f.Add(exchange(f, 50))
	f.Add(written(f, begin(1, Responder), stream(Params, 1, pair), closed(Params, 1), stream(Stdin, 1, "x"), closed(Stdin, 1)))
	f.Add(written(f, begin(1, Responder), begin(2, Responder), abort(1), begin(3, Filter), closed(Params, 2), abort(2)))
	f.Add([]byte("\x01\x01\x00\x01\x00\x08\x00\x00\x00\x01\x01\x00\x00\x00\x00\x00\x01\x04\x00\x01\x00\x01\x00\x00\x05"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var out bytes.Buffer
		w := NewWriter(&out)
		a := NewApplication(testBounds, w)
		r := NewReader(bytes.NewReader(text))
		called := map[uint16]bool{}
		for {
			rec, err := r.Next()
			if err != nil {
				break
			}
			e, err := a.Take(rec)
			if err != nil {
				var named *Error
				if !errors.As(err, &named) {
					t.Fatalf("%v names no record", err)
				}
				break
			}
			switch {
			case a.Open() > testBounds.Requests:
				t.Fatalf("%d open", a.Open())
			case e.Kind == Called && called[e.ID], (e.Kind == Body || e.Kind == BodyEnd) && !called[e.ID]:
				t.Fatalf("request %d: %v, called %v", e.ID, e.Kind, called[e.ID])
			case e.Kind == Called:
				called[e.ID] = true
			case e.Kind == BodyEnd && e.ID%2 == 0:
				if _, err := a.Finish(e.ID, End{}); err != nil {
					t.Fatal(err)
				}
				delete(called, e.ID)
			}
		}
		w.Flush()
		if _, err := script(NewReader(&out)); err != io.EOF {
			t.Fatalf("its answers can't be read: %v", err)
		}
	})
}
