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

// harmful is the fingerprint of the request that ends endpoints.
var harmful = quarantine.Of("org", "POST", "h", "/x", []byte("crash"))

// outbreak is a harmful request on its way through a fleet.
type outbreak struct {
	*paper
	clients  *rand.Rand
	ends     int
	attempts int
	only     string // zone in which clients send it; empty: any
}

func newOutbreak(t *testing.T, zones, perZone int, lost float64) *outbreak {
	o := &outbreak{paper: newPaper(t, zones, perZone, lost), clients: rand.New(rand.NewPCG(3, 4))}
	for _, n := range o.nodes {
		n.quarantine.Dial = func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	}
	return o
}

// attempt is a client attempt at a node that refuses it or ends two endpoints under it,
// each with innocent requests of five other nodes. Whoever was at the first goes on at
// another endpoint than the harmful request, as most do.
func (o *outbreak) attempt(t *testing.T) {
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
	n := pick(o.only)
	for range 2 {
		if _, refused := n.quarantine.Refused(t.Context(), harmful); refused {
			return
		}
		o.ends++
		end := fmt.Sprintf("e%d", o.ends)
		n.quarantine.Broke(end, "", harmful, quarantine.AttemptID(fmt.Sprint(o.attempts)))
		for i := range 5 {
			innocent := quarantine.Of("org", "POST", "h", "/x", fmt.Appendf(nil, "%s-%d", end, i))
			pick("").quarantine.Broke(end, "", innocent, uint32(i))
		}
		synctest.Wait() // until the looks at the endpoints are over
		o.pass(200 * time.Millisecond)
	}
}

// pass lets time go on at all nodes.
func (o *outbreak) pass(d time.Duration) {
	const look = 50 * time.Millisecond
	for range d / look {
		o.clock.Advance(look)
		for _, n := range o.nodes {
			n.quarantine.Tick()
		}
	}
}

// refusing counts the nodes that refuse it.
func (o *outbreak) refusing() int {
	k := 0
	for _, n := range o.nodes {
		if _, refused := n.quarantine.Refused(context.Background(), harmful); refused {
			k++
		}
	}
	return k
}

// A request that ends endpoints comes at any node of 6, 81 and 295. No node sees more than
// a part of it, and the nodes that tally hear of all. After three ends, and a few more that
// tell it from the others, every node refuses it; with one packet in twenty lost those
// that missed it have it from the rows that they read or are told anyway.
func TestHarmfulRequestIsKnownAtEveryNode(t *testing.T) {
	for _, c := range []struct {
		zones, perZone int
		lost           float64
	}{{3, 2, 0}, {3, 2, 0.05}, {3, 27, 0}, {3, 27, 0.05}, {5, 59, 0}, {5, 59, 0.05}} {
		t.Run(fmt.Sprintf("%d zones of %d, %v lost", c.zones, c.perZone, c.lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newOutbreak(t, c.zones, c.perZone, c.lost)
				for range 10 {
					o.attempt(t)
				}
				if o.ends > 6 {
					t.Errorf("%d endpoints ended", o.ends)
				}
				if got := o.refusing(); float64(got) < 0.98*float64(len(o.nodes)) {
					t.Errorf("%d of %d nodes refuse it", got, len(o.nodes))
				}
				o.readRows(t)
				is.Equal(o.refusing(), len(o.nodes))
			})
		})
	}
}

// readRows has every node read the rows, or be told them, with the one that is kept.
func (o *outbreak) readRows(t *testing.T) {
	t.Helper()
	raw, err := json.Marshal(quarantine.Verdict{Fingerprint: harmful, Ends: 4, Attempts: 2})
	if err != nil {
		t.Fatal(err)
	}
	rows := append(slices.Clone(o.rows), table.Row{
		Table: table.TableLeases, Key: quarantinePrefix + string(harmful), Version: 7, Value: raw,
	})
	for _, n := range o.nodes {
		n.leaseRows.take(rows, 0)
	}
}

