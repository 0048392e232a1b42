package intake

import "time"

// Limits of net/http that don't bind, because those of a listener of this package do. They must be set:
// without a time-out, net/http sets no deadline at all.
const (
	ServerHeaderBytes = 16 << 20
	ServerTimeout     = 24 * time.Hour
)
