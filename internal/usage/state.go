package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// Organisation holds an organisation's caps over all nodes, in requests per
// second; 0: no cap.
type Organisation struct {
	Name    fleet.Organisation
	Rate    float64
	Lookups float64
}

// Peer is another node.
type Peer struct {
	Node fleet.Node
	Dead bool // declared dead by membership, but possibly alive beyond a partition
}

// Count is the number of an organisation's requests at this node since the last
// tick.
type Count struct {
	Model, Lookups int
}

const (
	// maxReceiveBytesPerSecond bounds the traffic that a node receives, headers
	// included: each of the N nodes sends at most maxReceiveBytesPerSecond/N to
	// each other node.
	maxReceiveBytesPerSecond = 8000.0
	// A claim that is not even is repeated every minRefreshInterval, or every
	// refreshIntervalPerNode times the number of nodes if that is longer, so
	// that lost messages have no lasting effect.
	minRefreshInterval     = 10 * time.Second
	refreshIntervalPerNode = 500 * time.Millisecond
	// expireAfterRefreshes is the number of refresh intervals without a message
	// after which a peer's claim is taken to be even.
	expireAfterRefreshes = 3
	// expireTicks is the number of ticks in which all peer claims are checked
	// for expiry once.
	expireTicks = 16
)

// State is the decision logic of one node: its claims, the known claims of its
// peers and its shares. It holds no clock, lock or goroutine.
type State struct {
	orgs       map[fleet.Organisation]*org
	byHash     map[uint32]*org
	ordered    []*org
	peers      map[fleet.VM]Peer
	alive      int // peers not declared dead
	sequence   uint64
	lastTick   clock.Instant
	tickCount  int     // number of ticks
	sendCredit float64 // bytes that may be sent
}

type org struct {
	name        fleet.Organisation
	hash        uint32
	model       meter
	lookups     meter
	peerClaims  map[fleet.VM]peerClaim // received claims; a peer without an entry claims an even share
	peerSums    claimSums              // sums over the active peer claims
	isQueued    bool                   // waits to be announced
	announcedAt clock.Instant
}

// peerClaim is the newest claim received from a peer.
type peerClaim struct {
	incarnation fleet.Incarnation
	sequence    uint64
	receivedAt  clock.Instant
	model       level
	lookups     level
}

// isOlderThan reports whether a message of the given incarnation and sequence
// is newer than the claim.
func (b *peerClaim) isOlderThan(i fleet.Incarnation, sequence uint64) bool {
	return i > b.incarnation || i == b.incarnation && sequence > b.sequence
}

// claimSums are the sums of the active peer claims. They are updated
// incrementally, because recomputing them for each message would use about one
// per cent of a processor in a large fleet.
type claimSums struct {
	model, lookups                   int64 // claims in excess of one even share for each node
	modelAboveEven, lookupsAboveEven int   // number of nodes that claim more than an even share
}

func (a *claimSums) add(b *peerClaim, sign int64) {
	a.model += sign * (claimOfLevel[b.model] - evenClaim)
	a.lookups += sign * (claimOfLevel[b.lookups] - evenClaim)
	if b.model > evenLevel {
		a.modelAboveEven += int(sign)
	}
	if b.lookups > evenLevel {
		a.lookupsAboveEven += int(sign)
	}
}

// isActive reports whether a claim is included in the sums: its node is not
// dead and still has the incarnation that sent it. A new incarnation starts
// with even claims.
func (s *State) isActive(vm fleet.VM, b *peerClaim) bool {
	p, ok := s.peers[vm]
	return ok && !p.Dead && p.Node.Incarnation == b.incarnation
}

// setPeerClaim replaces the claim of a peer.
func (s *State) setPeerClaim(o *org, vm fleet.VM, b peerClaim) {
	s.removePeerClaim(o, vm)
	o.peerClaims[vm] = b
	if s.isActive(vm, &b) {
		o.peerSums.add(&b, 1)
	}
}

// removePeerClaim resets a peer's claim to even.
func (s *State) removePeerClaim(o *org, vm fleet.VM) {
	old, known := o.peerClaims[vm]
	if known && s.isActive(vm, &old) {
		o.peerSums.add(&old, -1)
	}
	delete(o.peerClaims, vm)
}

