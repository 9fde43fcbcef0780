// Package wire reads batches of events from the simulator's text protocol and writes replies.
// It makes no decisions.
package wire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"damsontrestle/internal/balancer"
)

// Kind tells what a Message carries.
type Kind int

// Message kinds.
const (
	Sync  Kind = iota // a batch begins; Now is set
	Hello             // a new instance; Seed and Settings are set
	Event             // Event is set
	Stop              // the instance was killed
	Other             // known, but of no use to the module
	End               // the batch is over; a reply is due
)

// Message is one line of a batch, resolved.
type Message struct {
	Kind     Kind
	Instance int
	Now      time.Duration
	Seed     uint64
	Settings balancer.Settings
	Event    balancer.Event
}

// Decoder reads messages one at a time.
type Decoder struct {
	r        *bufio.Reader
	line     int
	inBatch  bool
	instance int
	lists    [16][]balancer.Server
}

// NewDecoder returns a Decoder that reads r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<20), instance: -1}
}

func (d *Decoder) readLine() (string, error) {
	s, err := d.r.ReadString('\n')
	if err == io.EOF {
		if s == "" {
			return "", io.EOF
		}
		return "", io.ErrUnexpectedEOF
	}
	d.line++
	return strings.TrimRight(s, "\r\n"), err
}

// Next returns the next message. It returns io.EOF when the input ends between two batches, and
// an error that names the line for anything else that ends or spoils the input.
func (d *Decoder) Next() (Message, error) {
	for {
		s, err := d.readLine()
		if err == io.EOF && !d.inBatch {
			return Message{}, io.EOF
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return Message{}, fmt.Errorf("line %d: input ends inside a batch", d.line+1)
		}
		if err != nil {
			return Message{}, fmt.Errorf("line %d: %w", d.line+1, err)
		}
		if s == "" {
			continue
		}
		m, skip, err := d.decode(s)
		if err != nil {
			return Message{}, fmt.Errorf("line %d: %w", d.line, err)
		}
		if !skip {
			return m, nil
		}
	}
}

// decode handles one line; skip is true for lines that only change the decoder's state.
func (d *Decoder) decode(s string) (m Message, skip bool, err error) {
	name, rest, _ := strings.Cut(s, "\t")
	if (name == "sync") == d.inBatch {
		if d.inBatch {
			return m, false, fmt.Errorf("sync inside a batch")
		}
		return m, false, fmt.Errorf("%s outside a batch", quote(name))
	}
	f := &fields{name: name, parts: strings.Split(rest, "\t")}
	m.Instance = d.instance
	needsInstance := name != "sync" && name != "eob" && name != "list" && name != "about"
	if needsInstance && d.instance < 0 {
		return m, false, fmt.Errorf("%s before any about", quote(name))
	}
	m.Kind = Event
	switch name {
	case "sync":
		m.Kind, m.Now = Sync, f.ms(0)
		d.inBatch, d.instance = true, -1
	case "eob":
		m.Kind = End
		d.inBatch = false
	case "about":
		d.instance = f.num(0)
		if f.err == nil && d.instance < 0 {
			f.fail(0, "is negative")
		}
		skip = true
	case "list":
		return m, true, d.readList(f)
	case "hello":
		m.Kind = Hello
		seed, text, ok := strings.Cut(rest, "\t")
		if !ok {
			return m, false, fmt.Errorf("hello lacks its settings")
		}
		f.parts[0] = seed
		m.Seed = f.seed(0)
		if f.err == nil {
			m.Settings, f.err = ParseSettings([]byte(text))
		}
	case "announce":
		mode := f.num(0)
		switch mode {
		case 0, 1, 2:
			n := f.num(1)
			if f.err == nil && (n < 0 || n >= len(d.lists)) {
				f.fail(1, "is no list number")
				break
			}
			m.Event = balancer.ServerList{Full: mode != 0, Cached: mode == 2, Servers: d.lists[n]}
		case 3:
			m.Event = balancer.ListFailed{}
		default:
			f.fail(0, "is no mode")
		}
	case "job_in":
		m.Event = balancer.Request{ID: f.text(0), Deadline: f.ms(1), Class: f.text(3),
			Retry: f.optNum(4)&2 != 0}
	case "ring":
		m.Event = balancer.Timer{Token: f.text(0)}
	case "outcome":
		m.Event = balancer.Outcome{ID: f.text(0), Server: f.text(1), Latency: f.ms(2),
			Ended: f.text(3) == "1", Attempt: f.num(4), Result: f.ending(5), Load: f.load(6)}
	case "timed_out_client":
		m.Event = balancer.ClientDisconnected{ID: f.text(0)}
	case "flowing":
		m.Event = balancer.Started{ID: f.text(0), Attempt: f.num(3)}
	case "crash_now":
		m.Kind = Stop
	case "checked", "mail":
		m.Kind = Other
	default:
		return m, false, fmt.Errorf("unknown message %s", quote(name))
	}
	return m, skip, f.err
}

