// Package world models the environment of the fault bench's nodes: servers with slots, a queue and a slow start, and streams
// of requests. It does no I/O and has no clock: the caller, on sockets or in virtual time, passes the current time.
package world

import (
	"math/rand/v2"
	"time"

	"damsontrestle/internal/faultbench/experiment"
)

// Job is a request at a server, from its arrival until it is finished or removed from the queue.
type Job struct {
	ID        string
	StartedAt time.Duration // start of service; negative: not started
	EndsAt    time.Duration // end of service
	Abandoned bool          // its client gave up; service that has started continues to the end

	queued bool
}

// ArrivalResult is how a server handles an arriving request.
type ArrivalResult int

// Arrival results.
const (
	Started ArrivalResult = iota
	Queued
	Rejected // the queue is full; it never runs
	Failed   // an error is returned immediately
	Hung     // accepted, but no reply is ever sent
)

// Slow start rule: the work that arrives at a server in slow start within a span must not exceed a multiple of the work that
// it can do in that span.
const (
	SlowStartSpan     = time.Second
	SlowStartMultiple = 3
	slowStartSlack    = 4 // additional requests allowed for random variation
)

// Server is one incarnation of a server with slots and a queue. It is not safe for concurrent use.
type Server struct {
	Spec        experiment.Servers
	ID          string
	Zone        string
	SlowStartAt time.Duration // start of slow start; negative: long past

	Fault  experiment.Kind // Hang, Errors or empty
	Factor float64         // multiplies service times; set by the Slowdown fault

	rng                *rand.Rand
	work               int
	queue              []*Job
	recent             []arrival // arrivals within the span, during slow start
	slowStartOverloads int
	slowStartLoad      float64
	Ran                int // requests whose service started
	Rejected           int
}

type arrival struct {
	at   time.Duration
	work time.Duration
}

// NewServer returns an idle server.
func NewServer(spec experiment.Servers, id, zone string, born time.Duration, seed uint64) *Server {
	return &Server{Spec: spec, ID: id, Zone: zone, SlowStartAt: born, Factor: 1, rng: rand.New(rand.NewPCG(seed, 0x5e47e4))}
}

// Speed returns the fraction of full speed that the server has reached in slow start.
func (s *Server) Speed(now time.Duration) float64 {
	if s.SlowStartAt < 0 || s.Spec.SlowStartWindow == 0 || now >= s.SlowStartAt+s.Spec.SlowStartWindow {
		return 1
	}
	return s.Spec.SlowStartMinimum + (1-s.Spec.SlowStartMinimum)*float64(now-s.SlowStartAt)/float64(s.Spec.SlowStartWindow)
}

// Arrive handles an arriving request. If it returns Started, the caller must call Finish at j.EndsAt.
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
	service := s.Spec.ServiceDistribution.Sample(s.rng, s.Spec.Service)
	j.queued, j.StartedAt = false, now
	j.EndsAt = now + time.Duration(float64(service)*s.Factor/s.Speed(now))
}

// Finish ends the service of a started job. It returns the queued job that starts next, if any.
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

// Abandon marks a request whose client gave up. A queued request is removed and never runs; started service continues.
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

// Working returns the number of requests in service.
func (s *Server) Working() int { return s.work }

// Waiting returns the number of queued requests.
func (s *Server) Waiting() int { return len(s.queue) }

// recordArrival checks arrivals against the slow start rule. It counts all requests, rejected ones included.
func (s *Server) recordArrival(now time.Duration) {
	if s.Speed(now) == 1 {
		s.recent = nil
		return
	}
	for len(s.recent) > 0 && s.recent[0].at <= now-SlowStartSpan {
		s.recent = s.recent[1:]
	}
	s.recent = append(s.recent, arrival{now, s.Spec.Service})
	var arrived time.Duration
	for _, a := range s.recent {
		arrived += a.work
	}
	allowed := float64(s.Spec.Slots)*s.Speed(now)*float64(SlowStartSpan)*SlowStartMultiple + slowStartSlack*float64(s.Spec.Service)
	s.slowStartLoad = max(s.slowStartLoad, float64(arrived)/allowed)
	if float64(arrived) > allowed {
		s.slowStartOverloads++
		s.recent = nil
	}
}

// SlowStartLoad returns the maximum work that arrived within a span during slow start, relative to what the rule allows.
func (s *Server) SlowStartLoad() float64 { return s.slowStartLoad }

// SlowStartOverloads returns how many spans exceeded the work that the slow start rule allows.
func (s *Server) SlowStartOverloads() int { return s.slowStartOverloads }