// recomputeSums rebuilds the sums after the set of peers has changed.
func (s *State) recomputeSums(o *org) {
	o.peerSums = claimSums{}
	for vm, b := range o.peerClaims {
		if s.isActive(vm, &b) {
			o.peerSums.add(&b, 1)
		}
	}
}

// NewState returns the state of a node without peers or organisations.
func NewState() *State {
	return &State{
		orgs:   make(map[fleet.Organisation]*org),
		byHash: make(map[uint32]*org),
		peers:  make(map[fleet.VM]Peer),
	}
}

// Configure sets the organisations of a new configuration. Organisations that
// were known keep their claims.
func (s *State) Configure(orgs []Organisation) {
	known := s.orgs
	s.orgs = make(map[fleet.Organisation]*org, len(orgs))
	s.byHash = make(map[uint32]*org, len(orgs))
	s.ordered = s.ordered[:0]
	for _, c := range orgs {
		o := known[c.Name]
		if o == nil {
			o = &org{name: c.Name, hash: organisationHash(c.Name), peerClaims: make(map[fleet.VM]peerClaim)}
			o.model.activeLevel, o.model.announcedLevel = evenLevel, evenLevel
			o.lookups.activeLevel, o.lookups.announcedLevel = evenLevel, evenLevel
		}
		o.model.cap, o.lookups.cap = c.Rate, c.Lookups
		s.orgs[c.Name], s.byHash[o.hash] = o, o
		s.ordered = append(s.ordered, o)
		s.updateShares(o)
	}
}

// SetPeers sets the other nodes. When a peer is new or alive again, all claims
// that were ever announced are announced again, even ones included: a peer that
// returns from a partition may still hold an earlier, lower claim.
func (s *State) SetPeers(peers []Peer) {
	old := s.peers
	s.peers = make(map[fleet.VM]Peer, len(peers))
	s.alive = 0
	resend := false
	for _, p := range peers {
		s.peers[p.Node.VM] = p
		if !p.Dead {
			s.alive++
			resend = resend || old[p.Node.VM] != p
		}
	}
	if maps.Equal(old, s.peers) {
		return
	}
	for _, o := range s.ordered {
		o.isQueued = o.isQueued || resend && o.announcedAt != 0
		maps.DeleteFunc(o.peerClaims, func(vm fleet.VM, _ peerClaim) bool {
			_, was := old[vm]
			_, is := s.peers[vm]
			return was && !is
		})
		s.recomputeSums(o)
		s.updateShares(o)
	}
}

func (o *org) isEven() bool {
	return o.model.announcedLevel == evenLevel && o.lookups.announcedLevel == evenLevel
}

// Receive processes a peer's message. Messages may arrive out of order: each
// claim is adopted only if it is newer than the known one. The claims of a node
// that is not a peer yet become active once membership reports it.
func (s *State) Receive(now clock.Instant, from fleet.Node, m *Message) {
	for i := range m.Claims {
		c := &m.Claims[i]
		o := s.byHash[c.Organisation]
		if o == nil {
			continue
		}
		b := o.peerClaims[from.VM]
		if !b.isOlderThan(from.Incarnation, m.Sequence) {
			continue
		}
		s.setPeerClaim(o, from.VM, peerClaim{from.Incarnation, m.Sequence, now, c.Model, c.Lookups})
		s.updateShares(o)
	}
}

// Tick measures the demand, adjusts the claims and returns the message to
// broadcast, or nil if there is nothing to announce. count returns the requests
// since the last tick.
func (s *State) Tick(now clock.Instant, count func(fleet.Organisation) Count) *Message {
	dt := TickInterval.Seconds()
	if s.lastTick != 0 && now.After(s.lastTick) {
		dt = now.Sub(s.lastTick).Seconds()
	}
	s.lastTick = now
	s.tickCount++
	for i, o := range s.ordered {
		if i%expireTicks == s.tickCount%expireTicks {
			s.expirePeerClaims(now, o)
		}
		s.tickOrg(now, o, count(o.name), dt)
	}
	return s.buildMessage(now, dt)
}

