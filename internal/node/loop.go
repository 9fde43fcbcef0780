package node

import (
	"container/heap"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"woodpick"
)

// clock tells Unix time, moved by the monotonic clock: it compares with boot_ms and never jumps.
type clock struct {
	start time.Time
	base  time.Duration
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, base: time.Duration(now.UnixNano())}
}

func (c clock) now() time.Duration { return c.base + time.Since(c.start) }

// until is how long it is to a clock time.
func (c clock) until(at time.Duration) time.Duration { return at - c.now() }

// call is a caller's request, as it came.
type call struct {
	id, class, method, target, key string
	contentType                    string
	body                           []byte
	at, deadline                   time.Duration
	answer                         chan answer // takes one answer without blocking
}

// answer is the one final answer to a call.
type answer struct {
	kind       answerKind
	body       []byte // for served
	header     string // for served: the Content-Type
	retryAfter time.Duration
}

type answerKind int

const (
	served answerKind = iota
	refused
	failed
	duplicate // the id is in use
)

// event is what the other parts tell the loop: one of the types below.
type event interface{}

type (
	arrived    struct{ call *call }
	callerGone struct {
		call *call
		at   time.Duration
	}
	ended struct {
		attempt *attempt
		result  result
	}
	listNews   struct{ list list }
	listFailed struct{}
	lastCall   struct{} // the node ends: what is unanswered is answered now
)

// pending is a call that the module still knows: unanswered, or with attempts out.
type pending struct {
	call     *call
	attempts []*attempt
	out      int
	answered bool
}

// alarm is a Wake to come.
type alarm struct {
	at    time.Duration
	token string
}

type alarms []alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(x any)        { *a = append(*a, x.(alarm)) }
func (a *alarms) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// stats count what happened, for the log.
type stats struct {
	Requests, Served, Refused, Failed, Gone, Sends int
	Endings                                        [8]int
	LagMax, LagSum                                 time.Duration
	Events                                         int
}

// loop is the only goroutine that touches the Balancer. It never blocks on I/O: answers go to
// channels with room, and attempts run in goroutines of their own.
type loop struct {
	clock     clock
	balancer  *woodpick.Balancer
	events    chan event
	start     func(*attempt) // begins an attempt; must not block
	subscribe func()
	servers   func([]target, bool) // tells the backend of the list; must not block
	push      bool                 // lists are pushed
	sockets   func() []any         // more for the log's report
	log       *slog.Logger

	now     time.Duration
	pending map[string]*pending
	alarms  alarms
	listed  map[string]target
	over    bool        // after lastCall
	ready   atomic.Bool // a listed server may be sent to
	stats   stats
}

func newLoop(b *woodpick.Balancer, c clock, log *slog.Logger) *loop {
	return &loop{clock: c, balancer: b, sockets: func() []any { return nil }, events: make(chan event, 1024), log: log,
		pending: map[string]*pending{}, listed: map[string]target{}}
}

func (l *loop) post(e event) { l.events <- e }

// statsEvery is how often the log tells what happened, when anything did.
const statsEvery = 10 * time.Second

// run handles events until ctx ends.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	report := time.NewTicker(statsEvery)
	defer report.Stop()
	defer l.report()
	for {
		l.ring()
		if len(l.alarms) > 0 {
			timer.Reset(max(0, l.clock.until(l.alarms[0].at)))
		}
		select {
		case e := <-l.events:
			l.take(e)
		case <-timer.C:
		case <-report.C:
			l.report()
		case <-ctx.Done():
			return
		}
	}
}

// ring handles the alarms that are due.
func (l *loop) ring() {
	for len(l.alarms) > 0 {
		now := l.clock.now()
		if l.alarms[0].at > now {
			return
		}
		a := heap.Pop(&l.alarms).(alarm)
		l.handle(now, woodpick.Timer{Token: a.token})
	}
}

// take hands one event to the module, at the time when it happened rather than when the loop got to it.
func (l *loop) take(e event) {
	switch e := e.(type) {
	case arrived:
		l.lag(e.call.at)
		if l.over {
			l.stats.Refused++
			e.call.answer <- answer{kind: refused, retryAfter: time.Second}
			return
		}
		if l.pending[e.call.id] != nil {
			// The module ignores a second request with an id that it knows, so nobody would answer.
			e.call.answer <- answer{kind: duplicate}
			return
		}
		l.stats.Requests++
		l.pending[e.call.id] = &pending{call: e.call}
		l.handle(e.call.at, woodpick.Request{ID: e.call.id, Class: e.call.class, Deadline: e.call.deadline})
	case callerGone:
		l.lag(e.at)
		if p := l.pending[e.call.id]; p != nil && p.call == e.call && !p.answered {
			l.stats.Gone++
			p.answered = true
			l.handle(e.at, woodpick.ClientGone{ID: e.call.id})
			l.forget(p)
		}
	case ended:
		l.lag(e.result.at)
		l.end(e.attempt, e.result)
	case lastCall:
		l.over = true
		for _, p := range l.pending {
			l.giveUp(p)
		}
	case listNews:
		l.takeList(e.list, false)
	case listFailed:
		l.handle(l.clock.now(), woodpick.ListFailed{})
	}
}

