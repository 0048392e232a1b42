package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// Event is an input of the state machine.
type Event interface{ event() }

// The events.
type (
	// Tick reports that time has passed; it occurs every Config.TickPeriod.
	Tick struct{}
	// Received is a message from a node that the link has authenticated.
	Received struct {
		From    fleet.Node
		Message *Message
	}
	// Seeds lists nodes that may be members, from the settings and the
	// platform. A seed is only a contact for joining and does not count as
	// alive.
	Seeds struct{ Nodes []Seed }
	// Announce changes the announced state of this node.
	Announce struct {
		Revision uint64
		Draining bool
		Payload  []byte
	}
	// Leave reports that this process stops. Nothing is sent after the messages
	// that its Step returns.
	Leave struct{}
)

func (Tick) event()     {}
func (Received) event() {}
func (Seeds) event()    {}
func (Announce) event() {}
func (Leave) event()    {}

// Seed is a node that may be a member. VM is empty if only its address is
// known.
type Seed struct {
	VM   fleet.VM
	Zone fleet.AvailabilityZone
	Addr string
}

// Action is an output that the adapter has to execute.
type Action interface{ action() }

// The actions.
type (
	// Send requests that a message be sent. An empty To stands for the node
	// that listens at Addr.
	Send struct {
		To      fleet.VM
		Addr    string
		Message *Message
	}
	// Changed reports that the result of Nodes has changed.
	Changed struct{}
	// Paused reports that this process did not run for Gap: its leases may have
	// expired and its knowledge of other nodes is stale.
	Paused struct{ Gap time.Duration }
	// Replaced reports that a process on this VM with a higher incarnation is a
	// member: other nodes consider this one dead.
	Replaced struct{ By fleet.Node }
)

func (Send) action()     {}
func (Changed) action()  {}
func (Paused) action()   {}
func (Replaced) action() {}

// member is an entry with this node's local bookkeeping.
type member struct {
	Entry
	statusSince    clock.Instant // start of the current status
	lastHeard      clock.Instant // newest message from the member itself; 0: none
	refuteDeadline clock.Instant // suspects: end of the time to refute
	suspectPings   uint          // suspects: pings sent since the suspicion
}

// State is one node's view of the membership. It is not safe for concurrent
// use.
type State struct {
	cfg     Config
	rng     *rand.Rand
	self    Entry
	hasLeft bool // Leave was processed

	members   map[fleet.VM]*member // all but self, by VM
	sortedVMs []fleet.VM           // keys of members
	suspects  []fleet.VM           // in the order in which they were suspected
	seeds     []Seed               // by VM and address
	pingOrder []fleet.VM           // reshuffled each time it is used up
	nextPing  int
	liveCount int // members that are alive or suspect
	digest    uint64
	changed   bool // the result of Nodes has changed since the last Step

	seq     uint64
	probes  []*probe
	relays  []relayedPing
	updates updateQueue

	lastTick, nextProbe, nextGossip, nextSync, nextAbsentSync, nextCleanup clock.Instant

	actions []Action
}

// New returns the state of a node that knows no others. All random choices are
// drawn from rng.
func New(self fleet.Node, zone fleet.AvailabilityZone, addr string, cfg Config, rng *rand.Rand) *State {
	s := &State{
		cfg: cfg, rng: rng, members: map[fleet.VM]*member{},
		self: Entry{VM: self.VM, Incarnation: self.Incarnation, Version: 1, Zone: zone, Addr: addr},
	}
	s.digest = s.self.hash()
	return s
}

// Step processes an event and returns the actions to execute. The slice is
// valid until the next Step.
func (s *State) Step(now clock.Instant, ev Event) []Action {
	s.actions, s.changed = s.actions[:0], false
	if s.hasLeft {
		return nil
	}
	switch e := ev.(type) {
	case Tick:
		s.tick(now)
	case Received:
		s.receive(now, e.From, e.Message)
	case Seeds:
		s.setSeeds(e.Nodes)
	case Announce:
		s.announce(e)
	case Leave:
		s.leave()
	}
	if s.changed {
		s.addAction(Changed{})
	}
	return s.actions
}

// Self returns this node's entry.
func (s *State) Self() Entry { return s.self }

// LiveCount returns the number of other members that are alive or suspect.
func (s *State) LiveCount() int { return s.liveCount }

// Nodes returns the known state of all other members, by VM.
func (s *State) Nodes() []view.Node {
	out := make([]view.Node, 0, len(s.sortedVMs))
	for _, vm := range s.sortedVMs {
		m := s.members[vm]
		out = append(out, view.Node{
			Node: m.Node(), Zone: m.Zone, Addr: m.Addr, State: m.Status.NodeState(),
			StateSince: m.statusSince, LastHeard: m.lastHeard, Revision: m.Revision, Draining: m.Draining,
		})
	}
	return out
}

