package virtual

import (
	"time"

	"damsontrestle/internal/balancer"
)

// Told is an exchange of counts between nodes: each is told how many requests the others have at each server, as things stood
// Age ago. The zero value is none.
type LoadExchange struct {
	Age      time.Duration
	CutShare float64 // share of the links from node to node over which nothing comes
}

// links draws which nodes hear which.
func (p *player) drawLinks() (connected [][]bool) {
	for range p.nodes {
		row := make([]bool, len(p.nodes))
		for j := range row {
			row[j] = p.rng.Float64() >= p.exchangeSettings.CutShare
		}
		connected = append(connected, row)
	}
	return connected
}

// exchange tells nodes of one another's counts, from now on, as often as they are old: a word of each server at a time, for
// all that it holds.
func (p *player) exchange(connected [][]bool) {
	counts := make([][]float64, len(p.nodes))
	for j, n := range p.nodes {
		counts[j] = make([]float64, len(p.state))
		for _, req := range n.requests {
			for _, att := range req.attempts {
				if !att.ended {
					counts[j][att.place]++
				}
			}
		}
	}
	p.at(p.now+p.exchangeSettings.Age, func() {
		for i, n := range p.nodes {
			if n.balancer == nil {
				continue
			}
			update := balancer.LoadUpdate{}
			for place, s := range p.fleet.Servers {
				busy := 0.0
				for j := range p.nodes {
					if i == j || connected[i][j] {
						busy += counts[j][place]
					}
				}
				update.Loads = append(update.Loads, balancer.ServerLoad{Server: s.ID, Busy: busy, Age: p.exchangeSettings.Age})
			}
			p.handle(n, update)
		}
	})
	p.at(p.now+p.exchangeSettings.Age, func() { p.exchange(connected) })
}
