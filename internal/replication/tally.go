package replication

import "slices"

// groupReply is the reply of one gateway of the group to a query for a request.
type groupReply struct {
	from  string
	reply *replicaReply // nil: it has not answered
}

// tally counts what gateways have replied to a query for one request.
type tally struct {
	replicas      []Gateway    // that the request would have now
	unknown       int          // of those replicas, that hold nothing of it
	votes         map[vote]int // replicas that have accepted an outcome
	undecided     bool         // a gateway holds it, undecided
	recoveredOnly bool         // a gateway restarted since, and has only recovered its key
	missingReply  bool         // a gateway has not replied
	generation    uint32       // of the latest request of its key
}

// vote is for the outcome that was proposed by a ballot.
type vote struct {
	ballot     Ballot
	generation uint32
}

// newTally counts replies to a query for a request that would have these replicas now.
func newTally(replicas []Gateway) *tally {
	return &tally{replicas: replicas, votes: map[vote]int{}}
}

// add counts one reply. It returns the entry whose outcome is decided by that, if one is.
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

// isUnknown says that a majority of the replicas holds nothing of the request.
func (t *tally) isUnknown() bool { return t.unknown >= Majority(len(t.replicas)) }

// err is what the replies come to where none of them decided an outcome.
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