// Payload returns the member's payload, or nil if the VM is not a member.
func (s *State) Payload(vm fleet.VM) []byte {
	if m := s.members[vm]; m != nil {
		return m.Entry.Payload
	}
	return nil
}

func (s *State) addAction(a Action) { s.actions = append(s.actions, a) }

func (s *State) tick(now clock.Instant) {
	switch gap := now.Sub(s.lastTick); {
	case s.lastTick == 0:
		s.schedulePeriodicWork(now)
	case gap > maxMissedTicks*s.cfg.TickPeriod:
		s.resumeAfterPause(gap)
	}
	s.lastTick = now
	s.checkProbes(now)
	s.expireSuspects(now)
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(s.cfg.PingPeriod)
		s.pingNext(now)
	}
	if !now.Before(s.nextGossip) {
		s.nextGossip = now.Add(s.cfg.GossipPeriod)
		s.gossip()
	}
	if !now.Before(s.nextSync) {
		s.nextSync = now.Add(s.cfg.SyncPeriod)
		s.syncRandom()
	}
	if !now.Before(s.nextAbsentSync) {
		s.nextAbsentSync = now.Add(s.contactPeriod())
		s.syncAbsent()
	}
	if !now.Before(s.nextCleanup) {
		s.nextCleanup = now.Add(time.Minute)
		s.removeExpired(now)
	}
}

// schedulePeriodicWork draws random phases for the periodic work, so that nodes
// that start together do not run in lockstep.
func (s *State) schedulePeriodicWork(now clock.Instant) {
	phase := func(d time.Duration) clock.Instant { return now.Add(time.Duration(s.rng.Int64N(int64(d)))) }
	s.nextProbe = phase(s.cfg.PingPeriod)
	s.nextGossip = phase(s.cfg.GossipPeriod)
	s.nextSync = phase(s.cfg.SyncPeriod)
	s.nextAbsentSync = now
	s.nextCleanup = now
}

// maxMissedTicks is the number of tick periods between two ticks above which
// this process counts as paused and deadlines are extended by the gap. The pause
// is reported only if it exceeds Config.PauseThreshold.
const maxMissedTicks = 3

// resumeAfterPause extends the deadlines of pings and suspects by the gap. Acks
// that arrived during the pause have not been read yet and suspects could not
// refute to a paused process: otherwise this node would declare the whole fleet
// dead on resuming. After a long pause it also bumps its version, to refute a
// suspicion or death that others have recorded.
func (s *State) resumeAfterPause(gap time.Duration) {
	for _, p := range s.probes {
		p.sentAt = p.sentAt.Add(gap)
	}
	for _, vm := range s.suspects {
		m := s.members[vm]
		m.refuteDeadline = m.refuteDeadline.Add(gap)
	}
	if gap > s.cfg.PauseThreshold {
		s.bumpVersion(urgent)
		s.addAction(Paused{Gap: gap})
	}
}

// bumpVersion raises the version of this node's entry and queues it for
// sending.
func (s *State) bumpVersion(p priority) {
	s.digest ^= s.self.hash()
	s.self.Version++
	s.digest ^= s.self.hash()
	s.updates.add(s.self.VM, p)
}

func (s *State) announce(e Announce) {
	p := normal
	if e.Draining != s.self.Draining {
		p = urgent
	}
	s.self.Revision, s.self.Draining, s.self.Payload = e.Revision, e.Draining, e.Payload
	s.bumpVersion(p)
}

func (s *State) setSeeds(seeds []Seed) {
	s.seeds = s.seeds[:0]
	for _, seed := range seeds {
		if seed.VM != s.self.VM && seed.Addr != "" && seed.Addr != s.self.Addr {
			s.seeds = append(s.seeds, seed)
		}
	}
	slices.SortFunc(s.seeds, func(a, b Seed) int { return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Addr, b.Addr)) })
}

// maxLeaveRecipients is the number of members that are notified directly when
// this node leaves.
const maxLeaveRecipients = 8

func (s *State) leave() {
	s.self.Status = Left
	s.self.Version++
	for _, m := range s.randomAlive(maxLeaveRecipients, "") {
		s.send(m, &Message{Kind: KindGossip})
	}
	s.hasLeft = true
}

// removeExpired deletes members that have been dead or left for longer than
// their retention.
func (s *State) removeExpired(now clock.Instant) {
	s.sortedVMs = slices.DeleteFunc(s.sortedVMs, func(vm fleet.VM) bool {
		m := s.members[vm]
		age := now.Sub(m.statusSince)
		gone := (m.Status == Dead && age > s.cfg.DeadRetention) || (m.Status == Left && age > s.cfg.LeftRetention)
		if gone {
			delete(s.members, vm)
			s.changed = true
		}
		return gone
	})
}
