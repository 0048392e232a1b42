package tunnel

import (
	"io"
	"net"
	"testing"
)

// BenchmarkEvent measures one event of a stream through another node, both nodes and the endpoint
// in one process, with frames and without.
func BenchmarkEvent(b *testing.B) {
	const size = 300
	for name, dial := range map[string]func(n *node, addr string) (net.Conn, error){
		"frames":    func(n *node, addr string) (net.Conn, error) { return Dial(b.Context(), n.addr, addr) },
		"no frames": func(n *node, addr string) (net.Conn, error) { return dialWithoutFrames(b, n, addr), nil },
	} {
		b.Run(name, func(b *testing.B) {
			n := startNode(b)
			conn, err := dial(n, startEndpoint(b, func(c *net.TCPConn) {
				request, event := make([]byte, 1), make([]byte, size)
				for {
					if _, err := io.ReadFull(c, request); err != nil {
						return
					}
					_, _ = c.Write(event)
				}
			}))
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			request, event := make([]byte, 1), make([]byte, size)
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(conn, event); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
