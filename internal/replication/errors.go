package replication

import (
	"errors"
	"fmt"
)

// Errors of Execute and Await.
var (
	// ErrNoQuorum says that no quorum of the request's replicas is reachable: nothing was recorded anywhere.
	ErrNoQuorum = errors.New("replication: no quorum of replicas is reachable")
	// ErrDuplicate says that the request was taken before, or was taken over: Await returns its outcome.
	ErrDuplicate = errors.New("replication: the request was taken before")
	// ErrNoCapacity says that the replicas have no capacity for the request: no attempt of it was begun.
	ErrNoCapacity = errors.New("replication: the replicas have no capacity")
	// ErrUnknown says that no replica holds such a request.
	ErrUnknown = errors.New("replication: no replica knows the request")
	// ErrOutcomeLost says that the replicas of the request have restarted since: its outcome is lost.
	ErrOutcomeLost = errors.New("replication: the replicas no longer have the request's outcome")
	// ErrUndecided says that the request is under way, or that no quorum of its replicas is reachable to tell its outcome.
	ErrUndecided = errors.New("replication: the request is not decided")
	// ErrKeyUnchecked says that no quorum could be asked whether the request's key was taken before: nothing was recorded anywhere.
	ErrKeyUnchecked = fmt.Errorf("replication: no quorum on whether the key was taken before: %w", ErrUndecided)
)
