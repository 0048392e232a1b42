// Package news sends short messages between the nodes. A message only saves time: its
// content is in the platform's list a second later. Each is therefore sent once, as one UDP
// datagram, and not retransmitted if it is lost.
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

// Message is one message between nodes. Exactly one of its fields is set, apart from Relay.
type Message struct {
	// Relay requests that the receiver forward the message to the nodes of its zone.
	Relay            bool         `json:"relay,omitempty"`
	Hint             *roster.Hint `json:"hint,omitempty"`    // a head started or stopped accepting requests
	Suspect          roster.ID    `json:"suspect,omitempty"` // a head whose requests have stalled
	Doubt            roster.ID    `json:"doubt,omitempty"`   // a head whose requests may have stalled, judging by their usual pace
	Failed           roster.ID    `json:"failed,omitempty"`  // an endpoint that gave no usable response
	Leaving          []roster.ID  `json:"leaving,omitempty"` // draining endpoints
	Removed          []roster.ID  `json:"gone,omitempty"`    // endpoints that are no longer listed
	RefreshEndpoints bool         `json:"ask,omitempty"`     // the receiver should poll for newer endpoints
	Placed           *Placement   `json:"placed,omitempty"`  // requests that were sent to an engine
	// InFlight contains a node's requests in flight at the heads of a zone, for the holder
	// of the zone's duty.
	InFlight *InFlight `json:"inflight,omitempty"`
	// Board is a part of the requests in flight from all nodes at the heads of a zone.
	Board []board.HeadLoad `json:"board,omitempty"`
	// Quarantine reports requests that terminate endpoints.
	Quarantine *quarantine.Message `json:"quarantine,omitempty"`
	// Pressure reports the rate limit or backoff of an endpoint.
	Pressure *backpressure.Notice `json:"pressure,omitempty"`
	// Means are the mean loads of zones, from the holders of their duties.
	Means []board.MeanLoad `json:"means,omitempty"`
}

// InFlight contains a node's requests in flight at the heads of a zone. They may be split
// over several messages.
type InFlight struct {
	Node           string           `json:"node"`
	Zone           string           `json:"zone"`
	IsContinuation bool             `json:"further,omitempty"` // the counts continue those of the message before
	Counts         []board.HeadLoad `json:"c"`
}

// Placement reports requests that a node has sent to an engine. A sender that addresses only a
// part of the nodes would scale Requests and Tokens up for the others; at present each request
// is reported to all other nodes of the zone, with a count of 1.
type Placement struct {
	ID       roster.ID `json:"id"`
	Requests float64   `json:"n"`
	Tokens   float64   `json:"tokens"` // prompt tokens
}

// MaxMessageBytes is the maximum size of a message in bytes: it fits into one packet.
const MaxMessageBytes = 1400

// Mesh sends messages to the other nodes and receives theirs.
type Mesh struct {
	Log *slog.Logger
	// OnMessage is called with each received message.
	OnMessage func(Message)
	conn      *net.UDPConn
}

// Listen binds the node's UDP address, ip:port.
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

// Run receives messages until ctx is cancelled.
func (m *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { m.conn.Close() })
	defer stop()
	buf := make([]byte, MaxMessageBytes)
	for {
		n, from, err := m.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			m.Log.Debug("cannot receive a message", "err", err)
			continue
		}
		var msg Message
		if err := json.Unmarshal(buf[:n], &msg); err != nil {
			m.Log.Warn("cannot parse a message", "from", from.String(), "err", err)
			continue
		}
		m.OnMessage(msg)
	}
}

// Send sends a message to the peers, each ip:port. Errors are only logged.
func (m *Mesh) Send(msg Message, peers ...string) {
	encoded, err := json.Marshal(msg)
	if err != nil || len(encoded) > MaxMessageBytes {
		m.Log.Error("message is too large or cannot be encoded", "bytes", len(encoded), "err", err)
		return
	}
	for _, peer := range peers {
		addr, err := netip.ParseAddrPort(peer)
		if err != nil {
			m.Log.Warn("peer address is invalid", "to", peer, "err", err)
			continue
		}
		if _, err := m.conn.WriteToUDPAddrPort(encoded, addr); err != nil {
			m.Log.Debug("cannot send a message", "to", peer, "err", err)
		}
	}
}
