package world

import (
	"fmt"
	"math/rand/v2"
	"time"

	"damsontrestle/internal/faultbench/experiment"
)

// Request is one request of a client.
type Request struct {
	ID    string
	Node  int
	Class int
	At    time.Duration
	Try   int // 0 for the first; each client retry is a separate request with a new id
}

// Streams generates the requests that arrive at each node: open-loop Poisson streams, which depend on the seed only and not
// on the outcome of requests.
type Streams struct {
	e     *experiment.Experiment
	rates []float64
	rngs  []*rand.Rand
	next  []time.Duration
	count []int
	tag   string
}

// NewStreams returns the streams of an experiment. The tag is a prefix that distinguishes the request ids of runs.
func NewStreams(e *experiment.Experiment, tag string) *Streams {
	s := &Streams{e: e, rates: e.NodeRates(), tag: tag}
	for i, rate := range s.rates {
		rng := rand.New(rand.NewPCG(e.Seed, uint64(i)+1))
		s.rngs = append(s.rngs, rng)
		s.next = append(s.next, time.Duration(rng.ExpFloat64()/rate*float64(time.Second)))
		s.count = append(s.count, 0)
	}
	return s
}

// Next returns the next request to a node, or false at the end of the experiment.
func (s *Streams) Next(node int) (Request, bool) {
	at := s.next[node]
	if at >= s.e.TotalDuration() {
		return Request{}, false
	}
	rng := s.rngs[node]
	var shares float64
	for _, c := range s.e.Classes {
		shares += c.Share
	}
	class, x := 0, rng.Float64()*shares
	for i, c := range s.e.Classes {
		if x -= c.Share; x < 0 {
			class = i
			break
		}
	}
	s.count[node]++
	s.next[node] += time.Duration(rng.ExpFloat64() / s.rates[node] * float64(time.Second))
	return Request{ID: fmt.Sprintf("%s%d.%d", s.tag, node, s.count[node]), Node: node, Class: class, At: at}, true
}
