package replication

import (
	"cmp"
	"slices"

	"damsontrestle/internal/splitmix"
)

// Majority returns the size of a quorum of n replicas. Any two majorities have a replica in common.
func Majority(n int) int { return n/2 + 1 }

// ChooseReplicas returns the replicas of the requests of a key: the gateways of the group that rank first by a hash of key and
// name, spread over as many zones as possible. Their number is odd and at most replicas; the owner may be among them. Gateways
// with the same view of the group choose the same replicas. In a group of two the gateway other than self is the only replica; in
// a group of one there is none.
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
	for perZone := 1; len(chosen) < replicas; perZone++ { // first one per zone, then two
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

// rankByHash orders a group for a key by rendezvous hashing: a gateway that joins or leaves moves only its own keys.
func rankByHash(key Key, group []Gateway) []Gateway {
	order := slices.Clone(group)
	slices.SortFunc(order, func(a, b Gateway) int {
		hashA := splitmix.Hash(key.Class, key.ID, a.Name)
		hashB := splitmix.Hash(key.Class, key.ID, b.Name)
		return cmp.Or(cmp.Compare(hashB, hashA), cmp.Compare(a.Name, b.Name))
	})
	return order
}
