package quota

import (
	"math"
	"time"
)

// rates keeps moving averages of the rates of incoming requests and of granted tokens.
type rates struct {
	requests float64 // per second
	tokens   float64 // per second

	measuredAt    time.Duration // time of the last measurement
	requestsSince int           // requests since measuredAt
	tokensSince   int           // tokens since measuredAt
}

// measure adds the counts since the last measurement to the averages.
func (r *rates) measure(now time.Duration) {
	elapsed := now - r.measuredAt
	if elapsed <= rateInterval {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateDecay.Seconds())
	r.requests += weight * (float64(r.requestsSince)/elapsed.Seconds() - r.requests)
	r.tokens += weight * (float64(r.tokensSince)/elapsed.Seconds() - r.tokens)
	r.requestsSince = 0
	r.tokensSince = 0
	r.measuredAt = now
}
