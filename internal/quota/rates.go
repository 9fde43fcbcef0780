package quota

import (
	"math"
	"time"
)

// rates measure how many requests come and how many tokens are granted, each a second, as moving averages.
type rates struct {
	requests float64 // a second
	tokens   float64 // a second

	measuredAt    time.Duration // until when both were measured
	requestsSince int           // then
	tokensSince   int           // then
}

// measure takes what was counted since the last measure into the averages.
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
