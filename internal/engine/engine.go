// Package engine drives one Balancer: requests go in, attempts go out, outcomes come back and each request gets
// exactly one final answer. It knows no protocol and decides nothing: it carries out what the module decides,
// through a Backend, and tells it what happened when it happened.
package engine

import (
	"container/heap"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/discovery"
)

// event is what the other parts tell the loop: one of the types below.
type event interface{}

type (
	arrived            struct{ request *Request }
	clientDisconnected struct {
		request *Request
		at      time.Duration
	}
	uploaded struct {
		attempt *Attempt
		at      time.Duration
	}
	ended struct {
		attempt *Attempt
		outcome Outcome
	}
	loadReport struct {
		id     string // of the request that the asking was for
		server string
		busy   float64
		asked  time.Duration // clock time
	}
	listNews    struct{ list discovery.List }
	listFailed  struct{}
	closing     struct{ at time.Duration }
	answerAll   struct{} // the node ends: what is unanswered is answered now
	reconfigure struct {
		settings balancer.Settings
		pushed   bool
	}
	retire     struct{}
	status     struct{ to chan Status }
	statsQuery struct{ to chan Stats }
)

// pending is a request that the module still knows: unanswered, or with attempts out.
type pending struct {
	request   *Request
	attempts  []*Attempt
	inFlight  int
	ran       bool // an attempt of it may have
	responded bool
}

// timer is a Wake to come.
type timer struct {
	at    time.Duration
	token string
}

type timerHeap []timer

func (a timerHeap) Len() int           { return len(a) }
func (a timerHeap) Less(i, j int) bool { return a[i].at < a[j].at }
func (a timerHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *timerHeap) Push(x any)        { *a = append(*a, x.(timer)) }
func (a *timerHeap) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// stats count what happened, for the log.
type stats struct {
	Requests, Served, Rejected, Failed, Disconnected, Sends, Polls int
	Results                                                        [8]int
	LagMax, LagSum                                                 time.Duration
	Events                                                         int
}

// Options are what an Engine is made of.
type Options struct {
	Settings  balancer.Settings
	Seed      uint64 // for the module's draws
	Clock     clock.Clock
	Backend   Backend
	Subscribe func()       // has discovery asked for the list; must not block
	Pushed    bool         // lists are pushed
	Report    func() []any // more for the log's report
	Count     bool         // Sight is wanted
	Log       *slog.Logger
}

// Engine has the only goroutine that touches its Balancer. It never blocks on I/O: answers go to channels
// with room, and attempts run in goroutines of their own.
type Engine struct {
	clock     clock.Clock
	balancer  *balancer.Balancer
	backend   Backend
	events    chan event
	subscribe func()
	pushed    bool
	more      func() []any
	log       *slog.Logger

	now             time.Duration
	pending         map[string]*pending
	alarms          timerHeap
	rev             int64 // of the list
	listed          map[string]discovery.Target
	closeAt         time.Duration // clock time of the last call to come; 0: none is known
	over            bool          // after answerAll
	retiring        bool          // after retire
	ready           atomic.Bool   // a listed server may be sent to
	stats           stats
	total           Totals
	tally           *tally // nil: nobody wants Sight
	slowStartWindow time.Duration
	starts          discovery.Starts
	done            chan struct{} // closed once Run has returned
}

// Totals count what became of requests since the engine began.
type Totals struct {
	Requests     int64 `json:"calls"`
	Served       int64 `json:"served"`
	Rejected     int64 `json:"refused"`
	Failed       int64 `json:"failed"`
	Disconnected int64 `json:"gone"` // the client left before its answer
	Sends        int64 `json:"sends"`
	Polls        int64 `json:"asks,omitempty"` // to servers, how much they hold
}

// Status is what an engine holds.
type Status struct {
	Totals
	Open     int `json:"open"`     // requests that are unanswered, or have an attempt out
	Ready    int `json:"ready"`    // listed servers by their state
	Draining int `json:"draining"` //
	Avoided  int `json:"avoided"`  // of the listed, those that nothing new is sent to
}

