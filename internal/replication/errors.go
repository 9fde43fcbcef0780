package replication

import (
	"errors"
	"fmt"
)

// Errors of Execute and Await.
var (
	// ErrNoQuorum reports that no quorum of the request's replicas is reachable. Nothing was recorded.
	ErrNoQuorum = errors.New("replication: no quorum of replicas is reachable")
	// ErrDuplicate reports that the request was submitted before or was taken over. Await returns its outcome.
	ErrDuplicate = errors.New("replication: the request was taken before")
	// ErrNoCapacity reports that the replicas have no capacity for the request. No attempt was begun.
	ErrNoCapacity = errors.New("replication: the replicas have no capacity")
	// ErrUnknown reports that no replica holds the request.
	ErrUnknown = errors.New("replication: no replica knows the request")
	// ErrOutcomeLost reports that the replicas of the request have restarted since and its outcome is lost.
	ErrOutcomeLost = errors.New("replication: the replicas no longer have the request's outcome")
	// ErrUndecided reports that the request is in progress, or that no quorum of its replicas is reachable to determine its
	// outcome.
	ErrUndecided = errors.New("replication: the request is not decided")
	// ErrKeyUnchecked reports that no quorum replied on whether the key was used before. Nothing was recorded.
	ErrKeyUnchecked = fmt.Errorf("replication: no quorum on whether the key was taken before: %w", ErrUndecided)
)
