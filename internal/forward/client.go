package forward

import (
	"context"
	"net"
	"net/http"

	"chervilloom/internal/upstream"
)

type clientConnKey struct{}

// WithClientConn stores a client's connection in the context of its requests. Use it as
// http.Server's ConnContext.
func WithClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// ClientConn returns the connection of a request's client, nil if it isn't known.
func ClientConn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(clientConnKey{}).(net.Conn)
	return c
}

// isClientGone reports whether the client has closed its connection.
func isClientGone(r *http.Request) bool {
	c, ok := r.Context().Value(clientConnKey{}).(net.Conn)
	return ok && upstream.IsPeerClosed(c)
}

// beginUnframed prepares a response that ends with the client's connection, which a client of HTTP/1.0
// gets if the length isn't known: unless it is completed, the connection is reset, also if this
// process ends.
func (x *exchange) beginUnframed() {
	x.isUnframed = !x.clientRequest.ProtoAtLeast(1, 1)
	x.setClientReset(true)
}

// completeUnframed ends such a response properly once the client's connection has all of it.
func (x *exchange) completeUnframed() {
	if !x.isUnframed {
		return
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		x.f.Log.Debug("response not flushed", "request", loggedID(x.req.ID), "err", err)
		return
	}
	x.setClientReset(false)
}

func (x *exchange) setClientReset(reset bool) {
	c, ok := x.clientRequest.Context().Value(clientConnKey{}).(net.Conn)
	if !x.isUnframed || !ok {
		return
	}
	if err := upstream.SetReset(c, reset); err != nil {
		x.f.Log.Debug("the way to close a client's connection can't be set", "request", loggedID(x.req.ID), "err", err)
	}
}