func (s *State) tickOrg(now clock.Instant, o *org, c Count, dt float64) {
	nodes := len(s.peers) + 1
	model := o.model.tick(now, float64(c.Model), dt, nodes, o.peerSums.modelAboveEven > 0)
	lookups := o.lookups.tick(now, float64(c.Lookups), dt, nodes, o.peerSums.lookupsAboveEven > 0)
	if model || lookups {
		o.isQueued = true
	}
	if !o.isEven() && now.Sub(o.announcedAt) >= s.refreshInterval() {
		o.isQueued = true
	}
	s.updateShares(o)
}

func (s *State) refreshInterval() time.Duration {
	return max(minRefreshInterval, time.Duration(len(s.peers)+1)*refreshIntervalPerNode)
}

// tick updates the claim and reports whether it has to be announced.
func (m *meter) tick(now clock.Instant, count, dt float64, nodes int, contended bool) bool {
	if m.cap <= 0 {
		m.activeLevel, m.announcedLevel = evenLevel, evenLevel
		return false
	}
	m.updateDemand(count, dt, nodes)
	if m.activeLevel < m.announcedLevel && !m.isUnsent && now.Sub(m.announcedAt) >= Holdoff {
		m.activeLevel = m.announcedLevel
	}
	target := m.targetLevel(nodes, contended)
	if !differsBeyondTolerance(target, m.announcedLevel) && !(target == evenLevel && m.announcedLevel != evenLevel) {
		return false
	}
	m.announcedLevel, m.isUnsent = target, true
	m.activeLevel = min(m.activeLevel, target)
	return true
}

// expirePeerClaims resets the claims to even that have not been repeated in
// time.
func (s *State) expirePeerClaims(now clock.Instant, o *org) {
	for vm, b := range o.peerClaims {
		if now.Sub(b.receivedAt) >= expireAfterRefreshes*s.refreshInterval() {
			s.removePeerClaim(o, vm)
		}
	}
}

// buildMessage collects the claims to announce, least recently announced first,
// within the send credit.
func (s *State) buildMessage(now clock.Instant, dt float64) *Message {
	bytesPerSecond := maxReceiveBytesPerSecond / float64(len(s.peers)+1)
	s.sendCredit = min(s.sendCredit+bytesPerSecond*dt, max(messageCost(minClaimsPerMessage), min(messageCost(maxClaimsPerMessage), bytesPerSecond)))
	var due []*org
	for _, o := range s.ordered {
		if o.isQueued {
			due = append(due, o)
		}
	}
	n := min(maxClaimsPerMessage, len(due))
	if n == 0 || s.alive == 0 || s.sendCredit < messageCost(min(n, minClaimsPerMessage)) {
		return nil
	}
	n = min(n, int((s.sendCredit-messageCost(0))/claimBytes))
	slices.SortStableFunc(due, func(a, b *org) int { return cmp.Compare(a.announcedAt, b.announcedAt) })
	due = due[:n]
	s.sequence++
	m := &Message{Sequence: s.sequence, Claims: make([]Claim, len(due))}
	for i, o := range due {
		m.Claims[i] = Claim{Organisation: o.hash, Model: o.model.announcedLevel, Lookups: o.lookups.announcedLevel}
		o.isQueued, o.announcedAt = false, now
		o.model.markSent(now)
		o.lookups.markSent(now)
	}
	s.sendCredit -= messageCost(n)
	return m
}

// markSent records that the claim was sent; Holdoff for a raised claim starts
// now.
func (m *meter) markSent(now clock.Instant) {
	if m.isUnsent {
		m.isUnsent, m.announcedAt = false, now
	}
}

// updateShares computes this node's shares of the organisation's caps.
func (s *State) updateShares(o *org) {
	model, lookups := claimOfLevel[o.model.activeLevel], claimOfLevel[o.lookups.activeLevel]
	even := int64(s.alive) * evenClaim
	part := float64(s.alive+1) / float64(len(s.peers)+1) // reserves an even share for each dead peer, which may be alive beyond a partition
	o.model.share = part * float64(model) / float64(model+even+o.peerSums.model)
	o.lookups.share = part * float64(lookups) / float64(lookups+even+o.peerSums.lookups)
}

// Shares returns the parts, 0 to 1, of the organisation's caps that this node
// may use. For an organisation that is not configured they are even shares.
func (s *State) Shares(name fleet.Organisation) (model, lookups float64) {
	o := s.orgs[name]
	if o == nil {
		even := 1 / float64(len(s.peers)+1)
		return even, even
	}
	return o.model.share, o.lookups.share
}
