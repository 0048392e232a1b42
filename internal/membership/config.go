package membership

import (
	"math"
	"time"
)

// Config holds the periods and bounds of the failure detector.
type Config struct {
	Period       time.Duration // between two pings of one node
	AckTimeout   time.Duration // until an unanswered ping is repeated through others
	ProbeTimeout time.Duration // until a member that answers nobody is suspected
	Indirect     int           // members asked to repeat a ping
	Suspicion    time.Duration // a suspect's time to refute, for up to ten members; grows with their logarithm

	GossipPeriod  time.Duration // between two rounds of news
	GossipFanout  int           // members that a round goes to
	NewsPerPacket int           // entries on one message
	Retransmit    float64       // a node tells each piece of news Retransmit*log2(members+1) times

	SyncPeriod time.Duration // between two comparisons of whole states
	DeadPeriod time.Duration // between two attempts at a dead member or an unknown seed
	JoinPeriod time.Duration // between two attempts while no other member is known

	ForgetDead time.Duration
	ForgetLeft time.Duration
	PauseLimit time.Duration // a gap between ticks over this means that the process was paused
	TickPeriod time.Duration // of the adapter's ticks
}

// Defaults returns the configuration that docs/measurements/membership.md
// measures.
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

// suspicion returns how long a suspect has to refute among n members: news of
// the suspicion and of its refutation take a number of rounds that grows with
// the logarithm of n.
func (c *Config) suspicion(n int) time.Duration {
	return time.Duration(float64(c.Suspicion) * max(1, (1+math.Log10(float64(n)))/2))
}

// tellings returns how many times a node tells one piece of news to n members.
func (c *Config) tellings(n int) int {
	return int(math.Ceil(c.Retransmit * math.Log2(float64(n)+1)))
}
