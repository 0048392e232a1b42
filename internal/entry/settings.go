package entry

import "time"

// Settings are the parameters of a node and the limits that the platform sets.
type Settings struct {
	VM               string
	Zone             string
	Zones            []string
	Regions          map[string]string // region of each availability zone
	Cores            float64           // size of this VM in cores, possibly a fraction; 0: unknown
	ClientAddr       string            // listen address for clients
	PeerAddr         string            // listen address for other nodes
	ReadinessAddr    string            // listen address for the load balancer's readiness probe
	Memory           int64             // of this VM for the process, in bytes; 0: unknown
	Bootstrap        bool              // the whole system is started for the first time
	Store            string            // address of the store
	StrictRevocation bool              // a revoked key must be rejected after RevokeAfter even without a connection to the store
	RevokeAfter      time.Duration
	// MaxConfigDelay is the time within which a configuration change must be in force on
	// nodes that can reach the store.
	MaxConfigDelay time.Duration
	GracePeriod    time.Duration // from SIGTERM to SIGKILL
	RetryRatio     float64       // retries by all nodes together, per request
	RetrySlack     float64       // additional retries by all nodes together, per RetryWindow
	RetryWindow    time.Duration
	LoadWindow     time.Duration
}