// The node that holds a zone's duty is frozen, or has just ended, and hears nothing: the
// other zones' holders have heard the same and find the request.
func TestHarmfulRequestIsFoundWithoutAHolder(t *testing.T) {
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
			o.attempt(t)
		}
		if o.ends > 6 || o.refusing() < len(o.nodes) {
			t.Errorf("%d endpoints ended, %d of %d nodes refuse it", o.ends, o.refusing(), len(o.nodes))
		}
	})
}

// A zone is cut off from the others. Its nodes find the request by what they see, the
// others know nothing of it; when the cut ends they have it from the rows.
func TestZoneThatIsCutOffCountsForItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOutbreak(t, 3, 2, 0)
		for _, n := range o.nodes {
			send, zone := n.send, n.Settings.Zone
			n.send = func(m news.Message, to ...string) {
				send(m, slices.DeleteFunc(to, func(addr string) bool { return o.nodes[addr].Settings.Zone != zone })...)
			}
		}
		o.only = "z1"
		for range 10 {
			o.attempt(t)
		}
		is.True(o.ends <= 6)
		is.Equal(o.refusing(), 2)
		o.readRows(t)
		is.Equal(o.refusing(), len(o.nodes))
	})
}

// A node starts while a request is quarantined, or all nodes do after all of them lost
// power. It refuses the request from its first reading of the rows on, which it needs
// before it is ready; a row that names no request changes nothing.
func TestStartingNodeKnowsQuarantinedRequests(t *testing.T) {
	is := is.New(t)
	p := newPaper(t, 1, 2, 0)
	n := p.nodes["z0-1"]
	o := &outbreak{paper: p}
	is.Equal(o.refusing(), 0)
	o.readRows(t)
	is.Equal(o.refusing(), 2)
	broken := []table.Row{{Table: table.TableLeases, Key: quarantinePrefix + "other", Version: 1, Value: []byte("{}")}}
	n.leaseRows.take(broken, 0)
	is.Equal(len(n.quarantine.Banned()), 1)
	is.Equal(n.leaseRows.owner(quarantinePrefix+"other"), "") // nor does it name a duty
}

// One endpoint of 22 requests ends. What the nodes tell of it is few messages, whatever
// the size of the fleet: some 22 nodes tell the holders of five zones, twice.
func TestEvidenceCostsFewMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOutbreak(t, 5, 59, 0)
		clear(o.sent)
		i := 0
		for _, n := range o.nodes {
			if i++; i > 22 {
				break
			}
			n.quarantine.Broke("e", "", quarantine.Of("org", "POST", "h", "/x", fmt.Append(nil, i)), uint32(i))
		}
		synctest.Wait()
		o.pass(time.Second)
		sum := 0
		for _, k := range o.sent {
			sum += k
		}
		if sum > 22*5*2 {
			t.Errorf("%d messages", sum)
		}
	})
}

// The store was away when a request was found: the first zone's holder writes its row once
// the store is back. An operator deletes the row to lift the quarantine: nobody writes it
// again, and every node lets the request go.
func TestRowOfAQuarantinedRequestIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{}
	n := testNode(store, clock.NewManual(clock.Instant(time.Hour)))
	n.holds = func(string) bool { return true }
	n.leaseRows.take([]table.Row{ownerRow("a", "me")}, 0)
	n.quarantine.Hear(quarantine.Message{Node: "x", Found: []quarantine.Verdict{{Fingerprint: harmful, Ends: 3, Attempts: 3}}})
	n.keepAllQuarantined()
	is.Equal(store.calls, 1)
	raw, err := json.Marshal(quarantine.Verdict{Fingerprint: harmful})
	is.NoErr(err)
	row := table.Row{Table: table.TableLeases, Key: quarantinePrefix + string(harmful), Version: 7, Value: raw}
	n.leaseRows.take([]table.Row{ownerRow("a", "me"), row}, 0)
	n.keepAllQuarantined()
	is.Equal(store.calls, 1)
	for range 3 { // it is deleted, and read so for seconds
		n.leaseRows.take([]table.Row{ownerRow("a", "me")}, 0)
		n.keepAllQuarantined()
		n.Clock.(*clock.Manual).Advance(4 * time.Second)
	}
	is.Equal(store.calls, 1)
	is.Equal(len(n.quarantine.Banned()), 0)
}
