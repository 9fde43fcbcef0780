package fastcgi

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

// runApplication passes a stream of records to an application. It returns its events and its answers, one per line.
func runApplication(t testing.TB, limits ConnLimits, text []byte) (events, answers string, app *Application, lastErr error) {
	t.Helper()
	var out bytes.Buffer
	w := NewWriter(&out)
	app = NewApplication(limits, w)
	r := NewReader(bytes.NewReader(text))
	var lines []string
	for {
		rec, err := r.Next()
		if err == io.EOF {
			break
		}
		var event Event
		if err == nil {
			event, err = app.HandleRecord(rec)
		}
		if lastErr = err; err != nil {
			break
		}
		switch event.Kind {
		case ParamsEnd:
			lines = append(lines, fmt.Sprintf("%d params %v", event.ID, event.Params))
		case Body:
			lines = append(lines, fmt.Sprintf("%d body %q", event.ID, event.Data))
		case BodyEnd:
			lines = append(lines, fmt.Sprintf("%d body end", event.ID))
		case Aborted:
			lines = append(lines, fmt.Sprintf("%d aborted", event.ID))
		}
	}
	w.Flush()
	answerLines, _ := recordLines(NewReader(&out))
	return strings.Join(lines, "\n"), strings.Join(answerLines, "\n"), app, lastErr
}

type writeFunc = func(*Writer) error

func beginRequest(id uint16, role Role) writeFunc {
	return func(w *Writer) error { return w.Begin(id, Begin{role, true}) }
}

func streamData(typ Type, id uint16, text string) writeFunc {
	return func(w *Writer) error { return w.Stream(typ, id, []byte(text)) }
}

func closeStream(typ Type, id uint16) writeFunc {
	return func(w *Writer) error { return w.CloseStream(typ, id) }
}

func abortRequest(id uint16) writeFunc { return func(w *Writer) error { return w.Abort(id) } }

var testLimits = ConnLimits{Requests: 3, Params: PairLimits{Bytes: 1000, Count: 10}}

// The scripts cover interleaved requests, unsupported roles, a request over the limit, aborts of open and unknown requests, and
// records of requests that are not open.
func TestApplicationScripts(t *testing.T) {
	pair := string(AppendPair(nil, "A", "b"))
	for _, c := range []struct {
		name            string
		calls           []writeFunc
		events, answers string
		open            int
	}{
		{"interleaved", []writeFunc{beginRequest(1, Responder), beginRequest(7, Responder), streamData(Params, 1, pair[:1]), streamData(Params, 7, pair),
			closeStream(Params, 7), streamData(Params, 1, pair[1:]), streamData(Stdin, 7, "x"), closeStream(Params, 1), closeStream(Stdin, 1), closeStream(Stdin, 7)},
			"7 params [{A b}]\n7 body \"x\"\n1 params [{A b}]\n1 body end\n7 body end", "", 2},
		{"roles", []writeFunc{beginRequest(1, Authorizer), beginRequest(2, Filter), beginRequest(3, 9), streamData(Params, 1, pair), closeStream(Params, 1), streamData(Data, 2, "d")},
			"", "END_REQUEST 1 8 bytes app 0x0 status 3 <nil>\nEND_REQUEST 2 8 bytes app 0x0 status 3 <nil>\nEND_REQUEST 3 8 bytes app 0x0 status 3 <nil>", 0},
		{"request over the limit", []writeFunc{beginRequest(1, Responder), beginRequest(2, Responder), beginRequest(3, Responder), beginRequest(4, Responder), closeStream(Params, 4), closeStream(Params, 3)},
			"3 params []", "END_REQUEST 4 8 bytes app 0x0 status 2 <nil>", 3},
		{"aborts", []writeFunc{abortRequest(5), beginRequest(5, Responder), abortRequest(5), closeStream(Params, 5), abortRequest(5), closeStream(Stdin, 5)},
			"5 aborted\n5 params []\n5 aborted\n5 body end", "", 1},
		{"DATA for a responder", []writeFunc{beginRequest(1, Responder), streamData(Data, 1, "d"), closeStream(Params, 1)}, "1 params []", "", 1},
		{"values", []writeFunc{func(w *Writer) error {
			return w.Values(GetValues, AppendPair(AppendPair(AppendPair(nil, mpxConns, ""), maxReqs, ""), "OTHER", ""))
		}, func(w *Writer) error { return w.writeRecord(99, 0, nil) }}, "", "GET_VALUES_RESULT 0 34 bytes\nUNKNOWN_TYPE 0 8 bytes", 0},
		{"1000 empty records of a request that is not open", []writeFunc{func(w *Writer) error {
			for range 1000 {
				if err := w.CloseStream(Stdin, 9); err != nil {
					return err
				}
			}
			return nil
		}}, "", "", 0},
	} {
		events, answers, app, err := runApplication(t, testLimits, encode(t, c.calls...))
		if err != nil || events != c.events || answers != c.answers || app.Open() != c.open {
			t.Errorf("%s: error %v, %d open requests\nevents\n%s\nanswers\n%s", c.name, err, app.Open(), events, answers)
		}
	}
}

