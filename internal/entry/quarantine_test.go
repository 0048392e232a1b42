package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/news"
	table "chervilloom/internal/platform"
	"chervilloom/internal/quarantine"
)

// harmful is the fingerprint of a request that crashes endpoints.
var harmful = quarantine.Of("org", "POST", "h", "/x", []byte("crash"))

// outbreak simulates a harmful request that is sent to the nodes of a fleet.
type outbreak struct {
	*simFleet
	clients    *rand.Rand
	crashes    int
	attempts   int
	clientZone string // zone in which clients send it; empty: all
}

func newOutbreak(t *testing.T, zones, perZone int, lost float64) *outbreak {
	o := &outbreak{simFleet: newSimFleet(t, zones, perZone, lost), clients: rand.New(rand.NewPCG(3, 4))}
	for _, n := range o.nodes {
		n.quarantineGuard.Dial = func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	}
	return o
}

// sendHarmful sends the request to a random node, which refuses it or loses two endpoints to
// it, each with harmless requests of five other nodes. After the first crash most of those
// are retried at another endpoint than the harmful request.
func (o *outbreak) sendHarmful(t *testing.T) {
	names := slices.Sorted(maps.Keys(o.nodes))
	pick := func(only string) *Node {
		for {
			n := o.nodes[names[o.clients.IntN(len(names))]]
			if only == "" || n.Settings.Zone == only {
				return n
			}
		}
	}
	o.attempts++
	n := pick(o.clientZone)
	for range 2 {
		if _, refused := n.quarantineGuard.Refused(t.Context(), harmful); refused {
			return
		}
		o.crashes++
		end := fmt.Sprintf("e%d", o.crashes)
		n.quarantineGuard.AttemptFailed(end, "", harmful, quarantine.AttemptID(fmt.Sprint(o.attempts)))
		for i := range 5 {
			innocent := quarantine.Of("org", "POST", "h", "/x", fmt.Appendf(nil, "%s-%d", end, i))
			pick("").quarantineGuard.AttemptFailed(end, "", innocent, uint32(i))
		}
		synctest.Wait() // until the endpoint checks are complete
		o.advance(200 * time.Millisecond)
	}
}

// advance advances the clock and runs the quarantine ticks of all nodes.
func (o *outbreak) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for range d / step {
		o.clock.Advance(step)
		for _, n := range o.nodes {
			n.quarantineGuard.Tick()
		}
	}
}

// countRefusing returns the number of nodes that refuse the request.
func (o *outbreak) countRefusing() int {
	k := 0
	for _, n := range o.nodes {
		if _, refused := n.quarantineGuard.Refused(context.Background(), harmful); refused {
			k++
		}
	}
	return k
}

// A harmful request arrives at random nodes of 6, 81 and 295. No node sees more than a part
// of its attempts, but the tallying nodes get all reports. Every node must refuse it after
// three crashes and a few more that distinguish it from other requests. With 5% packet loss
// the nodes that missed it get it from the rows of the regular reads.
func TestHarmfulRequestRefusedByAllNodes(t *testing.T) {
	for _, c := range []struct {
		zones, perZone int
		lost           float64
	}{{3, 2, 0}, {3, 2, 0.05}, {3, 27, 0}, {3, 27, 0.05}, {5, 59, 0}, {5, 59, 0.05}} {
		t.Run(fmt.Sprintf("%d zones of %d, %v lost", c.zones, c.perZone, c.lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newOutbreak(t, c.zones, c.perZone, c.lost)
				for range 10 {
					o.sendHarmful(t)
				}
				if o.crashes > 6 {
					t.Errorf("%d endpoints crashed", o.crashes)
				}
				if got := o.countRefusing(); float64(got) < 0.98*float64(len(o.nodes)) {
					t.Errorf("%d of %d nodes refuse it", got, len(o.nodes))
				}
				o.distributeRows(t)
				is.Equal(o.countRefusing(), len(o.nodes))
			})
		})
	}
}

// distributeRows gives every node the lease rows including the row of the harmful request.
func (o *outbreak) distributeRows(t *testing.T) {
	t.Helper()
	raw, err := json.Marshal(quarantine.Verdict{Fingerprint: harmful, Crashes: 4, Attempts: 2})
	if err != nil {
		t.Fatal(err)
	}
	rows := append(slices.Clone(o.rows), table.Row{
		Table: table.TableLeases, Key: quarantinePrefix + string(harmful), Version: 7, Value: raw,
	})
	for _, n := range o.nodes {
		n.leaseCache.applyRows(rows, 0)
	}
}

