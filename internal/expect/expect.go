// Package expect predicts when a group of engines will answer a request: its first event, the
// longest pause between two events, and its end. The prediction follows the engine's declared
// arithmetic, see Predict.
package expect

import (
	"math"
	"time"

	"chervilloom/internal/catalog"
)

// Group is the state of a group of engines. The zero value of a field means that nothing is
// known or, for counts, that there are none.
type Group struct {
	Pace     float64       // slowdown of the slowest member; 1: usual
	Running  float64       // requests that hold a slot: they decode or their prompt is being read
	Waiting  float64       // requests that wait for a slot and are admitted before a new one
	Unread   float64       // prompt tokens that are still to be read, of running and waiting requests
	Context  float64       // tokens in the KV cache; 0: unknown
	Slots    int           // requests that can run at once
	PassLeft time.Duration // rest of the current pass; 0: unknown
	// UnreadAge is the age of Unread. Prompts that were unread then have been read after one or
	// two passes, and others have arrived.
	UnreadAge time.Duration
	// SinceEvent is the time since the newest event of a stream of the group, which is the end of
	// a pass; 0: unknown.
	SinceEvent time.Duration
	// EventGap is the measured time between the events of a stream, the mean time of a pass; 0:
	// unknown. It shows that a group is slow before a report states its Pace.
	EventGap time.Duration
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
// Stride token steps, one without a single step, and each step reads up to Chunk tokens of the
// waiting prompts. A prompt that arrives during a pass is read from the next one on, and its
// first event is emitted at the end of the pass in which it has been read. Missing and invalid
// input is replaced by usual values.
func Predict(e *catalog.Engine, m *catalog.Model, g Group, w Work) Estimate {
	p := newPass(e, m, g, w)
	left, waiting := p.current(g)
	own := p.promptSeconds(p.prompt)
	steps := p.steps
	if p.decoding < 1 && p.unread > 0 {
		steps = p.stride // a prompt that is being read decodes from the next pass on
	}
	// The prompts ahead and the request's own one, in passes of at most chunk tokens a step.
	tokens := waiting*p.tokensPerSecond + p.prompt
	passes := 1.0
	if p.chunk > 0 {
		passes = max(1, math.Ceil(tokens/(p.chunk*steps)))
	}
	first := left + passes*steps*p.step(p.decoding, p.prompt) + waiting + own
	queue := p.passesInQueue()
	first += queue * p.mean

	// Later passes also read the prompts that arrive meanwhile.
	joined := p.stride * p.step(p.decoding+1, p.prompt+p.answer/2)
	events := math.Ceil(max(0, p.answer-1) / p.stride)
	total := first + events*(joined+p.read)
	pause := 0.0
	if events > 0 {
		pause = joined + p.largestRead(events)
	}
	if lost := p.preemptionRisk(); lost > 0 && events > 0 {
		again := p.mean + p.promptSeconds(p.prompt+p.answer/2)
		total += lost * again
		pause += lost * again
	}
	return Estimate{First: seconds(p.factor * first), Pause: seconds(p.factor * pause), Total: seconds(p.factor * total)}
}

// pass is the arithmetic of the passes of a group. Times are in seconds at the pace 1.
type pass struct {
	e                *catalog.Engine
	factor           float64 // model's and slowest member's pace
	stride, chunk    float64
	prompt, answer   float64 // of the request
	usualPrompt      float64
	slots            float64
	running, waiting float64
	context          float64
	decoding         float64
	turnover         float64 // passes that a request holds a slot
	arrivals         float64 // requests that arrive in a pass
	steps            float64 // of the current pass
	read             float64 // mean time per pass for reading prompts
	mean             float64 // mean time of a pass
	unread           float64 // time to read the prompts that are unread now
	tokensPerSecond  float64 // prompt tokens per second of reading, pairs included
	sinceEvent       float64 // since the pass began; negative: unknown
}

func newPass(e *catalog.Engine, m *catalog.Model, g Group, w Work) pass {
	p := pass{
		e: e, factor: max(1, valid(g.Pace)), stride: float64(max(1, e.Stride)), chunk: float64(e.Chunk),
		prompt: float64(w.Prompt), answer: float64(w.Answer), usualPrompt: float64(max(1, e.UsualPrompt)), slots: float64(g.Slots),
		running: valid(g.Running), waiting: valid(g.Waiting), context: valid(g.Context), sinceEvent: -1,
	}
	if m.Pace > 0 {
		p.factor *= m.Pace
	}
	if w.Prompt <= 0 {
		p.prompt = p.usualPrompt
	}
	if w.Answer <= 0 {
		p.answer = float64(max(1, e.UsualAnswer))
	}
	if g.Slots <= 0 {
		p.slots = float64(e.Slots)
	}
	if e.KVCapacity > 0 { // requests of the usual size that the KV cache holds
		fit := float64(e.KVCapacity) / (p.usualPrompt + float64(e.UsualAnswer)/2)
		if p.slots <= 0 || fit < p.slots {
			p.slots = fit
		}
	}
	if p.slots > 0 && p.running > p.slots { // the engine runs no more than that
		p.waiting += p.running - p.slots
		p.running = p.slots
	}
	if p.context == 0 {
		p.context = p.running * (p.usualPrompt + float64(e.UsualAnswer)/2)
	}
	p.turnover = 1.5 + math.Ceil(float64(max(1, e.UsualAnswer))/p.stride)
	p.arrivals = p.running / p.turnover
	usualRead := p.promptSeconds(p.usualPrompt)
	if usualRead > 0 {
		p.tokensPerSecond = p.usualPrompt / usualRead
	}
	p.read = p.arrivals * usualRead
	p.decoding = max(0, p.running-p.arrivals)
	p.mean = p.stride*p.step(p.decoding, 0) + p.read
	p.useEventGap(g.EventGap.Seconds())
	p.mean = max(p.mean, 1e-6) // of an engine that declares no times
	if g.SinceEvent > 0 {
		p.sinceEvent = g.SinceEvent.Seconds() / p.factor
	}
	p.setUnread(g, usualRead)
	return p
}

// useEventGap corrects the mean time of a pass by the measured one.
func (p *pass) useEventGap(gap float64) {
	if gap <= 0 || p.mean <= 0 {
		return
	}
	const (
		slow  = 1.8 // reported paces of slow members are 2 and above
		reads = 3   // prompts of a burst, as a multiple of the mean, do not count as slowness
	)
	decode := p.mean - p.read
	gap /= p.factor
	if gap > slow*p.mean && gap > decode+reads*p.read {
		p.factor *= gap / p.mean
		return
	}
	// The measured pass shows how much is read per pass, whatever the sizes of the requests.
	p.read = min(max(gap-decode, p.read/2), 2*p.read)
	p.mean = decode + p.read
}

// setUnread estimates what is unread now. Of the prompts that were unread at the time of the
// report, the share that has not been read yet counts, and the usual amount for the rest: a
// prompt is unread for one and a half passes on average.
func (p *pass) setUnread(g Group, usualRead float64) {
	const passesUnread = 1.5
	known := max(0, 1-max(0, g.UnreadAge.Seconds())/(passesUnread*p.factor*p.mean))
	reported := valid(g.Unread) / p.usualPrompt
	reported = max(0, reported-p.waiting) // those that wait for a slot are in the queue
	p.running = max(p.running, reported)  // the count may be older
	seen := 1 + p.elapsed()/p.mean        // passes in which the unread prompts arrived
	p.unread = known*reported*usualRead + (1-known)*p.read*seen
	if known > 0 {
		p.decoding = max(0, known*(p.running-reported)+(1-known)*p.decoding)
	}
	p.steps = p.stride
	if p.decoding < 1 {
		p.steps = 1
	}
}

// elapsed returns the time since the current pass began: half of a pass if it is unknown. An event
// many passes ago is not the end of the newest pass: the group was idle since, or hangs.
func (p *pass) elapsed() float64 {
	const newest = 5 // passes; those of a started group take up to three times the mean
	if p.sinceEvent >= 0 && p.sinceEvent < newest*p.mean {
		return p.sinceEvent
	}
	return p.mean / 2
}

// current returns the rest of the current pass, and the time to read the prompts that wait for
// the next one at its end.
func (p *pass) current(g Group) (left, waiting float64) {
	if p.decoding < 1 { // a pass reads a single chunk, if there is one
		if p.unread <= 0 {
			return p.decoding * p.mean / 2, 0
		}
		chunk := p.unread
		if p.chunk > 0 && p.tokensPerSecond > 0 {
			chunk = min(chunk, p.chunk/p.tokensPerSecond)
		}
		left = p.step(p.decoding, 0) + chunk
		if p.sinceEvent >= 0 && p.sinceEvent < left {
			return left - p.sinceEvent, p.unread - chunk
		}
		return left / 2, p.unread - chunk
	}
	elapsed := p.elapsed()
	decode := p.stride * p.step(p.decoding, 0)
	// What is unread arrived at an even rate in the previous pass and in this one, but a pass
	// that lasts longer than its steps reads more.
	inPass := min(p.unread, max(p.unread/(1+elapsed/p.mean), elapsed-decode))
	left = max(0, decode+inPass-elapsed)
	if g.PassLeft > 0 {
		left = g.PassLeft.Seconds() / p.factor
	}
	return left, p.unread - inPass + p.read*left/p.mean
}

// passesInQueue returns the passes after the current one until the request has a slot and room
// in the KV cache.
func (p *pass) passesInQueue() float64 {
	ahead := 0.0
	if p.slots > 0 {
		ahead = p.running + p.waiting + 1 - p.slots
	}
	if p.e.KVCapacity > 0 && p.running > 0 && p.context > 0 {
		lacking := p.context + p.prompt + p.decoding*p.stride - float64(p.e.KVCapacity)
		ahead = max(ahead, lacking/(p.context/p.running))
	}
	if ahead <= 0 {
		return 0
	}
	ended := max(1, p.running) / p.turnover // requests that end in a pass
	return max(0, ahead/ended-0.5)
}

// preemptionRisk returns the probability that the KV cache runs out while the request runs.
// Requests that end free as much as the others grow while the load is steady; the newest one is
// preempted if a pass's growth does not fit.
func (p *pass) preemptionRisk() float64 {
	if p.e.KVCapacity <= 0 {
		return 0
	}
	free := float64(p.e.KVCapacity) - p.context - p.prompt
	spread := math.Sqrt(p.running+1) * (p.usualPrompt + p.answer/2) // of the sum of the requests' sizes
	return min(1, max(0, 1-free/spread))
}

// largestRead returns the expected largest time for reading prompts in any of n passes, each
// with a Poisson distributed number of prompts of exponentially distributed size.
func (p *pass) largestRead(n float64) float64 {
	if p.arrivals <= 0 {
		return 0
	}
	quantile := 0.56 // of the normal distribution, mean of the larger of two draws
	if n > 2 {
		const offset = 1.377 // log(4 pi) - 2 x Euler's constant, of the mean of Gumbel's distribution
		log := math.Log(n)
		root := math.Sqrt(2 * log)
		quantile = root - (math.Log(log)+offset)/(2*root)
	}
	return p.read * (1 + quantile*math.Sqrt(1.25/p.arrivals))
}

// step returns the time of a step without the prompts that it reads. added is context beyond
// that of the group.
func (p *pass) step(decoding, added float64) float64 {
	return p.e.Step.Seconds() + p.e.PerSequence.Seconds()*decoding + p.e.ContextPerK.Seconds()*(p.context+added)/1000
}

// promptSeconds returns the time to read one prompt. Each token attends to the earlier ones.
func (p *pass) promptSeconds(tokens float64) float64 {
	pairs := p.e.PairsPerM.Seconds() * tokens * tokens / 2 / 1e6
	if p.e.ReadPerSecond <= 0 {
		return pairs
	}
	return tokens/p.e.ReadPerSecond + pairs
}

// valid returns v, or 0 if it is negative or not a number.
func valid(v float64) float64 {
	if v > 0 && !math.IsInf(v, 0) {
		return v
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
