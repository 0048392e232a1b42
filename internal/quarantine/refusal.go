package quarantine

import "chervilloom/internal/outcome"

// Refusal is what the client of a request is told that isn't sent. For one that was found
// harmful it names no time to come back: the same request would only be refused again.
func (v Verdict) Refusal() *outcome.Error {
	if v.Suspect {
		return outcome.New(outcome.Suspect, outcome.NotRun,
			"endpoints ended while they ran this request, and another run of it is under way",
			"send it again").After(suspectReturn)
	}
	return outcome.New(outcome.Quarantined, outcome.NotRun, "endpoints end when they run this request",
		"send another request; this one is tried again in some minutes")
}
