package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// Organisation is a customer's caps over all nodes, in requests a second; 0
// means that there is none.
type Organisation struct {
	Name    fleet.Organisation
	Rate    float64
	Lookups float64
}

// Peer is another node.
type Peer struct {
	Node fleet.Node
	Dead bool // membership holds it for dead; it may live on beyond a cut
}

// Count is what an organisation asked of this node since the last tick.
type Count struct {
	Model, Lookups int
}

const (
	// bytesIn bounds what a node receives, in bytes a second with headers: each
	// of the N nodes sends at most bytesIn/N to each other.
	bytesIn = 8000.0
	// refreshEvery and refreshPerNode give the time between two tellings of a
	// claim that is not even: claims are told again so that lost messages do
	// no lasting harm.
	refreshEvery   = 10 * time.Second
	refreshPerNode = 500 * time.Millisecond
	// forgetAfter is after how many times that a claim that was not told again
	// is taken to be even.
	forgetAfter = 3
	// expireTurns is in how many ticks all beliefs are looked at for age.
	expireTurns = 16
)

// State is the pure part: claims, beliefs and shares of one node. It holds no
// clock, lock or goroutine.
type State struct {
	orgs     map[fleet.Organisation]*org
	byHash   map[uint32]*org
	inOrder  []*org
	peers    map[fleet.VM]Peer
	alive    int // peers that are not dead
	sequence uint64
	ticked   clock.Instant
	turn     int     // of ticks
	credit   float64 // bytes that may be sent
}

type org struct {
	name    fleet.Organisation
	hash    uint32
	model   meter
	lookups meter
	beliefs map[fleet.VM]belief // what was told; a node that told nothing claims an even part
	others  sums                // over the beliefs that count
	queued  bool                // in the order of things to tell
	told    clock.Instant
}

// belief is what a peer said last.
type belief struct {
	incarnation fleet.Incarnation
	sequence    uint64
	heard       clock.Instant
	model       level
	lookups     level
}

// newer reports whether a message of the given life and sequence is newer than
// what is believed.
func (b *belief) newer(i fleet.Incarnation, sequence uint64) bool {
	return i > b.incarnation || i == b.incarnation && sequence > b.sequence
}

// sums are what beliefs add up to. Each message changes a few of them; adding
// all up anew for each would cost a large fleet a per cent of a processor.
type sums struct {
	model, lookups       int64 // claims above one even part for each node
	overModel, overLooks int   // nodes that claim more than an even part
}

func (a *sums) add(b *belief, sign int64) {
	a.model += sign * (claimOf[b.model] - evenClaim)
	a.lookups += sign * (claimOf[b.lookups] - evenClaim)
	if b.model > evenLevel {
		a.overModel += int(sign)
	}
	if b.lookups > evenLevel {
		a.overLooks += int(sign)
	}
}

// counts reports whether a belief counts: its node is not dead and lives the
// life that told it. Another life began with even claims.
func (s *State) counts(vm fleet.VM, b *belief) bool {
	p, ok := s.peers[vm]
	return ok && !p.Dead && p.Node.Incarnation == b.incarnation
}

// believe replaces what is believed of a node.
func (s *State) believe(o *org, vm fleet.VM, b belief) {
	s.disbelieve(o, vm)
	o.beliefs[vm] = b
	if s.counts(vm, &b) {
		o.others.add(&b, 1)
	}
}

// disbelieve takes a node's claims to be even again.
func (s *State) disbelieve(o *org, vm fleet.VM) {
	old, known := o.beliefs[vm]
	if known && s.counts(vm, &old) {
		o.others.add(&old, -1)
	}
	delete(o.beliefs, vm)
}

// recount adds all beliefs up after the nodes have changed.
func (s *State) recount(o *org) {
	o.others = sums{}
	for vm, b := range o.beliefs {
		if s.counts(vm, &b) {
			o.others.add(&b, 1)
		}
	}
}

// NewState returns the state of a node that knows no other.
func NewState() *State {
	return &State{
		orgs:   make(map[fleet.Organisation]*org),
		byHash: make(map[uint32]*org),
		peers:  make(map[fleet.VM]Peer),
	}
}

// Configure takes the organisations of a new configuration.
func (s *State) Configure(orgs []Organisation) {
	known := s.orgs
	s.orgs = make(map[fleet.Organisation]*org, len(orgs))
	s.byHash = make(map[uint32]*org, len(orgs))
	s.inOrder = s.inOrder[:0]
	for _, c := range orgs {
		o := known[c.Name]
		if o == nil {
			o = &org{name: c.Name, hash: hashOf(c.Name), beliefs: make(map[fleet.VM]belief)}
			o.model.used, o.model.told = evenLevel, evenLevel
			o.lookups.used, o.lookups.told = evenLevel, evenLevel
		}
		o.model.cap, o.lookups.cap = c.Rate, c.Lookups
		s.orgs[c.Name], s.byHash[o.hash] = o, o
		s.inOrder = append(s.inOrder, o)
		s.reckon(o)
	}
}

// SetPeers takes the other nodes. When a node is new or back from the dead, all
// claims that were ever told are told again, even ones too: a node that comes
// back from beyond a cut may believe in a lower claim of before.
func (s *State) SetPeers(peers []Peer) {
	old := s.peers
	s.peers = make(map[fleet.VM]Peer, len(peers))
	s.alive = 0
	fresh := false
	for _, p := range peers {
		s.peers[p.Node.VM] = p
		if !p.Dead {
			s.alive++
			fresh = fresh || old[p.Node.VM] != p
		}
	}
	if maps.Equal(old, s.peers) {
		return
	}
	for _, o := range s.inOrder {
		o.queued = o.queued || fresh && o.told != 0
		maps.DeleteFunc(o.beliefs, func(vm fleet.VM, _ belief) bool {
			_, was := old[vm]
			_, is := s.peers[vm]
			return was && !is
		})
		s.recount(o)
		s.reckon(o)
	}
}

