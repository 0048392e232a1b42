package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"chervilloom/internal/upstream"
)

// Errors of Dial.
var (
	// ErrPeerUnfit means that the other node could not try: choose another one. It includes no error of
	// the connection to that node, which would be taken for the endpoint's.
	ErrPeerUnfit = errors.New("tunnel: the node can't pass connections on; try another node")
	// ErrNoLink means that the other node has lost its link to this endpoint, or doesn't know it,
	// but may reach others.
	ErrNoLink = errors.New("tunnel: the node has no link to the endpoint; try another node")
	// ErrEndpointDown means that the other node, which has links to endpoints, could not
	// connect to this one.
	ErrEndpointDown = errors.New("tunnel: another node can't connect to the endpoint either")
)

// Dial opens a connection to the endpoint at addr through the node at peer, both ip:port. It fails
// with ErrPeerUnfit, ErrNoLink or ErrEndpointDown; the last includes ECONNREFUSED if the endpoint
// refuses connections. Reads from the connection fail with upstream.ErrPeerGone if the other node
// ends it, unless that node's program knows no frames.
func Dial(ctx context.Context, peer, addr string) (net.Conn, error) {
	conn, err := upstream.DialTCP(ctx, peer)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrPeerUnfit, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	isFramed, err := connect(conn, addr)
	if !stop() && err == nil {
		err = fmt.Errorf("%w: %v", ErrPeerUnfit, ctx.Err())
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	if isFramed {
		return &framedConn{Conn: conn}, nil
	}
	return conn, nil
}

// connect requests the tunnel on a new connection to the other node. It reports whether the other
// node sends frames.
func connect(conn net.Conn, addr string) (isFramed bool, err error) {
	if _, err := fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", addr, addr, headerFrames, framesV1); err != nil {
		return false, fmt.Errorf("%w: %v", ErrPeerUnfit, err)
	}
	const (
		size           = 512
		maxHeaderBytes = 4 << 10
	)
	buf := bufio.NewReaderSize(io.LimitReader(conn, maxHeaderBytes), size)
	resp, err := http.ReadResponse(buf, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return false, fmt.Errorf("%w: %v", ErrPeerUnfit, err)
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK && buf.Buffered() == 0 {
		return resp.Header.Get(headerFrames) == framesV1, nil
	}
	switch why := reason(resp.Header.Get(headerReason)); why {
	case reasonRefused:
		return false, fmt.Errorf("%w: %w", ErrEndpointDown, syscall.ECONNREFUSED)
	case reasonUnreachable:
		return false, ErrEndpointDown
	case reasonNoLink, reasonUnknown:
		return false, ErrNoLink
	default:
		return false, fmt.Errorf("%w: status %d, %q", ErrPeerUnfit, resp.StatusCode, why)
	}
}
