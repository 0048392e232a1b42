package node

import (
	"encoding/json"

	"chervilloom/internal/fleet"
)

// broadcast sends a message of a topic to all other nodes.
func (n *Node) broadcast(topic string, message any) {
	raw, err := json.Marshal(message)
	if err != nil {
		n.log.Error("message not broadcast", "topic", topic, "error", err)
		return
	}
	n.mesh.Broadcast(topic, raw)
}

// subscribe calls handle with each message of a topic from another node.
func subscribe[T any](n *Node, topic string, handle func(T)) {
	n.mesh.Subscribe(topic, func(from fleet.Node, payload []byte) {
		var message T
		if err := json.Unmarshal(payload, &message); err != nil {
			n.log.Warn("message not readable", "topic", topic, "from", from, "error", err)
			return
		}
		handle(message)
	})
}
