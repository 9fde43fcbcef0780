package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"damsontrestle/internal/balancer"
)

const (
	maxValue  = 1e12 // largest time in milliseconds, size and load
	maxQuoted = 40   // bytes of a quoted text in an error
)

// fields parses the fields of one line and keeps the first error.
type fields struct {
	name  string
	parts []string
	err   error
}

// fail records an error of value i, unless there is one already.
func (f *fields) fail(i int, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: value %d %s", f.name, i+1, why)
	}
}

// optText returns a value, or "" if it is absent.
func (f *fields) optText(i int) string {
	if i >= len(f.parts) || f.parts[i] == "-" {
		return ""
	}
	return f.parts[i]
}

// text returns a required value.
func (f *fields) text(i int) string {
	s := f.optText(i)
	if s == "" {
		f.fail(i, "is missing")
	}
	return s
}

// integer parses an integer.
func (f *fields) integer(i int) int {
	v, err := strconv.Atoi(f.text(i))
	if err != nil {
		f.fail(i, "is not an integer")
	}
	return v
}

// optInteger parses an integer; 0 if it is absent.
func (f *fields) optInteger(i int) int {
	if f.optText(i) == "" {
		return 0
	}
	return f.integer(i)
}

// size parses the capacity of a server; 0 if it is absent.
func (f *fields) size(i int) float64 {
	if f.optText(i) == "" {
		return 0
	}
	value, err := strconv.ParseFloat(f.optText(i), 64)
	if err != nil || !(value >= 0 && value <= maxValue) {
		f.fail(i, "is not a size")
	}
	return value
}

// seed parses a signed or unsigned 64-bit integer.
func (f *fields) seed(i int) uint64 {
	s := f.text(i)
	if v, err := strconv.ParseUint(s, 10, 64); err == nil {
		return v
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(i, "is not an integer")
	}
	return uint64(v)
}

// duration parses a time in milliseconds.
func (f *fields) duration(i int) time.Duration {
	value, err := strconv.ParseFloat(f.text(i), 64)
	if err != nil || math.IsNaN(value) || math.Abs(value) > maxValue {
		f.fail(i, "is not a time in milliseconds")
		return 0
	}
	return milliseconds(value)
}

// optDuration parses a time in milliseconds; 0 if it is absent.
func (f *fields) optDuration(i int) time.Duration {
	if f.optText(i) == "" {
		return 0
	}
	return f.duration(i)
}

// results maps the protocol's names to results.
var results = map[string]balancer.Result{
	"success": balancer.Success, "failure": balancer.Failure,
	"overloaded": balancer.Overloaded, "timed_out": balancer.TimedOut,
	"unreachable": balancer.Unreachable, "broken": balancer.ConnectionLost,
	"withdrawn": balancer.Cancelled, "void": balancer.NotStarted,
}

// result parses the result of an attempt.
func (f *fields) result(i int) balancer.Result {
	result, ok := results[f.text(i)]
	if !ok {
		f.fail(i, "is not a result")
	}
	return result
}

// load parses name:value pairs. Unknown names are ignored.
func (f *fields) load(i int) *balancer.Load {
	report := f.optText(i)
	if report == "" {
		return nil
	}
	load := &balancer.Load{Busy: -1, Service: -1}
	for _, pair := range strings.Split(report, ",") {
		name, text, _ := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(value) || math.Abs(value) > maxValue {
			f.fail(i, "is not a load report")
			return nil
		}
		switch name {
		case "busy_reqs":
			load.Busy = value
		case "svc_ms":
			load.Service = milliseconds(value)
		}
	}
	return load
}

// quote quotes a text for an error, truncated to maxQuoted bytes.
func quote(s string) string {
	if len(s) > maxQuoted {
		s = s[:maxQuoted] + "..."
	}
	return strconv.Quote(s)
}

// milliseconds converts a number of milliseconds, rounded to nanoseconds.
func milliseconds(v float64) time.Duration {
	return time.Duration(math.Round(v * float64(time.Millisecond)))
}
