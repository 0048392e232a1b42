package backpressure

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Signals are the load signals that an endpoint attached to an answer.
type Signals struct {
	// Limit is the number of requests a second that the endpoint accepts from all nodes
	// together; nil: no limit.
	Limit *float64
	// LimitInvalid is set if the limit could not be parsed: the previous one stays in force.
	LimitInvalid bool
	// RetryAfter is the backoff that an endpoint requests from this node when it rejects a
	// request; 0: none.
	RetryAfter time.Duration
	// Set if the endpoint is leaving.
	Leaving bool
}

// MaxRetryAfter bounds a backoff, so that a wrong value does not block an endpoint indefinitely.
const MaxRetryAfter = 10 * time.Minute

var errInvalidNumber = errors.New("not a number of zero or more")

// ParseLimit parses the value of a header that names a limit, in requests a second; empty: no
// limit.
func (s *Signals) ParseLimit(text string) error {
	if text == "" {
		return nil
	}
	limit, err := parseNumber(text)
	if err != nil || math.IsInf(limit, 0) {
		s.LimitInvalid = true
		return fmt.Errorf("rate limit %q: %w", text, errInvalidNumber)
	}
	s.Limit = &limit
	return nil
}

// ParseRetryAfter parses the values of a header that requests a backoff, in seconds with
// decimals. The longest one is used, also if an error is returned for another. Dates are
// rejected: the clocks of VMs differ and may jump.
func (s *Signals) ParseRetryAfter(values []string) error {
	var wrong error
	for _, text := range values {
		seconds, err := parseNumber(text)
		if err != nil {
			wrong = fmt.Errorf("backoff %q: %w", text, errInvalidNumber)
			continue
		}
		s.RetryAfter = max(s.RetryAfter, time.Duration(min(seconds, MaxRetryAfter.Seconds())*float64(time.Second)))
	}
	return wrong
}

func parseNumber(text string) (float64, error) {
	x, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(x) || x < 0 {
		return 0, errInvalidNumber
	}
	return x, nil
}
