package peer

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// otherTopic is the label of all topics without a local subscriber; it bounds the
// cardinality, since a peer can send any topic name.
const otherTopic = "other"

type metrics struct {
	relays       *prometheus.CounterVec // labels: result
	served       *prometheus.CounterVec // labels: result
	relayBytes   *prometheus.CounterVec // labels: direction
	linkBytes    *prometheus.CounterVec // labels: lane, direction
	dialFailures *prometheus.CounterVec // labels: lane
	messages     *prometheus.CounterVec // labels: topic, result
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
	if protocol == relayProtocol {
		return "relay"
	}
	return "control"
}

func (m *metrics) addTopic(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.topics[name] = true
}

func (m *metrics) topicLabel(name string) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.topics[name] {
		return name
	}
	return otherTopic
}

func (m *metrics) countDropped(topic, reason string) {
	m.messages.WithLabelValues(m.topicLabel(topic), "dropped_"+reason).Inc()
}

func (m *metrics) countSent(topic string) {
	m.messages.WithLabelValues(m.topicLabel(topic), "sent").Inc()
}
func (m *metrics) countReceived(topic string) {
	m.messages.WithLabelValues(m.topicLabel(topic), "received").Inc()
}

// addLinkBytes adds the bytes sent and received on the connection since the last
// call.
func (m *metrics) addLinkBytes(c *conn) {
	c.countMu.Lock()
	defer c.countMu.Unlock()
	s := c.ConnectionStats()
	lane := laneLabel(c.protocol)
	m.linkBytes.WithLabelValues(lane, "out").Add(float64(s.BytesSent - c.countedOut))
	m.linkBytes.WithLabelValues(lane, "in").Add(float64(s.BytesReceived - c.countedIn))
	c.countedOut, c.countedIn = s.BytesSent, s.BytesReceived
}
