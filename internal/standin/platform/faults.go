package platform

import (
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/standin/fault"
)

// Down selects how requests fail during an outage of the platform.
type Down string

// The modes of Down.
const (
	Up              Down = ""            // no outage
	DownClose       Down = "close"       // close connections without an answer
	DownUnavailable Down = "unavailable" // answer 503 without applying the request
)

// Always as the count of a fault applies it to every request.
const Always = fault.Always

// Faults are the faults that can be injected into the platform. The zero value has
// none, but enforces the rate limits.
type Faults struct {
	Down Down `json:"down" yaml:"down"`
	// Slow delays each request before it is applied.
	Slow config.Duration `json:"slow" yaml:"slow"`
	// LoseAnswers is the number of following writes that are applied and whose
	// connection is then closed without an answer; Always applies it to all.
	LoseAnswers int `json:"lose_answers" yaml:"lose_answers"`
	// DropBefore is the number of following writes whose connection is closed
	// before they are applied; Always applies it to all.
	DropBefore int `json:"drop_before" yaml:"drop_before"`
	// ForgetAttempts disables the replay of attempts: a repeated transaction runs
	// again. Attempt ids are still stored in the rows.
	ForgetAttempts bool `json:"forget_attempts" yaml:"forget_attempts"`
	// NoLimits disables the rate limits.
	NoLimits bool `json:"no_limits" yaml:"no_limits"`
	// ListLag is the age of the VM list that the platform returns.
	ListLag config.Duration `json:"list_lag" yaml:"list_lag"`
}

// faultOrder is the body of POST /faults. Fields that are left out keep their value.
// Save keeps a copy of the store; Restore replaces the store by that copy.
type faultOrder struct {
	Faults
	Save    bool `json:"save"`
	Restore bool `json:"restore"`
}

func (f *Faults) delay() time.Duration { return time.Duration(f.Slow) }

func (f *Faults) listLag() time.Duration { return time.Duration(f.ListLag) }
