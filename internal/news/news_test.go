package news

import (
	"context"
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/roster"
)

func listen(t *testing.T, peers func() []string, receive func(Message)) *Mesh {
	t.Helper()
	m := &Mesh{Log: slog.New(slog.DiscardHandler), Peers: peers, Receive: receive}
	if err := m.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return m
}

func TestMessageReachesPeers(t *testing.T) {
	is := is.New(t)
	got := make(chan Message, 4)
	b := listen(t, nil, func(m Message) { got <- m })
	a := listen(t, func() []string { return []string{b.conn.LocalAddr().String(), "no address"} }, nil)
	a.Tell(Message{Suspect: "e1"})
	is.Equal((<-got).Suspect, roster.ID("e1"))
	hint := roster.Hint{ID: "e2", Model: "m", Member: roster.Membership{Group: "g", Epoch: 5, State: roster.Open}}
	a.Tell(Message{Hint: &hint})
	is.Equal(*(<-got).Hint, hint)
}

// Anybody may send a datagram to the port. What can't be read changes nothing.
func TestGarbageIsPassedOver(t *testing.T) {
	is := is.New(t)
	got := make(chan Message, 4)
	b := listen(t, nil, func(m Message) { got <- m })
	a := listen(t, func() []string { return []string{b.conn.LocalAddr().String()} }, nil)
	_, err := a.conn.WriteTo([]byte("{not json"), b.conn.LocalAddr())
	is.NoErr(err)
	a.Tell(Message{Suspect: "after"})
	is.Equal((<-got).Suspect, roster.ID("after"))
}
