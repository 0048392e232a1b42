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

// startEchoServer starts a UDP server that returns each datagram to its sender, and
// returns its address.
func startEchoServer(t *testing.T) string {
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

func startRelay(t *testing.T) *Relay {
	t.Helper()
	r, err := NewRelay(startEchoServer(t))
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

func dialRelay(t *testing.T, r *Relay) *net.UDPConn {
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

// isEchoed sends text repeatedly, as a protocol over datagrams retransmits, and reports
// whether the same text came back within the limit.
func isEchoed(limit time.Duration, c *net.UDPConn, text string) bool {
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
	cutWait     = 200 * time.Millisecond
	echoTimeout = 20 * time.Second
)

// Each client receives the replies to its own datagrams.
func TestRelaySeparatesClients(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	for i := range 3 {
		is.True(isEchoed(echoTimeout, dialRelay(t, r), fmt.Sprintf("client %d", i)))
	}
}

// No echo returns while a direction is cut, and echoes return again afterwards. A cut
// of only the direction from the target loses the reply to a request that the target
// received.
func TestRelayCuts(t *testing.T) {
	for _, cut := range []struct{ to, from bool }{{true, false}, {false, true}, {true, true}} {
		t.Run(fmt.Sprintf("to=%v from=%v", cut.to, cut.from), func(t *testing.T) {
			is := is.New(t)
			r := startRelay(t)
			c := dialRelay(t, r)
			r.Cut(cut.to, cut.from)
			is.True(!isEchoed(cutWait, c, "while cut"))
			r.Cut(false, false)
			is.True(isEchoed(echoTimeout, c, "after"))
		})
	}
}

// The losses are drawn from the seeded source: the same number of datagrams is lost in
// each run, none at a fraction of 0 and all at 1.
func TestRelayLoss(t *testing.T) {
	is := is.New(t)
	draw := func(share float64) (lost int) {
		r := &Relay{}
		r.Seed(7)
		r.SetLoss(share)
		for range 1000 {
			if r.drawLoss() {
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

// A datagram arrives no earlier than its delay, which applies in each direction.
func TestRelayDelay(t *testing.T) {
	is := is.New(t)
	r := startRelay(t)
	c := dialRelay(t, r)
	const delay = 30 * time.Millisecond
	r.SetDelay(delay)
	start := time.Now()
	_, err := c.Write([]byte("x"))
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(echoTimeout)))
	_, err = c.Read(make([]byte, 16))
	is.NoErr(err)
	is.True(time.Since(start) >= 2*delay)
}
