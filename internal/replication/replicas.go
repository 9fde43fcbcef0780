package replication

import (
	"cmp"
	"slices"

	"damsontrestle/internal/splitmix"
)

// Majority is how many of n replicas make a quorum: any two majorities have a replica in common.
func Majority(n int) int { return n/2 + 1 }

// ChooseReplicas returns the replicas of a key's requests: the first of the group by a hash of key and name, of as many zones as
// there are, at most so many and an odd number of them, the owner perhaps among them. Whoever sees the same group chooses the same
// replicas. In a group of two the gateway other than self is the only replica; alone there is none.
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
	order := rankByHash(key, group)
	var chosen []Gateway
	inZone := map[string]int{}
	for perZone := 1; len(chosen) < replicas; perZone++ { // one of each zone first, then two
		for _, g := range order {
			if len(chosen) == replicas {
				break
			}
			if inZone[g.Zone] >= perZone || slices.ContainsFunc(chosen, g.sameName) {
				continue
			}
			inZone[g.Zone]++
			chosen = append(chosen, g)
		}
	}
	return chosen
}

// rankByHash orders a group for a key (rendezvous hashing): a gateway that comes or goes moves only the keys that it has.
func rankByHash(key Key, group []Gateway) []Gateway {
	order := slices.Clone(group)
	slices.SortFunc(order, func(a, b Gateway) int {
		hashA := splitmix.Hash(key.Class, key.ID, a.Name)
		hashB := splitmix.Hash(key.Class, key.ID, b.Name)
		return cmp.Or(cmp.Compare(hashB, hashA), cmp.Compare(a.Name, b.Name))
	})
	return order
}
