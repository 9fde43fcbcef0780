package responselog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"damsontrestle/internal/engine"
	"damsontrestle/internal/metrics"
)

// Guards against a log without a trace of a failed request: the line has its id, server, stage and the reason for the end.
func TestUnservedResponseIsLoggedAndCounted(t *testing.T) {
	var lines bytes.Buffer
	var counters metrics.Recorder
	log := New(slog.New(slog.NewTextHandler(&lines, nil)), &counters)
	ending := engine.EndState{
		Reason:        engine.EndAttemptTime,
		Server:        "s1",
		Attempts:      1,
		Stage:         engine.StageReplyBody,
		Received:      14000,
		SinceProgress: 40 * time.Millisecond,
	}
	log.Unserved("id-1", "note", engine.Response{Kind: engine.Failed, EndState: ending})
	want := `msg="response without a server's reply" request=id-1 class=note kind=failed reason=attempt_time attempts=1 server=s1 ` +
		`stage=reply_body received=14000 since_progress=40ms suppressed=0`
	if !strings.Contains(lines.String(), want) {
		t.Errorf("log %s, want %s", lines.String(), want)
	}
	if got := counters.Report().UnservedResponses["attempt_time"]; got != 1 {
		t.Errorf("counted %d times, want 1", got)
	}
}

// Guards against a client that fills the log by bad requests: lines are limited in rate, counters are complete.
func TestLinesAreLimitedInRate(t *testing.T) {
	const refusals = 10000
	var lines bytes.Buffer
	var counters metrics.Recorder
	log := New(slog.New(slog.NewTextHandler(&lines, nil)), &counters)
	begin := time.Now()
	for range refusals {
		log.Refused(strings.Repeat("x", 10000), "", 400, engine.EndInvalid)
	}
	allowed := lineBurst + int(time.Since(begin).Seconds()*linesPerSecond) + 1
	if n := strings.Count(lines.String(), "\n"); n > allowed || lines.Len() > allowed*(maxLoggedID+200) {
		t.Errorf("%d lines, %d bytes; want at most %d lines", n, lines.Len(), allowed)
	}
	if got := counters.Report().UnservedResponses["invalid"]; got != refusals {
		t.Errorf("%d refusals counted, want %d", got, refusals)
	}
}
