// Package news carries short messages between the nodes. A message is a hint
// that saves time: what it tells stands in the platform's list a second later.
// So each goes out once, as one datagram, and a lost one is not sent again.
package news

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/netip"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/board"
	"chervilloom/internal/quarantine"
	"chervilloom/internal/roster"
)

// Message is what a node tells the others. Exactly one of its parts is set, beside Relay.
type Message struct {
	// Relay asks who gets the message to pass it on to the nodes of its zone.
	Relay   bool         `json:"relay,omitempty"`
	Hint    *roster.Hint `json:"hint,omitempty"`    // a head began or ceased to take requests
	Suspect roster.ID    `json:"suspect,omitempty"` // a head's requests stand still
	Doubt   roster.ID    `json:"doubt,omitempty"`   // they may, by their pace so far
	Failed  roster.ID    `json:"failed,omitempty"`  // an endpoint gave no usable answer
	Leaving []roster.ID  `json:"leaving,omitempty"` // endpoints leave
	Gone    []roster.ID  `json:"gone,omitempty"`    // endpoints are listed no more
	Ask     bool         `json:"ask,omitempty"`     // ask for newer endpoints
	Placed  *Placed      `json:"placed,omitempty"`  // a request was sent to an engine
	// InFlight is what a node has in flight at a zone's heads, for the holder of the
	// zone's duty.
	InFlight *InFlight `json:"inflight,omitempty"`
	// Board is a part of what all nodes have in flight at a zone's heads.
	Board []board.Count `json:"board,omitempty"`
	// Quarantine is of requests that end endpoints.
	Quarantine *quarantine.Message `json:"quarantine,omitempty"`
	// Pressure is of an endpoint that limits what it takes.
	Pressure *backpressure.Notice `json:"pressure,omitempty"`
	// Means are the mean loads of zones, from their holders.
	Means []board.Mean `json:"means,omitempty"`
}

// InFlight is a node's count at the heads of a zone, in as many messages as it takes.
type InFlight struct {
	Node    string        `json:"node"`
	Zone    string        `json:"zone"`
	Further bool          `json:"further,omitempty"` // adds to the message before
	Counts  []board.Count `json:"c"`
}

// Placed tells of requests that a node has sent to an engine. A node that tells
// only some of the others counts for those that it doesn't tell.
type Placed struct {
	ID       roster.ID `json:"id"`
	Requests float64   `json:"n"`
	Tokens   float64   `json:"tokens"` // of their prompts
}

// MaxMessage is the size of the largest message, in bytes: it fits one packet.
const MaxMessage = 1400

// Mesh sends messages to the other nodes and receives theirs.
type Mesh struct {
	Log *slog.Logger
	// Receive is told of each message.
	Receive func(Message)
	conn    *net.UDPConn
}

// Listen opens the node's address, ip:port.
func (m *Mesh) Listen(addr string) error {
	at, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return err
	}
	m.conn = conn
	return nil
}

// Run receives until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { m.conn.Close() })
	defer stop()
	buf := make([]byte, MaxMessage)
	for {
		n, from, err := m.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			m.Log.Debug("news not received", "err", err)
			continue
		}
		var msg Message
		if err := json.Unmarshal(buf[:n], &msg); err != nil {
			m.Log.Warn("news not readable", "from", from.String(), "err", err)
			continue
		}
		m.Receive(msg)
	}
}

// Send sends a message to some nodes, ip:port each.
func (m *Mesh) Send(msg Message, peers ...string) {
	raw, err := json.Marshal(msg)
	if err != nil || len(raw) > MaxMessage {
		m.Log.Error("news not sent", "bytes", len(raw), "err", err)
		return
	}
	for _, peer := range peers {
		addr, err := netip.ParseAddrPort(peer)
		if err != nil {
			m.Log.Warn("news not sent", "to", peer, "err", err)
			continue
		}
		if _, err := m.conn.WriteToUDPAddrPort(raw, addr); err != nil {
			m.Log.Debug("news not sent", "to", peer, "err", err)
		}
	}
}
