package view

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// Topics of the messages between nodes.
const (
	TopicZone   = "view.zone"   // endpoint states and group rows, to the nodes of the own zone
	TopicRemote = "view.remote" // summaries of groups and services, to the nodes of other zones
)

// digest is one message. Times are sent as ages in milliseconds at the time of
// sending, because clock readings are not comparable between VMs.
type digest struct {
	_              struct{} `cbor:",toarray"`
	Uptime         uint64   // milliseconds since the sender started, to detect delayed messages
	Endpoints      []wireEndpoint
	Unchanged      []wireUnchanged
	Failing        []wireFailing
	Loads          []wireLoad
	Rows           []wireRow
	Groups         []wireSummary
	SummaryUpdates []wireSummaryState
	LeavingMarks   []wireLeavingMark
	// WantList requests the VM list; ListAge and Records carry the answer.
	// WantFull requests everything that the recipient reports on.
	WantList bool
	WantFull bool
	ListAge  uint32
	Records  []wireRecord
}

// wireRecord is a row of the platform's list of VMs.
type wireRecord struct {
	_            struct{} `cbor:",toarray"`
	VM           fleet.VM
	Kind         fleet.Kind
	Addr         string
	Caller       string
	Service      string
	Zone         fleet.AvailabilityZone
	Domain       fleet.FabricDomain
	Accelerators int
	State        fleet.State
}

// wireEndpoint is the full state of an endpoint from its newest probe.
type wireEndpoint struct {
	_        struct{} `cbor:",toarray"`
	State    wireState
	Age      uint32
	RTT      uint32 // microseconds
	Leaving  bool   // this boot is leaving
	Answered bool   // false: the endpoint has never answered
}

type wireState struct {
	_          struct{} `cbor:",toarray"`
	VM         fleet.VM
	Boot       fleet.BootID
	Fence      fleet.Fence
	Group      fleet.GroupID
	Generation fleet.Generation
	Rank       int
	Model      string
	Version    string
	Adapters   []string
	Loaded     bool
	Leaving    bool
}

// wireUnchanged confirms that an endpoint's newest probe found the state with
// the hash.
type wireUnchanged struct {
	_    struct{} `cbor:",toarray"`
	VM   uint32   // short hash
	Hash uint64   // of the state
	Age  uint32
}

// wireFailing reports an endpoint that does not answer probes.
type wireFailing struct {
	_        struct{} `cbor:",toarray"`
	VM       uint32   // short hash
	Age      uint32   // time since the first failure
	Failures int
}

type wireLoad struct {
	_         struct{} `cbor:",toarray"`
	VM        uint32   // short hash
	Boot      uint32   // short hash
	Sequence  uint64
	Age       uint32
	Running   int
	Waiting   int
	CacheUsed float32
	Tokens    float32
	Slots     int
}

// wireRow is a row of the groups table.
type wireRow struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Group   wireGroup
}

type wireGroup struct {
	_          struct{} `cbor:",toarray"`
	ID         fleet.GroupID
	Spec       string
	Generation fleet.Generation
	Phase      fleet.Phase
	Zone       fleet.AvailabilityZone
	Domain     fleet.FabricDomain
	Model      string
	Version    string
	Adapters   []string
	Members    []wireMember
	Reason     string
}

type wireMember struct {
	_     struct{} `cbor:",toarray"`
	VM    fleet.VM
	Boot  fleet.BootID
	Addr  string
	Rank  int
	Fence fleet.Fence
}

// wireSummary is the summary of a group for other zones; it lists only the
// first member.
type wireSummary struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Group   wireGroup
	State   wireSummaryState
	Fault   string
}

// wireSummaryState is the frequently changing part of a summary.
type wireSummaryState struct {
	_        struct{} `cbor:",toarray"`
	ID       uint32   // short hash
	Hash     uint32   // of the rest of the summary
	Whole    bool
	FreshFor uint32 // time until the members' probes expire
	Running  int
	Waiting  int
	Slots    int
	LoadAge  uint32
}

type wireLeavingMark struct {
	_    struct{} `cbor:",toarray"`
	VM   fleet.VM
	Boot fleet.BootID
}

func encode(d *digest) []byte {
	b, err := cbor.Marshal(d)
	if err != nil { // every field is a number, a string or a list of them
		panic(err)
	}
	return b
}

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 65536, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

func decode(b []byte) (*digest, error) {
	var d digest
	if err := decoder.Unmarshal(b, &d); err != nil {
		return nil, fmt.Errorf("view: cannot decode peer digest: %w", err)
	}
	return &d, nil
}

// ageMillis returns the age of at in milliseconds, rounded up: a fact may look
// older than it is, never younger.
func ageMillis(now, at clock.Instant) uint32 {
	return uint32(max(0, (now.Sub(at)+time.Millisecond-1)/time.Millisecond))
}

