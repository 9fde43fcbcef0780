// Package world models what the fault bench's nodes meet: servers with slots, a queue and a slow start, and streams of requests.
// It does no I/O and has no clock: whoever plays it, on sockets or on virtual time, says when things happen.
package world

import (
	"math/rand/v2"
	"time"

	"damsontrestle/internal/faultbench/experiment"
)

// Job is a request at a server, from its arrival until its work is over or it is taken back.
type Job struct {
	ID        string
	StartedAt time.Duration // of its work; negative: it waits
	EndsAt    time.Duration // of its work
	Abandoned bool          // nobody waits for it: it left while in work, which goes on to the end

	queued bool
}

// Verdict is what a server does with a request that arrives.
type ArrivalResult int

// Verdicts.
const (
	Started ArrivalResult = iota
	Queued
	Rejected // for want of room; it never runs
	Failed   // answered with an error at once
	Hung     // taken, and never answered
)

// Cold-start rule: what comes to a server in slow start within a span stays under a multiple of what it could do by then.
const (
	SlowStartSpan     = time.Second
	SlowStartMultiple = 3
	slowStartSlack    = 4 // requests above that are chance
)

// Server is one incarnation of a server: a machine of slots and a queue. It belongs to one goroutine or one lock.
type Server struct {
	Spec        experiment.Servers
	ID          string
	Zone        string
	SlowStartAt time.Duration // when it started cold; negative: long ago

	Fault  experiment.Kind // Hang, Errors or none
	Factor float64         // of its times of work, by drag

	rng                *rand.Rand
	work               int
	queue              []*Job
	recent             []arrival // to a server in slow start, within the span
	slowStartOverloads int
	slowStartLoad      float64
	Ran                int // requests whose work began
	Rejected           int
}

type arrival struct {
	at   time.Duration
	work time.Duration
}

// NewServer returns a server that has nothing to do.
func NewServer(spec experiment.Servers, id, zone string, born time.Duration, seed uint64) *Server {
	return &Server{Spec: spec, ID: id, Zone: zone, SlowStartAt: born, Factor: 1, rng: rand.New(rand.NewPCG(seed, 0x5e47e4))}
}

// Speed is the share of its full speed that it has, as it warms up.
func (s *Server) Speed(now time.Duration) float64 {
	if s.SlowStartAt < 0 || s.Spec.SlowStartWindow == 0 || now >= s.SlowStartAt+s.Spec.SlowStartWindow {
		return 1
	}
	return s.Spec.SlowStartMinimum + (1-s.Spec.SlowStartMinimum)*float64(now-s.SlowStartAt)/float64(s.Spec.SlowStartWindow)
}

// Arrive takes a request. After Started its work ends at job.Ends, when Finish is due.
func (s *Server) Arrive(now time.Duration, j *Job) ArrivalResult {
	j.StartedAt = -1
	s.recordArrival(now)
	switch {
	case s.Fault == experiment.Errors:
		return Failed
	case s.Fault == experiment.Hang:
		return Hung
	case s.work < s.Spec.Slots:
		s.begin(now, j)
		return Started
	case len(s.queue) < s.Spec.Queue:
		j.queued = true
		s.queue = append(s.queue, j)
		return Queued
	}
	s.Rejected++
	return Rejected
}

func (s *Server) begin(now time.Duration, j *Job) {
	s.work++
	s.Ran++
	took := s.Spec.ServiceDistribution.Sample(s.rng, s.Spec.Service)
	j.queued, j.StartedAt = false, now
	j.EndsAt = now + time.Duration(float64(took)*s.Factor/s.Speed(now))
}

// Finish ends the work of a job that Arrive, Finish or Leave has started. It returns the next one whose work begins.
func (s *Server) Finish(now time.Duration, j *Job) *Job {
	s.work--
	return s.next(now)
}

func (s *Server) next(now time.Duration) *Job {
	if len(s.queue) == 0 || s.work >= s.Spec.Slots {
		return nil
	}
	j := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	s.begin(now, j)
	return j
}

// Leave takes back a request that nobody waits for any more. One that waits never runs; work that has begun goes on.
func (s *Server) Abandon(j *Job) {
	j.Abandoned = true
	if !j.queued {
		return
	}
	for i, q := range s.queue {
		if q == j {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			j.queued = false
			return
		}
	}
}

// Working and Waiting are its requests.
func (s *Server) Working() int { return s.work }

// Waiting is how many requests are in its queue.
func (s *Server) Waiting() int { return len(s.queue) }

// press counts what comes to a server in slow start, all of it, whether it is taken or not.
func (s *Server) recordArrival(now time.Duration) {
	if s.Speed(now) == 1 {
		s.recent = nil
		return
	}
	for len(s.recent) > 0 && s.recent[0].at <= now-SlowStartSpan {
		s.recent = s.recent[1:]
	}
	s.recent = append(s.recent, arrival{now, s.Spec.Service})
	var sent time.Duration
	for _, a := range s.recent {
		sent += a.work
	}
	can := float64(s.Spec.Slots)*s.Speed(now)*float64(SlowStartSpan)*SlowStartMultiple + slowStartSlack*float64(s.Spec.Service)
	s.slowStartLoad = max(s.slowStartLoad, float64(sent)/can)
	if float64(sent) > can {
		s.slowStartOverloads++
		s.recent = nil
	}
}

// Pressed is the most that came to it within a span while it was cold, of what the rule allows.
func (s *Server) SlowStartLoad() float64 { return s.slowStartLoad }

// PushedOver counts the spans in which more came to it while it was cold than the rule allows.
func (s *Server) SlowStartOverloads() int { return s.slowStartOverloads }
