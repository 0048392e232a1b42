package platform

import (
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/standin/fault"
)

// Down says how the platform fails while it is down.
type Down string

// The ways to be down.
const (
	Up          Down = ""
	DownClose   Down = "close"       // connections are closed without an answer
	DownRefused Down = "unavailable" // 503 before anything is applied
)

// Always makes a fault that counts requests hit every one.
const Always = fault.Always

// Faults are the switches of the stand-in. The zero value is a platform
// without faults.
type Faults struct {
	Down Down `json:"down" yaml:"down"`
	// Slow delays each request before it is applied.
	Slow config.Duration `json:"slow" yaml:"slow"`
	// LoseAnswers closes the connection of that many writes after they took
	// effect; Always: of all.
	LoseAnswers int `json:"lose_answers" yaml:"lose_answers"`
	// DropBefore closes the connection of that many writes before they are
	// applied; Always: of all.
	DropBefore int `json:"drop_before" yaml:"drop_before"`
	// ForgetAttempts makes the attempt live in the rows alone: a transaction
	// that is sent again runs again.
	ForgetAttempts bool `json:"forget_attempts" yaml:"forget_attempts"`
	// NoLimits switches the rate limits off.
	NoLimits bool `json:"no_limits" yaml:"no_limits"`
	// ListLag is how old the list of VMs is that is shown.
	ListLag config.Duration `json:"list_lag" yaml:"list_lag"`
}

// faultOrder is the body of POST /faults: fields that are left out stay as
// they are. Save keeps a copy of the store; Restore brings the kept copy back.
type faultOrder struct {
	Faults
	Save    bool `json:"save"`
	Restore bool `json:"restore"`
}

func (f *Faults) slow() time.Duration { return time.Duration(f.Slow) }

func (f *Faults) lag() time.Duration { return time.Duration(f.ListLag) }