func (o *org) even() bool { return o.model.told == evenLevel && o.lookups.told == evenLevel }

// Receive takes a peer's message. Messages overtake each other: each claim
// counts only when it is newer than the one believed. A peer that membership
// has not told of yet counts as soon as it does.
func (s *State) Receive(now clock.Instant, from fleet.Node, m *Message) {
	for i := range m.Claims {
		c := &m.Claims[i]
		o := s.byHash[c.Organisation]
		if o == nil {
			continue
		}
		b := o.beliefs[from.VM]
		if !b.newer(from.Incarnation, m.Sequence) {
			continue
		}
		s.believe(o, from.VM, belief{from.Incarnation, m.Sequence, now, c.Model, c.Lookups})
		s.reckon(o)
	}
}

// Tick measures the demand, changes claims and returns the message to tell; nil
// when there is nothing to tell. count gives what was asked since the last
// tick.
func (s *State) Tick(now clock.Instant, count func(fleet.Organisation) Count) *Message {
	dt := TickEvery.Seconds()
	if s.ticked != 0 && now.After(s.ticked) {
		dt = now.Sub(s.ticked).Seconds()
	}
	s.ticked = now
	s.turn++
	for i, o := range s.inOrder {
		if i%expireTurns == s.turn%expireTurns {
			s.expire(now, o)
		}
		s.tick(now, o, count(o.name), dt)
	}
	return s.message(now, dt)
}

func (s *State) tick(now clock.Instant, o *org, c Count, dt float64) {
	nodes := len(s.peers) + 1
	model := o.model.tick(now, float64(c.Model), dt, nodes, o.others.overModel > 0)
	lookups := o.lookups.tick(now, float64(c.Lookups), dt, nodes, o.others.overLooks > 0)
	if model || lookups {
		o.queued = true
	}
	if !o.even() && now.Sub(o.told) >= s.refresh() {
		o.queued = true
	}
	s.reckon(o)
}

func (s *State) refresh() time.Duration {
	return max(refreshEvery, time.Duration(len(s.peers)+1)*refreshPerNode)
}

// tick reports whether the claim has to be told.
func (m *meter) tick(now clock.Instant, count, dt float64, nodes int, contended bool) bool {
	if m.cap <= 0 {
		m.used, m.told = evenLevel, evenLevel
		return false
	}
	m.measure(count, dt, nodes)
	if m.used < m.told && !m.pending && now.Sub(m.toldAt) >= Holdoff {
		m.used = m.told
	}
	want := m.wanted(nodes, contended)
	if !apart(want, m.told) && !(want == evenLevel && m.told != evenLevel) {
		return false
	}
	m.told, m.pending = want, true
	m.used = min(m.used, want)
	return true
}

// expire takes claims that were not told again for long to be even.
func (s *State) expire(now clock.Instant, o *org) {
	for vm, b := range o.beliefs {
		if now.Sub(b.heard) >= forgetAfter*s.refresh() {
			s.disbelieve(o, vm)
		}
	}
}

// message picks what to tell, longest untold first, within the bytes that may
// be sent.
func (s *State) message(now clock.Instant, dt float64) *Message {
	pace := bytesIn / float64(len(s.peers)+1)
	s.credit = min(s.credit+pace*dt, max(cost(worthClaims), min(cost(messageClaims), pace)))
	var due []*org
	for _, o := range s.inOrder {
		if o.queued {
			due = append(due, o)
		}
	}
	n := min(messageClaims, len(due))
	if n == 0 || s.alive == 0 || s.credit < cost(min(n, worthClaims)) {
		return nil
	}
	n = min(n, int((s.credit-cost(0))/claimBytes))
	slices.SortStableFunc(due, func(a, b *org) int { return cmp.Compare(a.told, b.told) })
	due = due[:n]
	s.sequence++
	m := &Message{Sequence: s.sequence, Claims: make([]Claim, len(due))}
	for i, o := range due {
		m.Claims[i] = Claim{Organisation: o.hash, Model: o.model.told, Lookups: o.lookups.told}
		o.queued, o.told = false, now
		o.model.sent(now)
		o.lookups.sent(now)
	}
	s.credit -= cost(n)
	return m
}

// sent notes that the others are told. A raised claim counts from then.
func (m *meter) sent(now clock.Instant) {
	if m.pending {
		m.pending, m.toldAt = false, now
	}
}

// reckon works out this node's shares of the organisation's caps.
func (s *State) reckon(o *org) {
	model, lookups := claimOf[o.model.used], claimOf[o.lookups.used]
	even := int64(s.alive) * evenClaim
	part := float64(s.alive+1) / float64(len(s.peers)+1) // what dead nodes may use beyond a cut is left to them
	o.model.share = part * float64(model) / float64(model+even+o.others.model)
	o.lookups.share = part * float64(lookups) / float64(lookups+even+o.others.lookups)
}

// Shares returns the parts, 0 to 1, of the organisation's caps that this node
// may use. Of an organisation that is not configured it has an even part.
func (s *State) Shares(name fleet.Organisation) (model, lookups float64) {
	o := s.orgs[name]
	if o == nil {
		even := 1 / float64(len(s.peers)+1)
		return even, even
	}
	return o.model.share, o.lookups.share
}
