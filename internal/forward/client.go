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

// isClientGone reports whether the client has closed its connection.
func isClientGone(r *http.Request) bool {
	c, ok := r.Context().Value(clientConnKey{}).(net.Conn)
	return ok && upstream.IsPeerClosed(c)
}
