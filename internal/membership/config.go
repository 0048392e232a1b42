package membership

import (
	"math"
	"time"
)

// Config holds the timings and limits of the failure detector.
type Config struct {
	PingPeriod       time.Duration // interval between pings
	AckTimeout       time.Duration // after which an unanswered ping is repeated through other members
	ProbeTimeout     time.Duration // after which an unresponsive member is suspected
	IndirectPings    int           // number of members asked to repeat a ping
	SuspicionTimeout time.Duration // time for a suspect to refute among up to ten members; grows with the logarithm of their number

	GossipPeriod      time.Duration // interval between gossip rounds
	GossipFanout      int           // members per gossip round
	UpdatesPerMessage int           // maximum entries per message
	RetransmitFactor  float64       // a node sends each update this many times log2(members+1)

	SyncPeriod      time.Duration // interval between full state comparisons
	ReconnectPeriod time.Duration // interval between attempts to reach a dead member or an unknown seed
	JoinPeriod      time.Duration // the same while no other member is known

	DeadRetention  time.Duration
	LeftRetention  time.Duration
	PauseThreshold time.Duration // longest gap between ticks that is not reported as a pause
	TickPeriod     time.Duration // interval between the adapter's ticks
}

// DefaultConfig returns the configuration measured in
// docs/measurements/membership.md.
func DefaultConfig() Config {
	return Config{
		PingPeriod:        500 * time.Millisecond,
		AckTimeout:        300 * time.Millisecond,
		ProbeTimeout:      time.Second,
		IndirectPings:     3,
		SuspicionTimeout:  5 * time.Second,
		GossipPeriod:      200 * time.Millisecond,
		GossipFanout:      3,
		UpdatesPerMessage: 32,
		RetransmitFactor:  1.5,
		SyncPeriod:        15 * time.Second,
		ReconnectPeriod:   5 * time.Second,
		JoinPeriod:        time.Second,
		DeadRetention:     24 * time.Hour,
		LeftRetention:     time.Hour,
		PauseThreshold:    time.Second,
		TickPeriod:        100 * time.Millisecond,
	}
}

// suspicionTimeout returns how long a suspect has to refute among n members. It
// grows with the logarithm of n, like the number of gossip rounds that the
// suspicion and its refutation need to spread.
func (c *Config) suspicionTimeout(n int) time.Duration {
	return time.Duration(float64(c.SuspicionTimeout) * max(1, (1+math.Log10(float64(n)))/2))
}

// maxSends returns how many times a node sends one update in a fleet of n
// members.
func (c *Config) maxSends(n int) int {
	return int(math.Ceil(c.RetransmitFactor * math.Log2(float64(n)+1)))
}
