package replication

import "slices"

// groupReply is the reply of one gateway of the group to a query for a request.
type groupReply struct {
	from  string
	reply *replicaReply // nil: it did not reply
}

// tally evaluates the replies of the gateways to a query for one request.
type tally struct {
	replicas      []Gateway    // current replicas of the key
	unknown       int          // number of those replicas that hold nothing for the key
	votes         map[vote]int // number of replicas that have accepted each outcome
	undecided     bool         // a gateway holds the request, undecided
	recoveredOnly bool         // a gateway has restarted since, and has recovered only the key
	missingReply  bool         // a gateway did not reply
	generation    uint32       // of the latest request of the key
}

// vote identifies an accepted outcome by the ballot that proposed it and the generation of its request.
type vote struct {
	ballot     Ballot
	generation uint32
}

// newTally returns an empty tally for a request with the given current replicas.
func newTally(replicas []Gateway) *tally {
	return &tally{replicas: replicas, votes: map[vote]int{}}
}

// add counts one reply. It returns the entry whose outcome is decided by this reply, or nil.
func (t *tally) add(reply groupReply) *Entry {
	if reply.reply == nil {
		t.missingReply = true
		return nil
	}
	entry := reply.reply.Entry
	if entry == nil {
		if slices.ContainsFunc(t.replicas, func(g Gateway) bool { return g.Name == reply.from }) {
			t.unknown++
		}
		return nil
	}
	if entry.Decided {
		return entry
	}
	t.generation = max(t.generation, entry.Record.Generation)
	if entry.Recovered {
		t.recoveredOnly = true
		return nil
	}
	t.undecided = true
	if entry.Outcome == nil {
		return nil
	}
	v := vote{entry.AcceptedBy, entry.Record.Generation}
	t.votes[v]++
	if t.votes[v] < Majority(len(entry.Record.Replicas)) {
		return nil
	}
	return entry
}

// isUnknown reports whether a majority of the replicas hold nothing for the request.
func (t *tally) isUnknown() bool { return t.unknown >= Majority(len(t.replicas)) }

// err returns the error for the replies if they decide no outcome.
func (t *tally) err() error {
	switch {
	case t.undecided:
		return ErrUndecided
	case t.recoveredOnly && !t.missingReply:
		return ErrOutcomeLost
	case !t.recoveredOnly && (len(t.replicas) == 0 || t.isUnknown()):
		return ErrUnknown
	case !t.recoveredOnly:
		return ErrKeyUnchecked
	}
	return ErrUndecided
}
