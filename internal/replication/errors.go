package replication

import (
	"errors"
	"fmt"
)

// Errors of Take and Await.
var (
	// ErrAlone says that too few replicas are to be reached: nothing was recorded anywhere.
	ErrAlone = errors.New("replication: no quorum of replicas is reachable")
	// ErrDuplicate says that the request has been taken before: Await brings its answer.
	ErrDuplicate = errors.New("replication: the request was taken before")
	// ErrFull says that its replicas have no room for the request: nothing of it was begun.
	ErrFull = errors.New("replication: the replicas have no capacity")
	// ErrUnknown says that nobody holds such a request.
	ErrUnknown = errors.New("replication: no replica knows the request")
	// ErrForgotten says that whoever held the request has started anew since: nobody can tell what became of it.
	ErrForgotten = errors.New("replication: the replicas no longer have the request's outcome")
	// ErrUndecided says that the request is under way, or that too few of its replicas are to be reached to tell what became of it.
	ErrUndecided = errors.New("replication: the request is not decided")
	// ErrNoAnswer says that too few could be asked whether the request's key was taken before: nothing was recorded anywhere.
	ErrNoAnswer = fmt.Errorf("replication: no quorum on whether the key was taken before: %w", ErrUndecided)
)