func (d *Decoder) readList(f *fields) error {
	table, n := f.num(0), f.num(1)
	if f.err != nil {
		return f.err
	}
	if table < 0 || table >= len(d.lists) || n < 0 {
		return fmt.Errorf("list number or length out of range")
	}
	var servers []balancer.Server
	for i := 0; i < n; i++ {
		s, err := d.readLine()
		if err != nil {
			return fmt.Errorf("list ends after %d of %d items", i, n)
		}
		name, rest, _ := strings.Cut(s, "\t")
		if name != "item" {
			return fmt.Errorf("want item %d of %d, got %s", i+1, n, quote(name))
		}
		g := &fields{name: name, parts: strings.Split(rest, "\t")}
		sv := balancer.Server{ID: g.text(0), Zone: g.text(1), Cell: g.num(3), Size: g.size(5), Boot: g.optMS(6)}
		switch g.num(4) {
		case 2:
			sv.State = balancer.Ready
		case 0:
			sv.State = balancer.Draining
		case 1:
			sv.State = balancer.Removed
		default:
			g.fail(4, "is no state")
		}
		if g.err != nil {
			return g.err
		}
		servers = append(servers, sv)
	}
	d.lists[table] = servers
	return nil
}

// fields reads the parts of one line and keeps the first error.
type fields struct {
	name  string
	parts []string
	err   error
}

func (f *fields) fail(i int, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: value %d %s", f.name, i+1, why)
	}
}

func (f *fields) opt(i int) string {
	if i >= len(f.parts) || f.parts[i] == "-" {
		return ""
	}
	return f.parts[i]
}

func (f *fields) text(i int) string {
	s := f.opt(i)
	if s == "" {
		f.fail(i, "is missing")
	}
	return s
}

func (f *fields) num(i int) int {
	v, err := strconv.Atoi(f.text(i))
	if err != nil {
		f.fail(i, "is no whole number")
	}
	return v
}

func (f *fields) optNum(i int) int {
	if f.opt(i) == "" {
		return 0
	}
	return f.num(i)
}

// size reads how much a server can carry; absent means not told.
func (f *fields) size(i int) float64 {
	if f.opt(i) == "" {
		return 0
	}
	v, err := strconv.ParseFloat(f.opt(i), 64)
	if err != nil || !(v >= 0 && v <= 1e12) {
		f.fail(i, "is no size")
	}
	return v
}

func (f *fields) seed(i int) uint64 {
	s := f.text(i)
	if v, err := strconv.ParseUint(s, 10, 64); err == nil {
		return v
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(i, "is no whole number")
	}
	return uint64(v)
}

func (f *fields) ms(i int) time.Duration {
	v, err := strconv.ParseFloat(f.text(i), 64)
	if err != nil || math.IsNaN(v) || math.Abs(v) > 1e12 {
		f.fail(i, "is no time in milliseconds")
		return 0
	}
	return fromMS(v)
}

func (f *fields) optMS(i int) time.Duration {
	if f.opt(i) == "" {
		return 0
	}
	return f.ms(i)
}

var endings = map[string]balancer.Result{
	"success": balancer.Success, "failure": balancer.Failure,
	"overloaded": balancer.Overloaded, "timed_out": balancer.TimedOut,
	"unreachable": balancer.Unreachable, "broken": balancer.ConnectionLost,
	"withdrawn": balancer.Cancelled, "void": balancer.NotStarted,
}

func (f *fields) ending(i int) balancer.Result {
	e, ok := endings[f.text(i)]
	if !ok {
		f.fail(i, "is no ending")
	}
	return e
}

// load reads name:value pairs; names it does not know are ignored.
func (f *fields) load(i int) *balancer.Load {
	s := f.opt(i)
	if s == "" {
		return nil
	}
	l := &balancer.Load{Busy: -1, Service: -1}
	for _, pair := range strings.Split(s, ",") {
		name, text, _ := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(v) || math.Abs(v) > 1e12 {
			f.fail(i, "is no load report")
			return nil
		}
		switch name {
		case "busy_reqs":
			l.Busy = v
		case "svc_ms":
			l.Service = fromMS(v)
		}
	}
	return l
}

func quote(s string) string {
	if len(s) > 40 {
		s = s[:40] + "..."
	}
	return strconv.Quote(s)
}

