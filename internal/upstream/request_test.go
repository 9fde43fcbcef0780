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

// The text of a request is byte for byte what net/http writes, whatever the request contains.
func TestRequestTextMatchesNetHTTP(t *testing.T) {
	random := rand.New(rand.NewPCG(46, 6))
	pick := func(of ...string) string { return of[random.IntN(len(of))] }
	value := func() string {
		return pick("", "", "plain", " led", "trailed\t", "two words", "a\r\nX-Other: b", "\n", "\x00\x7f", "\u00e4", strings.Repeat("long", 300))
	}
	plain := 0
	for i := range 5000 {
		message := engine.Message{Method: pick("GET", "GET", "POST", "POST", "PUT", ""), Target: pick("/view", "/note/k?a=b%20c", "/view?\u00e4", "//view", "", "view", "/a b", "/a\x7f", "/\r\nX: y"),
			IdempotencyKey: value(), ContentType: value(), Body: []byte(pick("", "body", strings.Repeat("b", 3000)))}
		if random.IntN(4) == 0 {
			message.ExtraHeaders = []engine.Field{{Name: "X-Beside", Value: value()}, {Name: "A-Beside", Value: "a"}}
		}
		if isPlain(&message) {
			plain++
		}
		remaining := time.Duration(random.Int64N(int64(10*time.Second))) - time.Second
		attempt := engine.NewAttempt(engine.NewRequest(value(), message), 0, discovery.Host{}, 0, 0)
		var want bytes.Buffer
		wantErr := newRequest(attempt, remaining, bytes.NewReader(message.Body)).Write(&want)
		got, err := completeRequest(attempt, remaining)
		if (err != nil) != (wantErr != nil) || err == nil && !bytes.Equal(got, want.Bytes()) {
			t.Fatalf("request %d, %+v:\n%q, %v\nwant\n%q, %v", i, message, got, err, want.Bytes(), wantErr)
		}
	}
	if plain < 1000 {
		t.Errorf("%d of 5000 requests were plain, want at least 1000", plain)
	}
}
