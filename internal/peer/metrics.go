package peer

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// otherTopic stands for topics without a subscriber here, which a peer could
// name at will.
const otherTopic = "other"

type metrics struct {
	relays       *prometheus.CounterVec // result
	served       *prometheus.CounterVec // result
	relayBytes   *prometheus.CounterVec // direction
	linkBytes    *prometheus.CounterVec // lane, direction
	dialFailures *prometheus.CounterVec // lane
	messages     *prometheus.CounterVec // topic, result
	rtt          *prometheus.HistogramVec

	mu     sync.RWMutex
	topics map[string]bool
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chervilloom", Subsystem: "peer", Name: name, Help: help,
		}, labels)
	}
	m := &metrics{
		relays:       counter("relays_total", "Requests passed on to another node, by result.", "result"),
		served:       counter("served_total", "Requests answered for another node, by result.", "result"),
		relayBytes:   counter("relay_payload_bytes_total", "Bytes of request bodies and answers relayed.", "direction"),
		linkBytes:    counter("link_bytes_total", "Bytes on the links, QUIC headers included.", "lane", "direction"),
		dialFailures: counter("dial_failures_total", "Dials to another node that failed.", "lane"),
		messages:     counter("messages_total", "Messages by topic and what became of them.", "topic", "result"),
		rtt: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "chervilloom", Subsystem: "peer", Name: "rtt_seconds",
			Help:    "Smoothed round trip time of the link, seen at the end of each relay.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14),
		}, []string{"zone"}),
		topics: map[string]bool{},
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.relays, m.served, m.relayBytes, m.linkBytes, m.dialFailures, m.messages, m.rtt} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func laneLabel(protocol string) string {
	if protocol == relayLane {
		return "relay"
	}
	return "control"
}

func (m *metrics) knowTopic(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.topics[name] = true
}

func (m *metrics) topic(name string) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.topics[name] {
		return name
	}
	return otherTopic
}

func (m *metrics) dropped(topic, why string) {
	m.messages.WithLabelValues(m.topic(topic), "dropped_"+why).Inc()
}

func (m *metrics) sent(topic string) { m.messages.WithLabelValues(m.topic(topic), "sent").Inc() }
func (m *metrics) received(topic string) {
	m.messages.WithLabelValues(m.topic(topic), "received").Inc()
}

// countBytes adds what went over the connection since the last time.
func (m *metrics) countBytes(c *conn) {
	c.countMu.Lock()
	defer c.countMu.Unlock()
	s := c.ConnectionStats()
	lane := laneLabel(c.protocol)
	m.linkBytes.WithLabelValues(lane, "out").Add(float64(s.BytesSent - c.countedOut))
	m.linkBytes.WithLabelValues(lane, "in").Add(float64(s.BytesReceived - c.countedIn))
	c.countedOut, c.countedIn = s.BytesSent, s.BytesReceived
}