func fromMS(v float64) time.Duration { return time.Duration(math.Round(v * 1e6)) }

// profile mirrors the settings object on the wire.
type profile struct {
	Balancers int `json:"balancers"`
	Index     int `json:"me"`
	Blend     struct {
		Whole      float64 `json:"whole"`
		WorstClass float64 `json:"worst-class"`
	} `json:"blend"`
	Lanes []struct {
		Deadline  float64 `json:"deadline-ms"`
		Effect    string  `json:"effect"`
		Scope     string  `json:"key-scope"`
		LateShare float64 `json:"late-share"`
		Name      string  `json:"name"`
		Target    float64 `json:"target-ms"`
		Window    float64 `json:"window-ms"`
		Worth     float64 `json:"worth"`
	} `json:"lanes"`
	Limits struct {
		Cancelling    bool    `json:"cancelling"`
		MaxAttempts   int     `json:"max-attempts"`
		MaxRetryAfter float64 `json:"max-retry-after-ms"`
		RetryAfter    bool    `json:"retry-after"`
	} `json:"limits"`
	Registry string `json:"registry-mode"`
	Rules    struct {
		AskWithin float64 `json:"ask-within-ms"`
		ColdFrom  float64 `json:"cold-from"`
		WarmAfter float64 `json:"warm-after-ms"`
	} `json:"rules"`
	Tick float64 `json:"tick-ms"`
	Tier int     `json:"tier"`
}

var scopes = map[string]balancer.Scope{
	"all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell,
}

var effects = map[string]balancer.Effect{
	"read_like": balancer.Safe, "idempotency_key": balancer.Keyed,
}

// ParseSettings reads the settings object. Keys it does not know are ignored, an effect it does
// not know is Unsafe and a scope it does not know is the narrowest.
func ParseSettings(text []byte) (balancer.Settings, error) {
	var p profile
	if err := json.Unmarshal(text, &p); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := balancer.Settings{
		Balancers: p.Balancers, Index: p.Index, Tier: p.Tier,
		TotalWeight: p.Blend.Whole, ClassWeight: p.Blend.WorstClass,
		MaxAttempts:   p.Limits.MaxAttempts,
		MayCancel:     p.Limits.Cancelling,
		PollDiscovery: p.Registry == "on_request", PollInterval: fromMS(p.Rules.AskWithin),
		Tick: fromMS(p.Tick), SlowStartMinimum: p.Rules.ColdFrom, SlowStartWindow: fromMS(p.Rules.WarmAfter),
	}
	if p.Limits.RetryAfter {
		s.MaxRetryAfter = fromMS(p.Limits.MaxRetryAfter)
	}
	for _, l := range p.Lanes {
		s.Classes = append(s.Classes, balancer.Class{Name: l.Name, Effect: effects[l.Effect],
			Scope: scopes[l.Scope], Window: fromMS(l.Window), LatencyObjective: fromMS(l.Target),
			Deadline: fromMS(l.Deadline), LateShare: l.LateShare, PriorityWeight: l.Worth})
	}
	return s, nil
}

// Encoder writes replies.
type Encoder struct {
	w        *bufio.Writer
	instance int
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{w: bufio.NewWriterSize(w, 1<<16), instance: -1}
}

func ms(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/1e6, 'f', -1, 64)
}

// Action adds one action of an instance to the reply.
func (e *Encoder) Action(instance int, a balancer.Action) {
	if instance != e.instance {
		fmt.Fprintf(e.w, "instance\t%d\n", instance)
		e.instance = instance
	}
	switch a := a.(type) {
	case balancer.Send:
		fmt.Fprintf(e.w, "forward\t%s\t%s\t%s\n", a.ID, a.Server, ms(a.Timeout))
	case balancer.Cancel:
		fmt.Fprintf(e.w, "retract\t%s\t%d\n", a.ID, a.Attempt)
	case balancer.CloseIdle:
		fmt.Fprintf(e.w, "let_go\t%s\n", a.Server)
	case balancer.Reject:
		fmt.Fprintf(e.w, "turn_away\t%s\t%s\n", a.ID, ms(a.RetryAfter))
	case balancer.Fail:
		fmt.Fprintf(e.w, "report_failure\t%s\n", a.ID)
	case balancer.SetTimer:
		fmt.Fprintf(e.w, "remind\t%s\t%s\n", ms(a.At), a.Token)
	case balancer.Subscribe:
		fmt.Fprint(e.w, "subscribe\t1\n")
	}
}

// Flush ends the reply and sends it.
func (e *Encoder) Flush() error {
	e.instance = -1
	e.w.WriteString("yield\n")
	return e.w.Flush()
}
