package membership

import (
	"math"
	"time"
)

// Config holds the timings and limits of the failure detector.
type Config struct {
	Period       time.Duration // interval between pings
	AckTimeout   time.Duration // after which an unanswered ping is repeated through other members
	ProbeTimeout time.Duration // after which an unresponsive member is suspected
	Indirect     int           // number of members asked to repeat a ping
	Suspicion    time.Duration // time for a suspect to refute among up to ten members; grows with the logarithm of their number

	GossipPeriod  time.Duration // interval between gossip rounds
	GossipFanout  int           // members per gossip round
	NewsPerPacket int           // maximum entries per message
	Retransmit    float64       // a node sends each update this many times log2(members+1)

	SyncPeriod time.Duration // interval between full state comparisons
	DeadPeriod time.Duration // interval between attempts to reach a dead member or an unknown seed
	JoinPeriod time.Duration // the same while no other member is known

	ForgetDead time.Duration
	ForgetLeft time.Duration
	PauseLimit time.Duration // longest gap between ticks that is not reported as a pause
	TickPeriod time.Duration // interval between the adapter's ticks
}

// Defaults returns the configuration measured in
// docs/measurements/membership.md.
func Defaults() Config {
	return Config{
		Period:        500 * time.Millisecond,
		AckTimeout:    300 * time.Millisecond,
		ProbeTimeout:  time.Second,
		Indirect:      3,
		Suspicion:     5 * time.Second,
		GossipPeriod:  200 * time.Millisecond,
		GossipFanout:  3,
		NewsPerPacket: 32,
		Retransmit:    1.5,
		SyncPeriod:    15 * time.Second,
		DeadPeriod:    5 * time.Second,
		JoinPeriod:    time.Second,
		ForgetDead:    24 * time.Hour,
		ForgetLeft:    time.Hour,
		PauseLimit:    time.Second,
		TickPeriod:    100 * time.Millisecond,
	}
}

// suspicionTimeout returns how long a suspect has to refute among n members. It
// grows with the logarithm of n, like the number of gossip rounds that the
// suspicion and its refutation need to spread.
func (c *Config) suspicionTimeout(n int) time.Duration {
	return time.Duration(float64(c.Suspicion) * max(1, (1+math.Log10(float64(n)))/2))
}

// maxSends returns how many times a node sends one update in a fleet of n
// members.
func (c *Config) maxSends(n int) int {
	return int(math.Ceil(c.Retransmit * math.Log2(float64(n)+1)))
}
