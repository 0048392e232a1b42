package netfault

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo returns a target that sends each datagram back.
func echo(t *testing.T) string {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		buf := make([]byte, 2048)
		for {
			n, from, err := c.ReadFromUDP(buf)
			if err != nil {
				return
			}
			_, _ = c.WriteToUDP(buf[:n], from)
		}
	}()
	t.Cleanup(func() {
		c.Close()
		<-done
	})
	return c.LocalAddr().String()
}

func relay(t *testing.T) *Relay {
	t.Helper()
	r, err := NewRelay(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	return r
}

func dial(t *testing.T, r *Relay) *net.UDPConn {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.DialUDP("udp", nil, to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// reaches sends until an answer to this very text comes back, as a real
// protocol over datagrams would.
func reaches(limit time.Duration, c *net.UDPConn, text string) bool {
	end := time.Now().Add(limit)
	buf := make([]byte, 2048)
	for time.Now().Before(end) {
		_, _ = c.Write([]byte(text))
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		for {
			n, err := c.Read(buf)
			if err != nil {
				break
			}
			if string(buf[:n]) == text {
				return true
			}
		}
	}
	return false
}

const (
	soon = 200 * time.Millisecond
	long = 20 * time.Second
)

// Each client gets the answers to its own datagrams.
func TestRelayKeepsClientsApart(t *testing.T) {
	is := is.New(t)
	r := relay(t)
	for i := range 3 {
		is.True(reaches(long, dial(t, r), fmt.Sprintf("client %d", i)))
	}
}

// Nothing passes a direction that is cut, and all passes again afterwards. A
// cut from the target alone loses the answers though the target saw the request.
func TestRelayCuts(t *testing.T) {
	for _, cut := range []struct{ to, from bool }{{true, false}, {false, true}, {true, true}} {
		t.Run(fmt.Sprintf("to=%v from=%v", cut.to, cut.from), func(t *testing.T) {
			is := is.New(t)
			r := relay(t)
			c := dial(t, r)
			r.Cut(cut.to, cut.from)
			is.True(!reaches(soon, c, "while cut"))
			r.Cut(false, false)
			is.True(reaches(long, c, "after"))
		})
	}
}

// The share that is lost is drawn from the seed: the same datagrams are lost in
// each run, and none or all at the ends of the scale.
func TestRelayLoss(t *testing.T) {
	is := is.New(t)
	draw := func(share float64) (lost int) {
		r := &Relay{}
		r.Seed(7)
		r.Loss(share)
		for range 1000 {
			if r.lost() {
				lost++
			}
		}
		return lost
	}
	is.Equal(draw(0), 0)
	is.Equal(draw(1), 1000)
	is.Equal(draw(0.3), draw(0.3))
	is.True(draw(0.3) > 200 && draw(0.3) < 400)
}

// A delayed datagram arrives no earlier than its delay, in each direction.
func TestRelayDelay(t *testing.T) {
	is := is.New(t)
	r := relay(t)
	c := dial(t, r)
	const delay = 30 * time.Millisecond
	r.Delay(delay)
	start := time.Now()
	_, err := c.Write([]byte("x"))
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(long)))
	_, err = c.Read(make([]byte, 16))
	is.NoErr(err)
	is.True(time.Since(start) >= 2*delay)
}
