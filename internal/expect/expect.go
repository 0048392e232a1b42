// Package expect predicts when a group of engines will answer a request: its first event, the
// longest pause between two events, and its end. The prediction follows the engine's declared
// arithmetic, see Predict.
package expect

import (
	"time"

	"chervilloom/internal/catalog"
)

// Group is the state of a group of engines.
type Group struct {
	Pace     float64       // slowdown of the slowest member; 1: usual
	Running  float64       // requests that decode
	Waiting  float64       // requests that wait for a slot
	Unread   float64       // prompt tokens that are still to be read
	Context  float64       // tokens in the KV cache
	Slots    int           // requests that can run at once
	PassLeft time.Duration // rest of the current pass; 0: unknown, half of a pass is assumed
}

// Work is the size of a request in tokens.
type Work struct {
	Prompt int
	Answer int
}

// Estimate is the prediction for a request that is sent to a group now.
type Estimate struct {
	First time.Duration // until the first event
	Pause time.Duration // longest pause between two events
	Total time.Duration // until the last event
}

// Predict estimates when a group answers a request. A pass with decoding requests executes
// Stride token steps, and each step reads up to Chunk tokens of the waiting prompts. A prompt
// that arrives during a pass is read from the next one on.
func Predict(e *catalog.Engine, m *catalog.Model, g Group, w Work) Estimate {
	prompt, answer := w.Prompt, w.Answer
	if prompt <= 0 {
		prompt = e.UsualPrompt
	}
	if answer <= 0 {
		answer = e.UsualAnswer
	}
	factor := max(1, g.Pace)
	if m.Pace > 0 {
		factor *= m.Pace
	}
	stride := float64(max(1, e.Stride))
	decode := stride * (e.Step.Seconds() + e.PerSequence.Seconds()*(g.Running+1) + e.ContextPerK.Seconds()*(g.Context+float64(prompt))/1000)
	usual := readSeconds(e, g.Unread)
	own := readSeconds(e, float64(prompt))
	left := g.PassLeft.Seconds()
	if left <= 0 {
		left = factor * (decode + usual) / 2
	}
	first := left + factor*(decode+usual+own)
	if queue := g.Running + g.Waiting + 1 - float64(g.Slots); g.Slots > 0 && queue > 0 {
		first += queue * float64(e.UsualAnswer) / stride * factor * decode / float64(g.Slots)
	}
	pause := factor * (decode + usual + own)
	passes := (float64(answer)+stride-1)/stride - 1
	total := first + max(0, passes)*factor*(decode+usual)
	return Estimate{First: seconds(first), Pause: seconds(pause), Total: seconds(total)}
}

// readSeconds returns the time to read prompt tokens at the declared rate.
func readSeconds(e *catalog.Engine, tokens float64) float64 {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	pairs := tokens * tokens / 2 / 1e6
	return tokens/e.ReadPerSecond + e.PairsPerM.Seconds()*pairs
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