// New returns an Engine that knows no servers yet and does nothing before Run. The error names the setting
// at fault.
func New(o Options) (*Engine, error) {
	b, err := balancer.New(o.Settings, o.Seed)
	if err != nil {
		return nil, err
	}
	if o.Report == nil {
		o.Report = func() []any { return nil }
	}
	eng := &Engine{clock: o.Clock, balancer: b, backend: o.Backend, subscribe: o.Subscribe, pushed: o.Pushed,
		more: o.Report, log: o.Log, events: make(chan event, 1024),
		pending: map[string]*pending{}, listed: map[string]discovery.Target{}, done: make(chan struct{}),
		slowStartWindow: o.Settings.SlowStartWindow}
	if o.Count {
		eng.tally = newTally()
	}
	return eng, nil
}

// post hands an event to the loop, or to nobody once that has ended.
func (eng *Engine) post(e event) bool {
	select {
	case eng.events <- e:
		return true
	case <-eng.done:
		return false
	}
}

// Submit takes a request over: its answer comes on its channel. It must not be called once Retire was.
func (eng *Engine) Submit(c *Request) {
	c.mu.Lock()
	c.owner = eng
	c.mu.Unlock()
	eng.post(arrived{c})
}

// Reconfigure has the module decide by other settings from the next event on. Settings that New would refuse
// change nothing.
func (eng *Engine) Reconfigure(s balancer.Settings, pushed bool) { eng.post(reconfigure{s, pushed}) }

// Retire has Run return once every request that was taken is answered and its attempts have ended.
func (eng *Engine) Retire() { eng.post(retire{}) }

// Done is closed once Run has returned.
func (eng *Engine) Done() <-chan struct{} { return eng.done }

// Status tells what the engine holds now; nothing once Run has returned.
func (eng *Engine) Status() Status {
	return query(eng, func(to chan Status) event { return status{to} })
}

// query has the loop answer a question; the answer is empty once Run has returned.
func query[T any](eng *Engine, question func(to chan T) event) (answer T) {
	to := make(chan T, 1)
	eng.post(question(to))
	select {
	case answer = <-to:
	case <-eng.done:
	}
	return answer
}

// UpdateList brings news of the servers.
func (eng *Engine) UpdateList(news discovery.List) { eng.post(listNews{news}) }

// ListFailed says that a subscription failed.
func (eng *Engine) ListFailed() { eng.post(listFailed{}) }

// ShutdownAt says at which clock time AnswerAll will come. What has been sent to no server by then less the time that its
// class takes is refused, as early as that is known: begun later, it would be cut in the middle of its work.
func (eng *Engine) ShutdownAt(at time.Duration) { eng.post(closing{at}) }

// AnswerAll has whatever is unanswered answered now, and what still comes refused.
func (eng *Engine) AnswerAll() { eng.post(answerAll{}) }

// Ready says that a listed server may be sent to.
func (eng *Engine) Ready() bool { return eng.ready.Load() }

// RestoreList gives the list as it was last held, perhaps long ago. Only before Run.
func (eng *Engine) RestoreList(last discovery.List) { eng.updateList(last, true) }

// statsEvery is how often the log tells what happened, when anything did.
const statsEvery = 10 * time.Second

// Run handles events until ctx ends, or until all is over after Retire. What is out by then is called off.
func (eng *Engine) Run(ctx context.Context) {
	defer close(eng.done)
	defer func() {
		for _, p := range eng.pending {
			for _, a := range p.attempts {
				if a != nil {
					a.Cancel()
				}
			}
		}
	}()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	report := time.NewTicker(statsEvery)
	defer report.Stop()
	defer eng.report()
	for !eng.retiring || len(eng.pending) > 0 {
		eng.fireTimers()
		if len(eng.alarms) > 0 {
			timer.Reset(max(0, eng.clock.Until(eng.alarms[0].at)))
		}
		select {
		case e := <-eng.events:
			eng.handleEvent(e)
		case <-timer.C:
		case <-report.C:
			eng.report()
		case <-ctx.Done():
			return
		}
	}
}