// The holder of a zone's duty is suspended or has just ended and receives no reports. The
// holders of the other zones have the same reports and must reach the verdict.
func TestHarmfulRequestFoundWithoutDutyHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOutbreak(t, 3, 27, 0)
		frozen := o.nodes["z0-0"]
		delete(o.nodes, "z0-0")
		for _, n := range o.nodes {
			send := n.send
			n.send = func(m news.Message, to ...string) {
				send(m, slices.DeleteFunc(to, func(addr string) bool { return addr == frozen.Settings.VM })...)
			}
		}
		for range 10 {
			o.sendHarmful(t)
		}
		if o.crashes > 6 || o.countRefusing() < len(o.nodes) {
			t.Errorf("%d endpoints crashed, %d of %d nodes refuse it", o.crashes, o.countRefusing(), len(o.nodes))
		}
	})
}

// A zone is partitioned from the others. Its nodes reach the verdict by their own reports;
// the other nodes don't know of it until they read the rows after the partition.
func TestPartitionedZoneTalliesAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOutbreak(t, 3, 2, 0)
		for _, n := range o.nodes {
			send, zone := n.send, n.Settings.Zone
			n.send = func(m news.Message, to ...string) {
				send(m, slices.DeleteFunc(to, func(addr string) bool { return o.nodes[addr].Settings.Zone != zone })...)
			}
		}
		o.clientZone = "z1"
		for range 10 {
			o.sendHarmful(t)
		}
		is.True(o.crashes <= 6)
		is.Equal(o.countRefusing(), 2)
		o.distributeRows(t)
		is.Equal(o.countRefusing(), len(o.nodes))
	})
}

// A node starts while a request is quarantined, or all nodes restart after a power loss. It
// must refuse the request from its first read of the rows, which precedes readiness. An
// invalid row must have no effect.
func TestStartingNodeReadsQuarantineRows(t *testing.T) {
	is := is.New(t)
	p := newSimFleet(t, 1, 2, 0)
	n := p.nodes["z0-1"]
	o := &outbreak{simFleet: p}
	is.Equal(o.countRefusing(), 0)
	o.distributeRows(t)
	is.Equal(o.countRefusing(), 2)
	broken := []table.Row{{Table: table.TableLeases, Key: quarantinePrefix + "other", Version: 1, Value: []byte("{}")}}
	n.leaseCache.applyRows(broken, 0)
	is.Equal(len(n.quarantineGuard.Banned()), 1)
	is.Equal(n.leaseCache.owner(quarantinePrefix+"other"), "") // the row is not taken for a duty's lease either
}

// An endpoint with 22 requests crashes. The number of reports must not depend on the size
// of the fleet: some 22 nodes send each report to the holders of five zones, twice.
func TestFailureReportsTakeFewMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOutbreak(t, 5, 59, 0)
		clear(o.sent)
		i := 0
		for _, n := range o.nodes {
			if i++; i > 22 {
				break
			}
			n.quarantineGuard.AttemptFailed("e", "", quarantine.Of("org", "POST", "h", "/x", fmt.Append(nil, i)), uint32(i))
		}
		synctest.Wait()
		o.advance(time.Second)
		sum := 0
		for _, k := range o.sent {
			sum += k
		}
		if sum > 22*5*2 {
			t.Errorf("%d messages", sum)
		}
	})
}

// The store was unavailable at the time of the verdict: the first zone's holder writes the
// row after the recovery. When an operator deletes the row to lift the quarantine, no node
// may write it again, and every node must accept the request.
func TestQuarantineRowWrittenOnce(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{}
	n := newTestNode(store, clock.NewManual(clock.Instant(time.Hour)))
	n.holdsDuty = func(string) bool { return true }
	n.leaseCache.applyRows([]table.Row{ownerRow("a", "me")}, 0)
	n.quarantineGuard.Receive(quarantine.Message{Node: "x", Found: []quarantine.Verdict{{Fingerprint: harmful, Crashes: 3, Attempts: 3}}})
	n.syncQuarantineRows()
	is.Equal(store.calls, 1)
	raw, err := json.Marshal(quarantine.Verdict{Fingerprint: harmful})
	is.NoErr(err)
	row := table.Row{Table: table.TableLeases, Key: quarantinePrefix + string(harmful), Version: 7, Value: raw}
	n.leaseCache.applyRows([]table.Row{ownerRow("a", "me"), row}, 0)
	n.syncQuarantineRows()
	is.Equal(store.calls, 1)
	for range 3 { // the row stays deleted over several reads
		n.leaseCache.applyRows([]table.Row{ownerRow("a", "me")}, 0)
		n.syncQuarantineRows()
		n.Clock.(*clock.Manual).Advance(4 * time.Second)
	}
	is.Equal(store.calls, 1)
	is.Equal(len(n.quarantineGuard.Banned()), 0)
}