func TestApplicationRejectsInvalidRecordSequences(t *testing.T) {
	for _, c := range []struct {
		name    string
		calls   []writeFunc
		want    error
		message string
	}{
		{"id in use", []writeFunc{beginRequest(1, Responder), beginRequest(1, Responder)}, ErrIDInUse, "BEGIN_REQUEST of request 1 at byte 16"},
		{"PARAMS after their end", []writeFunc{beginRequest(1, Responder), closeStream(Params, 1), closeStream(Params, 1)}, ErrStreamEnded, "PARAMS of request 1 at byte 24"},
		{"STDIN after its end", []writeFunc{beginRequest(1, Responder), closeStream(Params, 1), closeStream(Stdin, 1), streamData(Stdin, 1, "x")}, ErrStreamEnded, "STDIN of request 1"},
		{"STDIN before the end of PARAMS", []writeFunc{beginRequest(1, Responder), streamData(Stdin, 1, "x")}, ErrParamsNotEnded, "STDIN of request 1 at byte 16"},
		{"incomplete pair", []writeFunc{beginRequest(1, Responder), streamData(Params, 1, "\x01"), closeStream(Params, 1)}, ErrTruncatedPair, "PARAMS of request 1"},
		{"pair of 2 GB", []writeFunc{beginRequest(1, Responder), streamData(Params, 1, "\xff\xff\xff\xff\x00")}, ErrPairsTooLong, "PARAMS of request 1"},
		{"STDOUT from the web server", []writeFunc{beginRequest(1, Responder), streamData(Stdout, 1, "x")}, ErrWrongDirection, "STDOUT of request 1"},
		{"END_REQUEST from the web server", []writeFunc{func(w *Writer) error { return w.End(1, End{}) }}, ErrWrongDirection, "END_REQUEST of request 1"},
	} {
		_, _, _, err := runApplication(t, testLimits, encode(t, c.calls...))
		var e *Error
		if !errors.Is(err, c.want) || !errors.As(err, &e) || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: got error %v, want %v with %q", c.name, err, c.want, c.message)
		}
	}
}

// An id is free again once its request has ended, and Finish returns the FCGI_KEEP_CONN flag of the request.
func TestFinishFreesIDAndReportsKeepConn(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	app := NewApplication(testLimits, w)
	take := func(text []byte) {
		t.Helper()
		rec, err := NewReader(bytes.NewReader(text)).Next()
		if err == nil {
			_, err = app.HandleRecord(rec)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, keeps := range []bool{true, false} {
		take(encode(t, func(w *Writer) error { return w.Begin(4, Begin{Responder, keeps}) }))
		if keep, err := app.Finish(4, End{AppStatus: 1}); keep != keeps || err != nil {
			t.Errorf("Finish: keep %v, error %v; want keep %v", keep, err, keeps)
		}
		if _, err := app.Finish(4, End{}); err == nil {
			t.Error("Finish succeeded twice for one request")
		}
		take(encode(t, closeStream(Params, 4))) // sent before the web server received END_REQUEST
	}
	take(encode(t, beginRequest(4, Responder)))
	if _, err := app.Finish(4, End{Status: Overloaded}); err != nil {
		t.Error(err)
	}
	w.Flush()
	const served, end = "STDOUT 4 0 bytes\n", "END_REQUEST 4 8 bytes app "
	if got, _ := recordLines(NewReader(&out)); strings.Join(got, "\n") != served+end+"0x1 status 0 <nil>\n"+served+end+"0x1 status 0 <nil>\n"+end+"0x0 status 2 <nil>" {
		t.Errorf("got answers %q", got)
	}
}

// For any input, an application stays within its limits, reports the end of PARAMS once for each request and STDIN
// only after it, can finish each complete request, and fails only with an *Error.
func FuzzApplication(f *testing.F) {
	pair := string(AppendPair(nil, "A", "b"))
	f.Add(exchange(f, 50))
	f.Add(encode(f, beginRequest(1, Responder), streamData(Params, 1, pair), closeStream(Params, 1), streamData(Stdin, 1, "x"), closeStream(Stdin, 1)))
	f.Add(encode(f, beginRequest(1, Responder), beginRequest(2, Responder), abortRequest(1), beginRequest(3, Filter), closeStream(Params, 2), abortRequest(2)))
	f.Add([]byte("\x01\x01\x00\x01\x00\x08\x00\x00\x00\x01\x01\x00\x00\x00\x00\x00\x01\x04\x00\x01\x00\x01\x00\x00\x05"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var out bytes.Buffer
		w := NewWriter(&out)
		app := NewApplication(testLimits, w)
		r := NewReader(bytes.NewReader(text))
		called := map[uint16]bool{}
		for {
			rec, err := r.Next()
			if err != nil {
				break
			}
			event, err := app.HandleRecord(rec)
			if err != nil {
				var named *Error
				if !errors.As(err, &named) {
					t.Fatalf("got %v, want an *Error", err)
				}
				break
			}
			switch {
			case app.Open() > testLimits.Requests:
				t.Fatalf("%d open requests exceed the limit", app.Open())
			case event.Kind == ParamsEnd && called[event.ID], (event.Kind == Body || event.Kind == BodyEnd) && !called[event.ID]:
				t.Fatalf("request %d: event %v with PARAMS ended: %v", event.ID, event.Kind, called[event.ID])
			case event.Kind == ParamsEnd:
				called[event.ID] = true
			case event.Kind == BodyEnd && event.ID%2 == 0:
				if _, err := app.Finish(event.ID, End{}); err != nil {
					t.Fatal(err)
				}
				delete(called, event.ID)
			}
		}
		w.Flush()
		if _, err := recordLines(NewReader(&out)); err != io.EOF {
			t.Fatalf("read the answers: got %v, want io.EOF", err)
		}
	})
}
