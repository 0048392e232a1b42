package once

import (
	"errors"
	"time"

	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

var (
	errNoReason     = errors.New("once: the next handler ended an answer without an error")
	errClaimTimeout = errors.New("once: a claim timed out; check the platform's table")
)

// Retry-After values of refusals.
const (
	retryAfterRunning  = time.Second
	retryAfterPlatform = 2 * time.Second
	retryAfterHolder   = 2 * time.Second
	retryAfterFull     = 5 * time.Second
)

// Refusal returns e with the outcome to report for the request. "not-run" is a
// statement about the call, not about one try: if an earlier try with the same
// key or ticket may have run elsewhere, "not-run" is replaced by "unknown". A
// caller that sends KeyStateHeader "first" asserts that there was no earlier try
// and that it sends no other before this one is answered.
//
// Every filter that refuses a request before its key was looked up must use it.
func Refusal(req *request.Request, e *outcome.Error) *outcome.Error {
	if e.Outcome != outcome.NotRun || isFirstTry(req) {
		return e
	}
	c := *e
	c.Outcome = outcome.Unknown
	c.Remedy = "repeat the call with the same key or ticket; this try did not run, an earlier one may have"
	return &c
}

func isFirstTry(req *request.Request) bool {
	return req.Key == "" && req.Ticket == "" || req.Header.Get(KeyStateHeader) == KeyStateFirst
}

func stillRunning() *outcome.Error {
	return outcome.New(outcome.StillRunning, outcome.Unknown, "the first try of this call is in progress",
		"repeat the call with the same key or ticket after the advised time").WithRetryAfter(retryAfterRunning)
}

func keyReused() *outcome.Error {
	return outcome.New(outcome.KeyReused, outcome.NotRun, "the key or ticket was first used with another method, path or body",
		"use a new key or ticket for a new call")
}

func holderLost() *outcome.Error {
	return outcome.New(outcome.HolderLost, outcome.Unknown, "the node that held the state of this call is gone, and no answer was recorded",
		"look up in your own records whether the call took effect before you send it under a new key")
}

func holderUnreachable() *outcome.Error {
	return outcome.New(outcome.HolderLost, outcome.Unknown, "the node that holds the state of this call cannot be reached now",
		"repeat the call with the same key or ticket; if this lasts, look up in your records whether it took effect").WithRetryAfter(retryAfterHolder)
}

func answerNotStored() *outcome.Error {
	return outcome.New(outcome.AnswerCut, outcome.Ran, "the call ran; its answer was too long to be kept and cannot be given again",
		"do not send it under a new key; look up its effect in your own records")
}

func noClaim() *outcome.Error {
	return outcome.New(outcome.PlatformDown, outcome.NotRun, "the key could not be claimed in the platform's table, so nothing was sent",
		"repeat the call with the same key after the advised time, or ask for a ticket, which needs no table").WithRetryAfter(retryAfterPlatform)
}

func tooManyKeys() *outcome.Error {
	return outcome.New(outcome.Overloaded, outcome.NotRun, "this node holds as many keys and tickets as it may",
		"repeat the call after the advised time").WithRetryAfter(retryAfterFull)
}

func badTicket(cause error) *outcome.Error {
	return outcome.New(outcome.BadRequest, outcome.NotRun, "this is not a ticket of this system",
		"send the ticket exactly as POST /tickets gave it, or ask for a new one").WithCause(cause)
}

func foreignTicket(cause error) *outcome.Error {
	return outcome.New(outcome.HolderLost, outcome.Unknown, "the ticket was made under another secret, so its holder cannot be told",
		"look up in your own records whether the call took effect; ask for a new ticket").WithCause(cause)
}

func expiredTicket() *outcome.Error {
	return outcome.New(outcome.HolderLost, outcome.Unknown, "the ticket has expired, and its state is not kept any more",
		"look up in your own records whether the call took effect; ask for a new ticket")
}

func otherOrganisation() *outcome.Error {
	return outcome.New(outcome.Unauthorised, outcome.NotRun, "the ticket belongs to another organisation",
		"use a ticket that was given to this organisation")
}
