package load

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"chervilloom/internal/config"
)

const invalidPlanText = `version: 2
rate: 9000
duration: 10m
arrivals: bursts
in_flight: 5000
retries: 9
timeout: -1s
colour: red
organisations:
  - {name: north, key: k}
  - {name: north, weight: -2}
prefixes:
  - {name: rules, words: 0}
requests:
  - {name: a, type: lookup, path: x, once: key, model: m}
  - {name: a, type: receipt, service: s, path: /x, once: maybe, method: BREW}
  - {name: b, type: chat, prefix: none, words: -1, path: /x}
  - {type: dance, weight: 2000, deadline: -5s}
`

// All problems of a plan are reported together, each with its position and remedy.
func TestReadPlanReportsAllProblems(t *testing.T) {
	_, err := ReadPlan("faulty.yaml", []byte(invalidPlanText))
	if err == nil {
		t.Fatal("an invalid plan was accepted")
	}
	goldie.New(t).Assert(t, "faulty", []byte(err.Error()+"\n"))
}

// The same seed gives the same schedule; Poisson arrivals have the rate and the
// standard deviation of a Poisson process; the mix follows the weights.
func TestBuildSchedule(t *testing.T) {
	is := is.New(t)
	p := readMixPlan(t)
	p.Rate, p.Duration = 1000, config.Duration(20*time.Second)
	requests := buildSchedule(p)
	is.Equal(requests, buildSchedule(p))
	n := float64(len(requests))
	is.True(math.Abs(n-20000) < 4*math.Sqrt(20000))
	var gaps, squares, status float64
	for i := 1; i < len(requests); i++ {
		is.True(requests[i].offset >= requests[i-1].offset)
		g := (requests[i].offset - requests[i-1].offset).Seconds()
		gaps += g
		squares += g * g
		if requests[i].kindIndex == 0 {
			status++
		}
	}
	mean := gaps / n
	is.True(math.Abs(math.Sqrt(squares/n-mean*mean)/mean-1) < 0.05) // the standard deviation equals the mean
	is.True(math.Abs(status/n-4.0/9) < 0.02)
	p.Seed++
	is.True(buildSchedule(p)[0] != requests[0])

	p.Arrivals = ArrivalsConstant
	requests = buildSchedule(p)
	is.Equal(len(requests), 20000)
	is.Equal(requests[1500].offset, 1500*time.Millisecond)
}
