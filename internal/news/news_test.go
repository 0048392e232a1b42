package news

import (
	"context"
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/roster"
)

// startMesh starts a mesh on a free port and stops it at the end of the test.
func startMesh(t *testing.T, receive func(Message)) *Mesh {
	t.Helper()
	m := &Mesh{Log: slog.New(slog.DiscardHandler), OnMessage: receive}
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
	b := startMesh(t, func(m Message) { got <- m })
	a := startMesh(t, nil)
	peers := []string{b.conn.LocalAddr().String(), "no address"}
	a.Send(Message{Suspect: "e1"}, peers...)
	is.Equal((<-got).Suspect, roster.ID("e1"))
	hint := roster.Hint{ID: "e2", Model: "m", Member: roster.Membership{Group: "g", Epoch: 5, State: roster.Open}}
	a.Send(Message{Hint: &hint}, peers...)
	is.Equal(*(<-got).Hint, hint)
}

// Guards against a malformed datagram that stops the receiver: any host may send to the port.
func TestMalformedDatagramIsIgnored(t *testing.T) {
	is := is.New(t)
	got := make(chan Message, 4)
	b := startMesh(t, func(m Message) { got <- m })
	a := startMesh(t, nil)
	_, err := a.conn.WriteTo([]byte("{not json"), b.conn.LocalAddr())
	is.NoErr(err)
	a.Send(Message{Suspect: "after"}, b.conn.LocalAddr().String())
	is.Equal((<-got).Suspect, roster.ID("after"))
}