// giveUp answers a call that the node will not be there for, as its caller leaving would end it.
func (l *loop) giveUp(p *pending) {
	if p.answered {
		return
	}
	if len(p.attempts) == 0 {
		l.finish(p.call.id, answer{kind: refused, retryAfter: time.Second})
	} else {
		l.finish(p.call.id, answer{kind: failed})
	}
	l.handle(l.clock.now(), woodpick.ClientGone{ID: p.call.id})
}

// end passes on how an attempt ended. The first success is the caller's answer.
func (l *loop) end(a *attempt, r result) {
	p := l.pending[a.call.id]
	l.stats.Endings[r.ending]++
	p.out--
	if r.ending == woodpick.Success && !p.answered {
		l.stats.Served++
		l.answer(p, answer{kind: served, body: r.body, header: r.contentType})
	}
	l.handle(r.at, woodpick.Outcome{ID: a.call.id, Attempt: a.n, Server: a.to.server, Ending: r.ending,
		Latency: r.at - a.sent, Ended: p.answered})
	l.forget(p)
}

func (l *loop) answer(p *pending, a answer) {
	p.answered = true
	p.call.answer <- a
}

// forget drops a call once nothing of it is left, as the module does.
func (l *loop) forget(p *pending) {
	if p.answered && p.out == 0 {
		delete(l.pending, p.call.id)
	}
}

// takeList keeps where the servers listen, and passes the list on. A list that changes nothing, as after
// discovery has moved, is not passed on where lists are pushed: the module takes each list for a change
// and cuts its pool anew, so telling it of nothing would move requests and open connections for nothing.
func (l *loop) takeList(news list, cached bool) {
	if !cached && l.push && l.holds(news) {
		return
	}
	if news.full {
		clear(l.listed)
	}
	e := woodpick.ServerList{Full: news.full, Cached: cached}
	for _, t := range news.targets {
		e.Servers = append(e.Servers, t.Server)
		if t.State == woodpick.Gone {
			delete(l.listed, t.ID)
		} else {
			l.listed[t.ID] = t
		}
	}
	ready := false
	for _, t := range l.listed {
		ready = ready || t.State == woodpick.Ready
	}
	l.servers(news.targets, news.full)
	l.handle(l.clock.now(), e)
	l.ready.Store(ready)
}

// holds says that a list tells nothing new.
func (l *loop) holds(news list) bool {
	for _, t := range news.targets {
		if held, ok := l.listed[t.ID]; ok && held != t || !ok && t.State != woodpick.Gone {
			return false
		}
	}
	return !news.full || len(news.targets) == len(l.listed)
}

// handle feeds the module and carries out what it decides.
func (l *loop) handle(at time.Duration, e woodpick.Event) {
	l.now = max(l.now, at)
	for _, a := range l.balancer.Handle(l.now, e) {
		switch a := a.(type) {
		case woodpick.Send:
			l.send(a)
		case woodpick.Cancel:
			if p := l.pending[a.ID]; p != nil && a.Attempt < len(p.attempts) {
				p.attempts[a.Attempt].cancel()
			}
		case woodpick.Refuse:
			l.finish(a.ID, answer{kind: refused, retryAfter: a.RetryAfter})
		case woodpick.Fail:
			l.finish(a.ID, answer{kind: failed})
		case woodpick.Wake:
			heap.Push(&l.alarms, alarm{a.At, a.Token})
		case woodpick.Subscribe:
			l.subscribe()
		}
	}
}

func (l *loop) send(s woodpick.Send) {
	p := l.pending[s.ID]
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{ctx: ctx, cancel: cancel, call: p.call, n: len(p.attempts),
		to: l.listed[s.Server].host(), sent: l.now, deadline: l.now + s.Timeout}
	p.attempts = append(p.attempts, a)
	p.out++
	l.stats.Sends++
	l.start(a)
}

func (l *loop) finish(id string, a answer) {
	p := l.pending[id]
	if p == nil || p.answered {
		return
	}
	if a.kind == refused {
		l.stats.Refused++
	} else {
		l.stats.Failed++
	}
	l.answer(p, a)
	l.forget(p)
}

// lag notes how long after an event the loop got to it.
func (l *loop) lag(at time.Duration) {
	d := -l.clock.until(at)
	l.stats.LagMax = max(l.stats.LagMax, d)
	l.stats.LagSum += d
	l.stats.Events++
}

// report logs what happened since the last report.
func (l *loop) report() {
	s := l.stats
	l.stats = stats{}
	if s.Events == 0 {
		return
	}
	e := s.Endings
	l.log.With(l.sockets()...).Info("traffic", "requests", s.Requests, "served", s.Served, "refused", s.Refused,
		"failed", s.Failed, "gone", s.Gone, "sends", s.Sends, "success", e[woodpick.Success],
		"failure", e[woodpick.Failure], "overloaded", e[woodpick.Overloaded],
		"timed_out", e[woodpick.TimedOut], "unreachable", e[woodpick.Unreachable],
		"broken", e[woodpick.Broken], "withdrawn", e[woodpick.Withdrawn], "void", e[woodpick.Void],
		"pending", len(l.pending), "lag_max", s.LagMax, "lag_mean", s.LagSum/time.Duration(s.Events))
}
