package virtual

import (
	"time"

	"damsontrestle/internal/balancer"
)

// LoadExchange configures an exchange of request counts between nodes: each node receives the number of requests that the
// others have at each server, as of Age ago. The zero value disables it.
type LoadExchange struct {
	Age      time.Duration
	CutShare float64 // fraction of the links between nodes that deliver nothing
}

// drawLinks selects at random which nodes receive the counts of which others.
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

// exchange sends nodes one another's counts at intervals of Age. Each update carries one value per server, the sum over all
// connected nodes.
func (p *player) exchange(connected [][]bool) {
	counts := make([][]float64, len(p.nodes))
	for j, n := range p.nodes {
		counts[j] = make([]float64, len(p.serverStates))
		for _, req := range n.requests {
			for _, att := range req.attempts {
				if !att.ended {
					counts[j][att.serverIndex]++
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
			for index, s := range p.fleet.Servers {
				busy := 0.0
				for j := range p.nodes {
					if i == j || connected[i][j] {
						busy += counts[j][index]
					}
				}
				update.Loads = append(update.Loads, balancer.ServerLoad{Server: s.ID, Busy: busy, Age: p.exchangeSettings.Age})
			}
			p.handle(n, update)
		}
	})
	p.at(p.now+p.exchangeSettings.Age, func() { p.exchange(connected) })
}
