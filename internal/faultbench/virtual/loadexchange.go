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
func (p *player) drawLinks() (hears [][]bool) {
	for range p.nodes {
		row := make([]bool, len(p.nodes))
		for j := range row {
			row[j] = p.rng.Float64() >= p.exchangeSettings.CutShare
		}
		hears = append(hears, row)
	}
	return hears
}

// exchange tells nodes of one another's counts, from now on, as often as they are old: a word of each server at a time, for
// all that it holds.
func (p *player) exchange(hears [][]bool) {
	counts := make([][]float64, len(p.nodes))
	for j, n := range p.nodes {
		counts[j] = make([]float64, len(p.state))
		for _, k := range n.requests {
			for _, t := range k.attempts {
				if !t.ended {
					counts[j][t.place]++
				}
			}
		}
	}
	p.at(p.now+p.exchangeSettings.Age, func() {
		for i, n := range p.nodes {
			if n.balancer == nil {
				continue
			}
			known := balancer.LoadUpdate{}
			for place, s := range p.fleet.Servers {
				busy := 0.0
				for j := range p.nodes {
					if i == j || hears[i][j] {
						busy += counts[j][place]
					}
				}
				known.Loads = append(known.Loads, balancer.ServerLoad{Server: s.ID, Busy: busy, Age: p.exchangeSettings.Age})
			}
			p.handle(n, known)
		}
	})
	p.at(p.now+p.exchangeSettings.Age, func() { p.exchange(hears) })
}
