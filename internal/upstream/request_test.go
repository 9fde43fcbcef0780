package upstream

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/discovery"
	"damsontrestle/internal/engine"
)

// What a server gets is byte for byte what net/http would write, whatever is in the request.
func TestRequestTextMatchesNetHTTP(t *testing.T) {
	draw := rand.New(rand.NewPCG(46, 6))
	pick := func(of ...string) string { return of[draw.IntN(len(of))] }
	value := func() string {
		return pick("", "", "plain", " led", "trailed\t", "two words", "a\r\nX-Other: b", "\n", "\x00\x7f", "\u00e4", strings.Repeat("long", 300))
	}
	plain := 0
	for i := range 5000 {
		r := engine.Message{Method: pick("GET", "GET", "POST", "POST", "PUT", ""), Target: pick("/view", "/note/k?a=b%20c", "/view?\u00e4", "//view", "", "view", "/a b", "/a\x7f", "/\r\nX: y"),
			IdempotencyKey: value(), ContentType: value(), Body: []byte(pick("", "body", strings.Repeat("b", 3000)))}
		if draw.IntN(4) == 0 {
			r.ExtraHeaders = []engine.Field{{Name: "X-Beside", Value: value()}, {Name: "A-Beside", Value: "a"}}
		}
		if isPlain(&r) {
			plain++
		}
		left := time.Duration(draw.Int64N(int64(10*time.Second))) - time.Second
		a := engine.NewAttempt(engine.NewRequest(value(), r), 0, discovery.Host{}, 0, 0)
		var want bytes.Buffer
		wantErr := newRequest(a, left, bytes.NewReader(r.Body)).Write(&want)
		got, err := completeRequest(a, left)
		if (err != nil) != (wantErr != nil) || err == nil && !bytes.Equal(got, want.Bytes()) {
			t.Fatalf("request %d, %+v:\n%q, %v\nwant\n%q, %v", i, r, got, err, want.Bytes(), wantErr)
		}
	}
	if plain < 1000 {
		t.Errorf("%d of 5000 were plain: too few to tell", plain)
	}
}
