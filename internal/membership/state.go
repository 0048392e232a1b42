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

// Event is something that happened to this node.
type Event interface{ event() }

// The events.
type (
	// Tick says that time has passed; it comes every Config.TickPeriod.
	Tick struct{}
	// Received is a message from a node that the link has authenticated.
	Received struct {
		From    fleet.Node
		Message *Message
	}
	// Seeds names nodes that may be members: the settings' and the platform's
	// lists. A seed is asked to let this node join; it is no proof of life.
	Seeds struct{ Nodes []Seed }
	// Announce changes what this node says of itself.
	Announce struct {
		Revision uint64
		Draining bool
		Payload  []byte
	}
	// Leave says that this process ends. Nothing is sent after the messages
	// that it returns.
	Leave struct{}
)

func (Tick) event()     {}
func (Received) event() {}
func (Seeds) event()    {}
func (Announce) event() {}
func (Leave) event()    {}

// Seed is a node that may be a member. VM is empty when only its address is
// known.
type Seed struct {
	VM   fleet.VM
	Zone fleet.AvailabilityZone
	Addr string
}

// Action is something that the adapter has to do.
type Action interface{ action() }

// The actions.
type (
	// Send asks for a message to be sent. An empty To stands for whoever answers
	// at Addr.
	Send struct {
		To      fleet.VM
		Addr    string
		Message *Message
	}
	// Changed says that Nodes returns something new.
	Changed struct{}
	// Paused says that this process did not run for Gap: leases may have lapsed
	// and what it believed of others is old.
	Paused struct{ Gap time.Duration }
	// Replaced says that another process with this VM's name and a higher
	// incarnation is a member: the others take this one for dead.
	Replaced struct{ By fleet.Node }
)

func (Send) action()     {}
func (Changed) action()  {}
func (Paused) action()   {}
func (Replaced) action() {}

// member is an entry with what this node adds to it.
type member struct {
	Entry
	since  clock.Instant // of the status
	heard  clock.Instant // newest direct word; 0: none
	refute clock.Instant // suspects: when the time to refute ends
	asked  uint          // suspects: pings since the suspicion
}

// State is one node's belief of the membership. It is not safe for concurrent
// use.
type State struct {
	cfg  Config
	rng  *rand.Rand
	self Entry
	over bool // Leave was seen

	members  map[fleet.VM]*member // all but self
	names    []fleet.VM           // keys of members in order
	suspects []fleet.VM           // in the order in which they were suspected
	seeds    []Seed               // by VM and address
	round    []fleet.VM           // ping order; shuffled each time it is used up
	next     int
	live     int // members that are alive or suspect
	digest   uint64
	changed  bool // Nodes returns something new since the last Step

	seq    uint64
	probes []*probe
	relays []relayed
	news   newsQueue

	lastTick, nextProbe, nextGossip, nextSync, nextDead, nextSweep clock.Instant

	actions []Action
}

// New returns the state of a node that knows nobody yet. All choices are drawn
// from rng.
func New(self fleet.Node, zone fleet.AvailabilityZone, addr string, cfg Config, rng *rand.Rand) *State {
	s := &State{
		cfg: cfg, rng: rng, members: map[fleet.VM]*member{},
		self: Entry{VM: self.VM, Incarnation: self.Incarnation, Version: 1, Zone: zone, Addr: addr},
	}
	s.digest = s.self.digest()
	return s
}

// Step takes an event and returns what is to be done. The slice is valid until
// the next Step.
func (s *State) Step(now clock.Instant, ev Event) []Action {
	s.actions, s.changed = s.actions[:0], false
	if s.over {
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
		s.do(Changed{})
	}
	return s.actions
}

// Self returns this node's entry.
func (s *State) Self() Entry { return s.self }

// Live returns how many other members are alive or suspect.
func (s *State) Live() int { return s.live }

