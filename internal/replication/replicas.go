package replication

import (
	"cmp"
	"slices"

	"damsontrestle/internal/splitmix"
)

// Majority is how many of n replicas are needed.
func Majority(n int) int { return n/2 + 1 }

// ChooseReplicas are who holds the requests of a key: the first of the group by a hash of key and name, of as many zones as there are,
// and an odd number of them, the owner perhaps among them. Whoever sees the same group sees the same replicas. In a group of
// two the other one votes alone; alone nobody does.
func ChooseReplicas(key Key, self string, group []Gateway, replicas int) []Gateway {
	switch len(group) {
	case 0, 1:
		return nil
	case 2:
		return slices.DeleteFunc(slices.Clone(group), func(g Gateway) bool { return g.Name == self })
	}
	replicas = min(replicas, len(group))
	if replicas%2 == 0 {
		replicas--
	}
	order := slices.Clone(group)
	slices.SortFunc(order, func(a, b Gateway) int {
		return cmp.Or(cmp.Compare(splitmix.Of(key.Class, key.ID, b.Name), splitmix.Of(key.Class, key.ID, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	var chosen []Gateway
	zones := map[string]int{}
	for perZone := 1; len(chosen) < replicas; perZone++ { // one of each zone first, then two
		for _, g := range order {
			if len(chosen) < replicas && zones[g.Zone] < perZone && !slices.ContainsFunc(chosen, func(o Gateway) bool { return o.Name == g.Name }) {
				zones[g.Zone]++
				chosen = append(chosen, g)
			}
		}
	}
	return chosen
}
