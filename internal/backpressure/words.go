package backpressure

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Words are what an answer says of its endpoint.
type Words struct {
	// Limit is the requests a second that the endpoint takes from all nodes together; nil:
	// it names none.
	Limit *float64
	// LimitUnclear says that it names one that can't be kept to: what was known before holds.
	LimitUnclear bool
	// Rest is how long an endpoint that turned the request away wants nothing from this
	// node; 0: it doesn't say.
	Rest time.Duration
	// Leaving says that the endpoint leaves.
	Leaving bool
}

// LongestRest is the longest time that an endpoint gets no requests for its word: a value
// that is wrong must not keep it from them for good.
const LongestRest = 10 * time.Minute

var errNoNumber = errors.New("no number of zero or more")

// ReadLimit takes up the value of a header that names a limit, in requests a second; empty:
// there was none.
func (w *Words) ReadLimit(text string) error {
	if text == "" {
		return nil
	}
	limit, err := number(text)
	if err != nil || math.IsInf(limit, 0) {
		w.LimitUnclear = true
		return fmt.Errorf("rate limit %q: %w", text, errNoNumber)
	}
	w.Limit = &limit
	return nil
}

// ReadRest takes up the values of a header that asks for rest, in seconds with decimals. The
// longest counts. A date isn't taken: the clocks of VMs differ and may jump.
func (w *Words) ReadRest(values []string) error {
	var wrong error
	for _, text := range values {
		seconds, err := number(text)
		if err != nil {
			wrong = fmt.Errorf("rest %q: %w", text, errNoNumber)
			continue
		}
		w.Rest = max(w.Rest, time.Duration(min(seconds, LongestRest.Seconds())*float64(time.Second)))
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
