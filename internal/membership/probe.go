package membership

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// probe is a ping that waits for its ack, from the member or through others.
type probe struct {
	seq     uint64
	node    fleet.Node
	version uint64
	sent    clock.Instant
	repeats int // rounds in which it was sent again
}

// relayed is a ping sent for another member, to which the ack is passed on.
type relayed struct {
	seq       uint64
	origin    fleet.VM
	originSeq uint64
	expires   clock.Instant
}

// probeNext pings the next member of the round. Going round a shuffled list
// rather than drawing each time bounds how long a dead member can go unpinged.
func (s *State) probeNext(now clock.Instant) {
	for tried := len(s.round); tried >= 0; tried-- {
		if s.next >= len(s.round) {
			s.shuffle()
		}
		if len(s.round) == 0 {
			return
		}
		m := s.members[s.round[s.next]]
		s.next++
		if m != nil && m.live() {
			s.ping(now, m)
			return
		}
	}
}

func (s *State) shuffle() {
	s.round = s.round[:0]
	for _, vm := range s.names {
		if s.members[vm].live() {
			s.round = append(s.round, vm)
		}
	}
	s.rng.Shuffle(len(s.round), func(i, j int) { s.round[i], s.round[j] = s.round[j], s.round[i] })
	s.next = 0
}

func (s *State) ping(now clock.Instant, m *member) {
	s.seq++
	s.probes = append(s.probes, &probe{seq: s.seq, node: m.Node(), version: m.Version, sent: now})
	s.send(m, &Message{Kind: KindPing, Seq: s.seq})
}

// checkProbes repeats late probes, directly and through others, and suspects
// those who answer nobody.
func (s *State) checkProbes(now clock.Instant) {
	kept := s.probes[:0]
	for _, p := range s.probes {
		age := now.Sub(p.sent)
		if age >= s.cfg.ProbeTimeout {
			s.suspect(now, p)
			continue
		}
		if age >= time.Duration(p.repeats+1)*s.cfg.AckTimeout {
			p.repeats++
			s.repeat(p)
		}
		kept = append(kept, p)
	}
	s.probes = kept
}

func (s *State) repeat(p *probe) {
	m := s.members[p.node.VM]
	if m == nil {
		return
	}
	if s.cfg.Indirect == 0 {
		return
	}
	s.send(m, &Message{Kind: KindPing, Seq: p.seq})
	for _, via := range s.pick(s.cfg.Indirect, p.node.VM) {
		s.send(via, &Message{Kind: KindPingReq, Seq: p.seq, Target: m.VM, Addr: m.Addr})
	}
}

func (s *State) acked(now clock.Instant, seq uint64) {
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
		case now.Before(r.expires):
			kept = append(kept, r)
		}
	}
	s.relays = kept
}

// maxRelayed bounds the pings that are out for others.
const maxRelayed = 256

func (s *State) pingFor(now clock.Instant, m *Message) {
	target := s.members[m.Target]
	if target == nil || len(s.relays) >= maxRelayed {
		return
	}
	s.seq++
	s.relays = append(s.relays, relayed{
		seq: s.seq, origin: m.Self.VM, originSeq: m.Seq, expires: now.Add(s.cfg.ProbeTimeout),
	})
	s.send(target, &Message{Kind: KindPing, Seq: s.seq})
}

// suspect marks a member that answered nobody, unless newer news of it came.
func (s *State) suspect(now clock.Instant, p *probe) {
	m := s.members[p.node.VM]
	if m == nil || m.Node() != p.node || m.Version != p.version || m.Status != Alive {
		return
	}
	e := m.Entry
	e.Status = Suspect
	s.apply(now, m, &e)
	// The suspect hears of it at once, in case the pings were lost.
	s.send(m, &Message{Kind: KindGossip})
}

// expireSuspects declares those dead who did not refute in time.
func (s *State) expireSuspects(now clock.Instant) {
	waiting := s.suspects
	s.suspects = s.suspects[:0]
	for _, vm := range waiting {
		m := s.members[vm]
		switch {
		case m == nil || m.Status != Suspect:
			continue
		case now.Before(m.refute):
			s.suspects = append(s.suspects, vm)
			s.askAgain(now, m)
			continue
		}
		e := m.Entry
		e.Status = Dead
		s.apply(now, m, &e)
	}
}

// askAgain pings a suspect when half of its time is gone and again at three
// quarters. Gossip misses a node now and then: without this a member whose
// refutation reached all others would be dead to that one.
func (s *State) askAgain(now clock.Instant, m *member) {
	left := m.refute.Sub(now)
	total := s.cfg.suspicion(s.live + 1)
	if m.asked < 2 && left <= total>>(m.asked+1) {
		m.asked++
		s.ping(now, m)
	}
}
