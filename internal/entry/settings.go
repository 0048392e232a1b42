package entry

import "time"

// Settings are what a process is told about itself and the platform.
type Settings struct {
	VM          string
	Zone        string
	Zones       []string
	Cores       float64 // this VM's part of a core, or how many; 0: untold
	Front       string  // address for clients
	Peer        string  // address for the other nodes
	Ready       string  // address that the balancer asks for readiness
	Bootstrap   bool    // the whole system starts for the first time
	Store       string  // address of the store
	Strict      bool    // a revoked key must not be served after RevokeAfter, in touch or not
	RevokeAfter time.Duration
	// ConfigWithin is the time in which a change of the configuration must be in
	// force on nodes that reach the store.
	ConfigWithin time.Duration
	Grace        time.Duration // from SIGTERM to SIGKILL
	RetryRatio   float64       // repeats that all nodes together may send, per request
	RetrySlack   float64       // and beyond that, in each RetryWindow
	RetryWindow  time.Duration
	LoadWindow   time.Duration
}
