package http1

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"damsontrestle/internal/downstream"
)

// clientListener accepts clients within their share of descriptors, each as a clientConn.
type clientListener struct {
	net.Listener
	set        *downstream.Set
	totalAhead *atomic.Int64 // bytes that all connections of the front end have read ahead
}

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.set.Accept(l.Listener)
	if err != nil {
		return nil, err
	}
	return newClientConn(c, l.set, l.totalAhead), nil
}

// Close leaves the listener to whoever opened it: net/http closes what it has accepted from.
func (clientListener) Close() error { return nil }

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn puts a connection into the contexts of its requests, for connOf.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns the connection of a request by its context.
func connOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connKey{}).(*clientConn)
	return c
}

// track follows the states that net/http gives a connection.
func (f *Front) track(nc net.Conn, state http.ConnState) {
	c := nc.(*clientConn)
	switch state {
	case http.StateNew:
		f.clients.Add(c, f)
	case http.StateActive:
		f.clients.SetPhase(c, downstream.PhaseReading)
	case http.StateIdle:
		f.clients.SetPhase(c, downstream.PhaseIdle)
	default:
		f.clients.Remove(c)
	}
}