// fireTimers handles the alarms that are due.
func (eng *Engine) fireTimers() {
	for len(eng.alarms) > 0 {
		now := eng.clock.Now()
		if eng.alarms[0].at > now {
			return
		}
		a := heap.Pop(&eng.alarms).(timer)
		eng.handle(now, balancer.Timer{Token: a.token})
	}
}

// handleEvent hands one event to the module, at the time when it happened rather than when the loop got to it.
func (eng *Engine) handleEvent(e event) {
	switch e := e.(type) {
	case arrived:
		eng.lag(e.request.At)
		eng.stats.Requests++
		eng.rejectLate()
		if eng.over || eng.retiring || eng.tooLate(e.request.Class) {
			eng.stats.Rejected++
			e.request.response <- Response{Kind: Rejected, RetryAfter: time.Second, Elsewhere: eng.closeAt > 0, NotRun: e.request.notRun()}
			return
		}
		if eng.pending[e.request.ID] != nil {
			// The module ignores a second request with an id that it knows, so nobody would answer.
			eng.stats.Requests--
			e.request.response <- Response{Kind: Duplicate}
			return
		}
		// Attempts that another node made have their numbers and no more here.
		eng.pending[e.request.ID] = &pending{request: e.request, attempts: make([]*Attempt, len(e.request.PriorAttempts)), ran: !e.request.notRun()}
		eng.tally.came(e.request.Class, false)
		eng.handle(e.request.At, balancer.Request{ID: e.request.ID, Class: e.request.Class, Deadline: e.request.Deadline,
			Partial: e.request.Message.Rest != nil, PriorAttempts: e.request.PriorAttempts})
	case clientDisconnected:
		eng.lag(e.at)
		if p := eng.pending[e.request.ID]; p != nil && p.request == e.request && !p.responded {
			eng.stats.Disconnected++
			p.close()
			eng.handle(e.at, balancer.ClientDisconnected{ID: e.request.ID})
			eng.forget(p)
		}
		e.request.discard()
	case uploaded:
		eng.lag(e.at)
		if p := eng.pending[e.attempt.Request.ID]; p != nil && p.request == e.attempt.Request {
			p.request.Deadline += e.at - p.request.At
			p.request.At = e.at
			eng.handle(e.at, balancer.Uploaded{ID: p.request.ID, Attempt: e.attempt.N, Deadline: p.request.Deadline})
		}
	case ended:
		eng.lag(e.outcome.At)
		eng.rejectLate()
		eng.end(e.attempt, e.outcome)
	case closing:
		eng.closeAt = e.at
		eng.rejectLate()
	case answerAll:
		eng.over = true
		for _, p := range eng.pending {
			eng.abandon(p)
		}
	case loadReport:
		now := eng.clock.Now()
		eng.handle(now, balancer.LoadUpdate{ID: e.id, Loads: []balancer.ServerLoad{{Server: e.server, Busy: e.busy, Age: now - e.asked}}})
	case listNews:
		eng.updateList(e.list, false)
	case listFailed:
		eng.handle(eng.clock.Now(), balancer.ListFailed{})
	case reconfigure:
		eng.pushed, eng.slowStartWindow = e.pushed, e.settings.SlowStartWindow
		eng.handle(eng.clock.Now(), balancer.Reconfigure{Settings: e.settings})
	case retire:
		eng.retiring = true
	case status:
		e.to <- eng.status()
	case statsQuery:
		e.to <- eng.collectStats()
	}
}

func (eng *Engine) status() Status {
	s := Status{Totals: eng.total, Open: len(eng.pending), Avoided: eng.balancer.Unavailable()}
	s.add(eng.stats)
	for _, t := range eng.listed {
		switch t.State {
		case balancer.Ready:
			s.Ready++
		case balancer.Draining:
			s.Draining++
		}
	}
	return s
}

// add counts what happened since the last report.
func (t *Totals) add(s stats) {
	t.Requests += int64(s.Requests)
	t.Served += int64(s.Served)
	t.Rejected += int64(s.Rejected)
	t.Failed += int64(s.Failed)
	t.Disconnected += int64(s.Disconnected)
	t.Sends += int64(s.Sends)
	t.Polls += int64(s.Polls)
}

