package backpressure

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Signals are what an answer says of its endpoint.
type Signals struct {
	// Limit is the requests a second that the endpoint takes from all nodes together; nil:
	// it names none.
	Limit *float64
	// LimitInvalid says that it names one that can't be kept to: what was known before holds.
	LimitInvalid bool
	// RetryAfter is how long an endpoint that turned the request away wants nothing from this
	// node; 0: it doesn't say.
	RetryAfter time.Duration
	// Leaving says that the endpoint leaves.
	Leaving bool
}

// MaxRetryAfter bounds a backoff: a wrong value must not keep requests from an endpoint for
// good.
const MaxRetryAfter = 10 * time.Minute

var errNoNumber = errors.New("no number of zero or more")

// ReadLimit takes up the value of a header that names a limit, in requests a second; empty:
// there was none.
func (s *Signals) ReadLimit(text string) error {
	if text == "" {
		return nil
	}
	limit, err := number(text)
	if err != nil || math.IsInf(limit, 0) {
		s.LimitInvalid = true
		return fmt.Errorf("rate limit %q: %w", text, errNoNumber)
	}
	s.Limit = &limit
	return nil
}

// ReadRetryAfter takes up the values of a header that asks for a backoff, in seconds with
// decimals. The longest counts. A date isn't taken: the clocks of VMs differ and may jump.
func (s *Signals) ReadRetryAfter(values []string) error {
	var wrong error
	for _, text := range values {
		seconds, err := number(text)
		if err != nil {
			wrong = fmt.Errorf("backoff %q: %w", text, errNoNumber)
			continue
		}
		s.RetryAfter = max(s.RetryAfter, time.Duration(min(seconds, MaxRetryAfter.Seconds())*float64(time.Second)))
	}
	return wrong
}

func number(text string) (float64, error) {
	x, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(x) || x < 0 {
		return 0, errNoNumber
	}
	return x, nil
}
