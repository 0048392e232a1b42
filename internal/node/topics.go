package node

import (
	"encoding/json"

	"chervilloom/internal/fleet"
)

// broadcast tells all other nodes a message of a topic.
func (n *Node) broadcast(topic string, message any) {
	raw, err := json.Marshal(message)
	if err != nil {
		n.log.Error("message not told", "topic", topic, "error", err)
		return
	}
	n.mesh.Broadcast(topic, raw)
}

// subscribe has take called with each message of a topic that another node tells.
func subscribe[T any](n *Node, topic string, take func(T)) {
	n.mesh.Subscribe(topic, func(from fleet.Node, payload []byte) {
		var message T
		if err := json.Unmarshal(payload, &message); err != nil {
			n.log.Warn("message not readable", "topic", topic, "from", from, "error", err)
			return
		}
		take(message)
	})
}
