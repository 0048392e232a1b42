package forward

import (
	"context"
	"net"
	"net/http"

	"chervilloom/internal/upstream"
)

type clientKey struct{}

// WithClient lets requests know the connection that they came on. It is a server's
// ConnContext.
func WithClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, c)
}

// clientLeft reports whether the client has closed its connection.
func clientLeft(r *http.Request) bool {
	c, ok := r.Context().Value(clientKey{}).(net.Conn)
	return ok && upstream.PeerLeft(c)
}
