package http1

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"damsontrestle/internal/downstream"
)

// clientListener accepts client connections within their share of file descriptors and wraps each in a clientConn.
type clientListener struct {
	net.Listener
	set            *downstream.Set
	totalReadAhead *atomic.Int64 // bytes read ahead by all connections of the front end
}

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.set.Accept(l.Listener)
	if err != nil {
		return nil, err
	}
	return newClientConn(c, l.set, l.totalReadAhead), nil
}

// Close does nothing: net/http closes the listeners that it served, but the caller of Serve owns this one.
func (clientListener) Close() error { return nil }

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn stores a connection in the context of its requests, for connOf.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns the connection of the request with this context.
func connOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connKey{}).(*clientConn)
	return c
}

// trackConnState passes the connection states that net/http reports to the set of client connections.
func (f *Front) trackConnState(nc net.Conn, state http.ConnState) {
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