// Nodes returns what is believed of all other members, by VM.
func (s *State) Nodes() []view.Node {
	out := make([]view.Node, 0, len(s.names))
	for _, vm := range s.names {
		m := s.members[vm]
		out = append(out, view.Node{
			Node: m.Node(), Zone: m.Zone, Addr: m.Addr, State: m.Status.View(),
			Since: m.since, Heard: m.heard, Revision: m.Revision, Draining: m.Draining,
		})
	}
	return out
}

// Payload returns the member's payload, nil when the VM is not a member.
func (s *State) Payload(vm fleet.VM) []byte {
	if m := s.members[vm]; m != nil {
		return m.Entry.Payload
	}
	return nil
}

func (s *State) do(a Action) { s.actions = append(s.actions, a) }

func (s *State) tick(now clock.Instant) {
	switch gap := now.Sub(s.lastTick); {
	case s.lastTick == 0:
		s.start(now)
	case gap > lateTicks*s.cfg.TickPeriod:
		s.wake(gap)
	}
	s.lastTick = now
	s.checkProbes(now)
	s.expireSuspects(now)
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(s.cfg.Period)
		s.probeNext(now)
	}
	if !now.Before(s.nextGossip) {
		s.nextGossip = now.Add(s.cfg.GossipPeriod)
		s.gossip()
	}
	if !now.Before(s.nextSync) {
		s.nextSync = now.Add(s.cfg.SyncPeriod)
		s.syncRandom()
	}
	if !now.Before(s.nextDead) {
		s.nextDead = now.Add(s.deadPeriod())
		s.tryAbsent()
	}
	if !now.Before(s.nextSweep) {
		s.nextSweep = now.Add(time.Minute)
		s.sweep(now)
	}
}

// start draws the phases of the periodic work, so that nodes that start
// together don't work in step.
func (s *State) start(now clock.Instant) {
	phase := func(d time.Duration) clock.Instant { return now.Add(time.Duration(s.rng.Int64N(int64(d)))) }
	s.nextProbe = phase(s.cfg.Period)
	s.nextGossip = phase(s.cfg.GossipPeriod)
	s.nextSync = phase(s.cfg.SyncPeriod)
	s.nextDead = now
	s.nextSweep = now
}

// lateTicks is how many tick periods may lie between two ticks before the time
// between them counts as time in which this process did not run.
const lateTicks = 3

// wake is run after a pause. Acks that came during it have not been read yet,
// and suspects had no chance to refute to a process that did not run: without
// this a node would declare the whole fleet dead as it wakes. After a long pause
// the raised version refutes what the others have come to think of this node.
func (s *State) wake(gap time.Duration) {
	for _, p := range s.probes {
		p.sent = p.sent.Add(gap)
	}
	for _, vm := range s.suspects {
		m := s.members[vm]
		m.refute = m.refute.Add(gap)
	}
	if gap > s.cfg.PauseLimit {
		s.raise(urgent)
		s.do(Paused{Gap: gap})
	}
}

// raise makes a new version of this node's entry and spreads it.
func (s *State) raise(p priority) {
	s.digest ^= s.self.digest()
	s.self.Version++
	s.digest ^= s.self.digest()
	s.news.add(s.self.VM, p)
}

func (s *State) announce(e Announce) {
	p := minor
	if e.Draining != s.self.Draining {
		p = urgent
	}
	s.self.Revision, s.self.Draining, s.self.Payload = e.Revision, e.Draining, e.Payload
	s.raise(p)
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

// leavers is how many members are told directly that this node leaves.
const leavers = 8

func (s *State) leave() {
	s.self.Status = Left
	s.self.Version++
	for _, m := range s.pick(leavers, "") {
		s.send(m, &Message{Kind: KindGossip})
	}
	s.over = true
}

// sweep forgets members that have been gone for long.
func (s *State) sweep(now clock.Instant) {
	s.names = slices.DeleteFunc(s.names, func(vm fleet.VM) bool {
		m := s.members[vm]
		age := now.Sub(m.since)
		gone := (m.Status == Dead && age > s.cfg.ForgetDead) || (m.Status == Left && age > s.cfg.ForgetLeft)
		if gone {
			delete(s.members, vm)
			s.changed = true
		}
		return gone
	})
}
