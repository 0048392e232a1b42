package entry

import "time"

// Settings are what a process is told about itself and the platform.
type Settings struct {
	VM          string
	Zone        string
	Zones       []string
	Front       string // address for clients
	Peer        string // address for the other nodes
	Ready       string // address that the balancer asks for readiness
	Bootstrap   bool   // the whole system starts for the first time
	Heartbeat   time.Duration
	Store       string // address of the store
	Strict      bool   // a revoked key must not be served after RevokeAfter, in touch or not
	RevokeAfter time.Duration
	DrainAfter  time.Duration // endpoints get no new work this long after they began to leave
	Grace       time.Duration // from SIGTERM to SIGKILL
	Stall       time.Duration // a group with a lost member breaks after this
	RetryRatio  float64       // repeats that all nodes together may send, per request
	RetrySlack  float64       // and beyond that, in each RetryWindow
	RetryWindow time.Duration
	LoadExcess  float64 // factor by which loads may exceed the engine's rate
	LoadWindow  time.Duration
}