// tooLate says that a request of a class would not be answered before the last call, as its answers come now.
func (eng *Engine) tooLate(class string) bool {
	return eng.closeAt > 0 && eng.clock.Now()+eng.balancer.ExpectedLatency(class) > eng.closeAt
}

// rejectLate refuses what waits for a server and would be sent too late to be answered, before the module sends it.
func (eng *Engine) rejectLate() {
	if eng.closeAt == 0 {
		return
	}
	for _, p := range eng.pending {
		if len(p.attempts) == 0 && eng.tooLate(p.request.Class) {
			eng.abandon(p)
		}
	}
}

// abandon answers a request that the node will not be there for, as its client leaving would end it.
func (eng *Engine) abandon(p *pending) {
	if p.responded {
		return
	}
	if len(p.attempts) == 0 {
		eng.finish(p.request.ID, Response{Kind: Rejected, RetryAfter: time.Second, Elsewhere: eng.closeAt > 0})
	} else {
		eng.finish(p.request.ID, Response{Kind: Failed})
	}
	eng.handle(eng.clock.Now(), balancer.ClientDisconnected{ID: p.request.ID})
}

// end passes on how an attempt ended. The first success is the client's answer.
func (eng *Engine) end(a *Attempt, r Outcome) {
	p := eng.pending[a.Request.ID]
	eng.stats.Results[r.Result]++
	p.inFlight--
	p.ran = p.ran || !r.Result.NeverRan()
	at, listed := eng.listed[a.To.Server]
	eng.tally.ended(at, a.To.Server, listed, r.Result, r.At-a.Sent)
	if r.Result == balancer.Success && !p.responded {
		eng.stats.Served++
		eng.answer(p, Response{Kind: Served, Reply: r.Reply})
	} else {
		r.Reply.Discard()
	}
	eng.handle(r.At, balancer.Outcome{ID: a.Request.ID, Attempt: a.N, Server: a.To.Server, Result: r.Result,
		Latency: r.At - a.Sent, Ended: p.responded, NotReplayable: r.Spent, Load: r.Load})
	eng.forget(p)
}

func (eng *Engine) answer(p *pending, a Response) {
	p.close()
	p.request.response <- a
}

// close notes that nobody waits for an answer any more. Attempts that have not begun by then never do, whatever the
// settings say of those that have.
func (p *pending) close() {
	p.responded = true
	for _, a := range p.attempts {
		if a != nil {
			a.CancelUnbegun()
		}
	}
}

// forget drops a request once nothing of it is left, as the module does.
func (eng *Engine) forget(p *pending) {
	if p.responded && p.inFlight == 0 {
		delete(eng.pending, p.request.ID)
	}
}

// updateList keeps where the servers listen, and passes the list on. A list that changes nothing, as after
// discovery has moved, is not passed on where lists are pushed: the module takes each list for a change
// and cuts its pool anew, so telling it of nothing would move requests and open connections for nothing.
func (eng *Engine) updateList(news discovery.List, cached bool) {
	news = eng.starts.Local(news, cached, eng.clock.Now(), eng.slowStartWindow)
	if !cached && eng.pushed && eng.isCurrent(news) {
		return
	}
	if news.Full {
		clear(eng.listed)
	}
	eng.rev = news.Rev
	e := balancer.ServerList{Full: news.Full, Cached: cached}
	for _, t := range news.Targets {
		e.Servers = append(e.Servers, t.Server)
		if t.State == balancer.Removed {
			delete(eng.listed, t.ID)
		} else {
			eng.listed[t.ID] = t
		}
	}
	eng.tally.keep(eng.listed)
	eng.backend.Servers(news.Targets, news.Full)
	eng.handle(eng.clock.Now(), e)
	eng.ready.Store(eng.listsReady())
}

// listsReady says that a listed server is in service. Mostly the first one is, so that a change of one among thousands
// does not look at all.
func (eng *Engine) listsReady() bool {
	for _, t := range eng.listed {
		if t.State == balancer.Ready {
			return true
		}
	}
	return false
}

