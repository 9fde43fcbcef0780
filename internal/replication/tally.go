package replication

import "slices"

// groupReply is what a gateway of the group says that it holds of a request.
type groupReply struct {
	from  string
	reply *replicaReply // nil: it has not answered
}

// tally is what gateways have said of a request so far.
type tally struct {
	replicas   []Gateway    // who would be its replicas now
	unknown    int          // of them who hold nothing of it
	votes      map[vote]int // for outcomes
	undecided  bool         // somebody holds it, undecided
	forgotten  bool         // somebody started anew since, and was told of it
	silent     bool         // somebody has not answered
	generation uint32       // of the latest request of its key
}

// vote is for the outcome that a ballot brought.
type vote struct {
	ballot     Ballot
	generation uint32
}

func newTally(replicas []Gateway) *tally { return &tally{replicas: replicas, votes: map[vote]int{}} }

// take counts what one gateway says. It returns the entry whose outcome stands by that, if one does.
func (t *tally) add(reply groupReply) *Entry {
	if reply.reply == nil {
		t.silent = true
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
		t.forgotten = true
		return nil
	}
	t.undecided = true
	if entry.Outcome == nil {
		return nil
	}
	v := vote{entry.AcceptedBy, entry.Record.Generation}
	if t.votes[v]++; t.votes[v] >= Majority(len(entry.Record.Replicas)) {
		return entry
	}
	return nil
}

// isUnknown says that a majority of the replicas holds nothing of the request.
func (t *tally) isUnknown() bool { return t.unknown >= Majority(len(t.replicas)) }

// err is what the answers come to where none brought an outcome.
func (t *tally) err() error {
	switch {
	case t.undecided:
		return ErrUndecided
	case t.forgotten && !t.silent:
		return ErrForgotten
	case !t.forgotten && (len(t.replicas) == 0 || t.isUnknown()):
		return ErrUnknown
	case !t.forgotten:
		return ErrNoAnswer
	}
	return ErrUndecided
}
