package quarantine

import "chervilloom/internal/outcome"

// Refusal returns the error that the client of a refused request receives. For a request that
// was found harmful it has no retry time: the same request would only be refused again.
func (v Verdict) Refusal() *outcome.Error {
	if v.Suspect {
		return outcome.New(outcome.Suspect, outcome.NotRun,
			"endpoints ended while they ran this request, and another run of it is under way",
			"send it again").WithRetryAfter(suspectRetryAfter)
	}
	if v.Part != "" {
		return outcome.New(outcome.Quarantined, outcome.NotRun, "endpoints end when they run requests with part "+string(v.Part)+" of this prompt",
			"send the prompt without that part; it is tried again in some minutes")
	}
	return outcome.New(outcome.Quarantined, outcome.NotRun, "endpoints end when they run this request",
		"send another request; this one is tried again in some minutes")
}
