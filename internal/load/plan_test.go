package load

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"chervilloom/internal/config"
)

const faultyText = `version: 2
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

// All faults of a plan are told at once, each with its place and its remedy.
func TestFaultyPlan(t *testing.T) {
	_, err := ReadPlan("faulty.yaml", []byte(faultyText))
	if err == nil {
		t.Fatal("the plan was taken")
	}
	goldie.New(t).Assert(t, "faulty", []byte(err.Error()+"\n"))
}

// The same seed gives the same schedule; Poisson arrivals come at the rate and
// with the spread of a Poisson process; the mix follows the weights.
func TestSchedule(t *testing.T) {
	is := is.New(t)
	p := readMix(t)
	p.Rate, p.Duration = 1000, config.Duration(20*time.Second)
	shots := schedule(p)
	is.Equal(shots, schedule(p))
	n := float64(len(shots))
	is.True(math.Abs(n-20000) < 4*math.Sqrt(20000))
	var gaps, squares, status float64
	for i := 1; i < len(shots); i++ {
		is.True(shots[i].at >= shots[i-1].at)
		g := (shots[i].at - shots[i-1].at).Seconds()
		gaps += g
		squares += g * g
		if shots[i].request == 0 {
			status++
		}
	}
	mean := gaps / n
	is.True(math.Abs(math.Sqrt(squares/n-mean*mean)/mean-1) < 0.05) // as large as the mean
	is.True(math.Abs(status/n-4.0/9) < 0.02)
	p.Seed++
	is.True(schedule(p)[0] != shots[0])

	p.Arrivals = ArrivalsConstant
	shots = schedule(p)
	is.Equal(len(shots), 20000)
	is.Equal(shots[1500].at, 1500*time.Millisecond)
}