func toWireState(s *fleet.EngineState) wireState {
	return wireState{
		VM: s.VM, Boot: s.Boot, Fence: s.Fence, Group: s.Group, Generation: s.Generation, Rank: s.Rank,
		Model: s.Model, Version: s.Version, Adapters: s.Adapters, Loaded: s.Loaded, Leaving: s.Leaving,
	}
}

func (w *wireState) state() fleet.EngineState {
	return fleet.EngineState{
		VM: w.VM, Boot: w.Boot, Fence: w.Fence, Group: w.Group, Generation: w.Generation, Rank: w.Rank,
		Model: w.Model, Version: w.Version, Adapters: w.Adapters, Loaded: w.Loaded, Leaving: w.Leaving,
	}
}

func toWireRecord(r *fleet.Record) wireRecord {
	return wireRecord{
		VM: r.VM, Kind: r.Kind, Addr: r.Addr, Caller: r.CallerAddr, Service: r.Service,
		Zone: r.Zone, Domain: r.Domain, Accelerators: r.Accelerators, State: r.State,
	}
}

func (w *wireRecord) record() fleet.Record {
	return fleet.Record{
		VM: w.VM, Kind: w.Kind, Addr: w.Addr, CallerAddr: w.Caller, Service: w.Service,
		Zone: w.Zone, Domain: w.Domain, Accelerators: w.Accelerators, State: w.State,
	}
}

func toWireGroup(g *fleet.Group, members int) wireGroup {
	w := wireGroup{
		ID: g.ID, Spec: g.Spec, Generation: g.Generation, Phase: g.Phase, Zone: g.Zone, Domain: g.Domain,
		Model: g.Model, Version: g.Version, Adapters: g.Adapters, Reason: g.Reason,
	}
	for i := range g.Members[:min(members, len(g.Members))] {
		m := &g.Members[i]
		w.Members = append(w.Members, wireMember{VM: m.VM, Boot: m.Boot, Addr: m.Addr, Rank: m.Rank, Fence: m.Fence})
	}
	return w
}

func (w *wireGroup) group() fleet.Group {
	g := fleet.Group{
		ID: w.ID, Spec: w.Spec, Generation: w.Generation, Phase: w.Phase, Zone: w.Zone, Domain: w.Domain,
		Model: w.Model, Version: w.Version, Adapters: w.Adapters, Reason: w.Reason,
	}
	for i := range w.Members {
		m := &w.Members[i]
		g.Members = append(g.Members, fleet.Member{VM: m.VM, Boot: m.Boot, Addr: m.Addr, Rank: m.Rank, Fence: m.Fence})
	}
	return g
}

func toWireLoad(l *fleet.Load, at, now clock.Instant) wireLoad {
	return wireLoad{
		VM: shortHash(string(l.VM)), Boot: shortHash(string(l.Boot)), Sequence: l.Sequence, Age: ageMillis(now, at), Running: l.Running, Waiting: l.Waiting,
		CacheUsed: float32(l.CacheUsed), Tokens: float32(l.TokensPerSecond), Slots: l.Slots,
	}
}

func (w *wireLoad) load(vm fleet.VM, boot fleet.BootID) fleet.Load {
	return fleet.Load{
		VM: vm, Boot: boot, Sequence: w.Sequence, AgeMillis: int64(w.Age), Running: w.Running, Waiting: w.Waiting,
		CacheUsed: float64(w.CacheUsed), TokensPerSecond: float64(w.Tokens), Slots: w.Slots,
	}
}

// shortHash identifies a VM or group in digests. VMs whose hashes collide are
// updated only by messages that carry the full name.
func shortHash(s string) uint32 { return uint32(xxhash.Sum64String(s)) }

// stateHash returns a hash that is equal on all nodes for equal states.
func stateHash(s *fleet.EngineState) uint64 {
	var d xxhash.Digest
	d.Reset()
	str := func(s string) {
		var n [4]byte
		binary.LittleEndian.PutUint32(n[:], uint32(len(s)))
		_, _ = d.Write(n[:]) // hash.Hash.Write never returns an error
		_, _ = d.WriteString(s)
	}
	str(string(s.VM))
	str(string(s.Boot))
	str(string(s.Group))
	str(s.Model)
	str(s.Version)
	for _, a := range s.Adapters {
		str(a)
	}
	var n [26]byte
	binary.LittleEndian.PutUint64(n[0:], uint64(s.Fence))
	binary.LittleEndian.PutUint64(n[8:], uint64(s.Generation))
	binary.LittleEndian.PutUint64(n[16:], uint64(s.Rank))
	n[24], n[25] = boolBit(s.Loaded), boolBit(s.Leaving)
	_, _ = d.Write(n[:])
	return d.Sum64()
}

func boolBit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// summaryHash covers the fields of a summary outside wireSummaryState.
func summaryHash(w *wireSummary) uint32 {
	c := *w
	c.State = wireSummaryState{}
	b, err := cbor.Marshal(&c)
	if err != nil { // see encode
		panic(err)
	}
	return uint32(xxhash.Sum64(b))
}
