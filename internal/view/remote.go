package view

import (
	"time"

	"chervilloom/internal/clock"
)

// remoteForget is how long a group of another zone is believed in without a
// word from there.
const remoteForget = 30 * time.Second

// remoteGroup is the summary of a group of another availability zone.
type remoteGroup struct {
	group Group
	heard clock.Instant
}

// remoteSummary is a group summary from a peer of another zone.
type remoteSummary struct {
	group Group
	heard clock.Instant
}

func (e remoteSummary) subject() subject { return subject{kind: "remote", id: string(e.group.ID)} }

func (s *State) applyRemote(e remoteSummary) bool {
	old := s.remote[e.group.ID]
	if old != nil && old.group.Generation > e.group.Generation {
		return false
	}
	if old != nil && old.group.Generation == e.group.Generation && e.group.FreshUntil < old.group.FreshUntil && e.group.Whole {
		return false
	}
	s.remote[e.group.ID] = &remoteGroup{e.group, e.heard}
	for id, r := range s.remote {
		if e.heard.Sub(r.heard) > remoteForget {
			delete(s.remote, id)
		}
	}
	return true
}
