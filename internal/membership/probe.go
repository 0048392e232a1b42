package membership

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// probe is a ping that awaits its ack, directly or through other members.
type probe struct {
	seq     uint64
	node    fleet.Node
	version uint64
	sentAt  clock.Instant
	repeats int // number of times it was sent again
}

// relayedPing is a ping sent on behalf of another member, to which the ack is
// relayed.
type relayedPing struct {
	seq       uint64
	origin    fleet.VM
	originSeq uint64
	expiresAt clock.Instant
}

// pingNext pings the next member in the ping order. Iterating over a shuffled
// list instead of drawing at random bounds the time in which a dead member is
// not pinged.
func (s *State) pingNext(now clock.Instant) {
	for tried := len(s.pingOrder); tried >= 0; tried-- {
		if s.nextPing >= len(s.pingOrder) {
			s.shuffle()
		}
		if len(s.pingOrder) == 0 {
			return
		}
		m := s.members[s.pingOrder[s.nextPing]]
		s.nextPing++
		if m != nil && m.isLive() {
			s.ping(now, m)
			return
		}
	}
}

func (s *State) shuffle() {
	s.pingOrder = s.pingOrder[:0]
	for _, vm := range s.sortedVMs {
		if s.members[vm].isLive() {
			s.pingOrder = append(s.pingOrder, vm)
		}
	}
	s.rng.Shuffle(len(s.pingOrder), func(i, j int) { s.pingOrder[i], s.pingOrder[j] = s.pingOrder[j], s.pingOrder[i] })
	s.nextPing = 0
}

func (s *State) ping(now clock.Instant, m *member) {
	s.seq++
	s.probes = append(s.probes, &probe{seq: s.seq, node: m.Node(), version: m.Version, sentAt: now})
	s.send(m, &Message{Kind: KindPing, Seq: s.seq})
}

// checkProbes repeats late pings, directly and through other members, and
// suspects the members that did not answer in time.
func (s *State) checkProbes(now clock.Instant) {
	kept := s.probes[:0]
	for _, p := range s.probes {
		age := now.Sub(p.sentAt)
		if age >= s.cfg.ProbeTimeout {
			s.suspect(now, p)
			continue
		}
		if age >= time.Duration(p.repeats+1)*s.cfg.AckTimeout {
			p.repeats++
			s.repeatPing(p)
		}
		kept = append(kept, p)
	}
	s.probes = kept
}

func (s *State) repeatPing(p *probe) {
	m := s.members[p.node.VM]
	if m == nil {
		return
	}
	if s.cfg.IndirectPings == 0 {
		return
	}
	s.send(m, &Message{Kind: KindPing, Seq: p.seq})
	for _, via := range s.randomAlive(s.cfg.IndirectPings, p.node.VM) {
		s.send(via, &Message{Kind: KindPingReq, Seq: p.seq, Target: m.VM, Addr: m.Addr})
	}
}

func (s *State) handleAck(now clock.Instant, seq uint64) {
	for i, p := range s.probes {
		if p.seq == seq {
			s.probes = append(s.probes[:i], s.probes[i+1:]...)
			return
		}
	}
	kept := s.relays[:0]
	for _, r := range s.relays {
		switch {
		case r.seq == seq:
			if origin := s.members[r.origin]; origin != nil {
				s.send(origin, &Message{Kind: KindAck, Seq: r.originSeq})
			}
		case now.Before(r.expiresAt):
			kept = append(kept, r)
		}
	}
	s.relays = kept
}

// maxRelayedPings bounds the relayed pings in flight.
const maxRelayedPings = 256

func (s *State) relayPing(now clock.Instant, m *Message) {
	target := s.members[m.Target]
	if target == nil || len(s.relays) >= maxRelayedPings {
		return
	}
	s.seq++
	s.relays = append(s.relays, relayedPing{
		seq: s.seq, origin: m.Self.VM, originSeq: m.Seq, expiresAt: now.Add(s.cfg.ProbeTimeout),
	})
	s.send(target, &Message{Kind: KindPing, Seq: s.seq})
}

// suspect marks an unresponsive member as suspect, unless its entry has changed
// since the ping.
func (s *State) suspect(now clock.Instant, p *probe) {
	m := s.members[p.node.VM]
	if m == nil || m.Node() != p.node || m.Version != p.version || m.Status != Alive {
		return
	}
	e := m.Entry
	e.Status = Suspect
	s.updateMember(now, m, &e)
	// Notify the suspect at once, in case only the pings were lost.
	s.send(m, &Message{Kind: KindGossip})
}

// expireSuspects declares the suspects dead that did not refute in time.
func (s *State) expireSuspects(now clock.Instant) {
	waiting := s.suspects
	s.suspects = s.suspects[:0]
	for _, vm := range waiting {
		m := s.members[vm]
		switch {
		case m == nil || m.Status != Suspect:
			continue
		case now.Before(m.refuteDeadline):
			s.suspects = append(s.suspects, vm)
			s.pingSuspect(now, m)
			continue
		}
		e := m.Entry
		e.Status = Dead
		s.updateMember(now, m, &e)
	}
}

// pingSuspect pings a suspect at half and at three quarters of its time. Gossip
// occasionally misses a node: that node would otherwise declare a member dead
// whose refutation reached all others.
func (s *State) pingSuspect(now clock.Instant, m *member) {
	left := m.refuteDeadline.Sub(now)
	total := s.cfg.suspicionTimeout(s.liveCount + 1)
	if m.suspectPings < 2 && left <= total>>(m.suspectPings+1) {
		m.suspectPings++
		s.ping(now, m)
	}
}