// isCurrent says that a list tells nothing new.
func (eng *Engine) isCurrent(news discovery.List) bool {
	named := 0
	for _, t := range news.Targets {
		held, ok := eng.listed[t.ID]
		if ok && held != t || !ok && t.State != balancer.Removed {
			return false
		}
		if ok {
			named++
		}
	}
	return !news.Full || named == len(eng.listed)
}

// handle feeds the module and carries out what it decides.
func (eng *Engine) handle(at time.Duration, e balancer.Event) {
	eng.now = max(eng.now, at)
	for _, a := range eng.balancer.Handle(eng.now, e) {
		switch a := a.(type) {
		case balancer.Send:
			eng.send(a)
		case balancer.Poll:
			for _, s := range a.Servers {
				eng.poll(a.ID, eng.listed[s].Host(), a.Timeout)
			}
		case balancer.Cancel:
			if p := eng.pending[a.ID]; p != nil && a.Attempt < len(p.attempts) && p.attempts[a.Attempt] != nil {
				p.attempts[a.Attempt].Cancel()
			}
		case balancer.CloseIdle:
			eng.backend.CloseIdle(eng.listed[a.Server].Host())
		case balancer.Reject:
			eng.finish(a.ID, Response{Kind: Rejected, RetryAfter: a.RetryAfter})
		case balancer.Fail:
			eng.finish(a.ID, Response{Kind: Failed})
		case balancer.SetTimer:
			heap.Push(&eng.alarms, timer{a.At, a.Token})
		case balancer.Subscribe:
			eng.subscribe()
		}
	}
}

func (eng *Engine) send(s balancer.Send) {
	p := eng.pending[s.ID]
	a := NewAttempt(p.request, len(p.attempts), eng.listed[s.Server].Host(), eng.now, eng.now+s.Timeout)
	a.NotAfter = s.NotAfter
	a.Zone, a.Cell = eng.listed[s.Server].Zone, eng.listed[s.Server].Cell
	p.attempts = append(p.attempts, a)
	eng.tally.sent(a.To.Server)
	p.inFlight++
	eng.stats.Sends++
	go func() {
		r := eng.backend.Run(a)
		a.Cancel()
		if p.request.AttemptEnded != nil {
			p.request.AttemptEnded(a, &r)
		}
		eng.post(ended{a, r})
	}()
}

// poll has a server asked how much it holds.
func (eng *Engine) poll(id string, to discovery.Host, within time.Duration) {
	eng.stats.Polls++
	asked := eng.clock.Now()
	go func() {
		if busy, ok := eng.backend.Poll(to, within); ok {
			eng.post(loadReport{id, to.Server, busy, asked})
		}
	}()
}

func (eng *Engine) finish(id string, a Response) {
	p := eng.pending[id]
	if p == nil || p.responded {
		return
	}
	if a.Kind == Rejected {
		a.NotRun = !p.ran && p.inFlight == 0
		eng.stats.Rejected++
		eng.tally.came(p.request.Class, true)
	} else {
		eng.stats.Failed++
	}
	eng.answer(p, a)
	eng.forget(p)
}

// lag notes how long after an event the loop got to it.
func (eng *Engine) lag(at time.Duration) {
	d := -eng.clock.Until(at)
	eng.stats.LagMax = max(eng.stats.LagMax, d)
	eng.stats.LagSum += d
	eng.stats.Events++
}

// report logs what happened since the last report.
func (eng *Engine) report() {
	s := eng.stats
	eng.total.add(s)
	eng.stats = stats{}
	if s.Events == 0 {
		return
	}
	e := s.Results
	eng.log.With(eng.more()...).Info("traffic", "requests", s.Requests, "served", s.Served, "refused", s.Rejected,
		"failed", s.Failed, "gone", s.Disconnected, "sends", s.Sends, "asks", s.Polls, "success", e[balancer.Success],
		"failure", e[balancer.Failure], "overloaded", e[balancer.Overloaded],
		"timed_out", e[balancer.TimedOut], "unreachable", e[balancer.Unreachable],
		"broken", e[balancer.ConnectionLost], "withdrawn", e[balancer.Cancelled], "void", e[balancer.NotStarted],
		"pending", len(eng.pending), "lag_max", s.LagMax, "lag_mean", s.LagSum/time.Duration(s.Events))
}
