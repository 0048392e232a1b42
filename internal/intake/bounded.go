package intake

import (
	"log/slog"
	"net"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
)

// BoundedListener bounds the connections and heads of a listener that few clients use. It implements
// net.Listener.
type BoundedListener struct {
	*net.TCPListener
	ConnLimiter
}

// Init prepares the listener and registers its metrics; reg may be nil.
func (l *BoundedListener) Init(clk clock.Clock, log *slog.Logger, reg prometheus.Registerer) *BoundedListener {
	l.ConnLimiter.init(clk, log, reg)
	return l
}

// Accept implements net.Listener.
func (l *BoundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if out, ok := l.admit(c, l.now()); ok {
			return out, nil
		}
		_ = c.Close() // its client tries again
	}
}
