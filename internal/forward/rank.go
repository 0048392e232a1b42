package forward

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/balance"
	"chervilloom/internal/catalog"
	"chervilloom/internal/expect"
	"chervilloom/internal/priority"
	"chervilloom/internal/retry"
	"chervilloom/internal/retryafter"
	"chervilloom/internal/roster"
)

// contention is the state of one request of a contended service.
type contention struct {
	rank    int
	levels  int              // ranks of the service
	request priority.Request // as its admission depends on it
	model   *contendedModel  // nil: the model is not declared
	supply  priority.Supply  // as the newest choice saw it
	// bestFirst and bestTotal are the least times to the first and to the last event that are
	// predicted for any endpoint, as the newest choice saw them; 0: none.
	bestFirst, bestTotal time.Duration
	first                time.Duration // bestFirst of the first choice
	refusal              refusalReason // why it is refused at once; empty: it is not
	isPlaced             bool          // counted as sent to an endpoint
}

// refusalReason is the label of a refusal in metrics and, as the stage, in logs.
type refusalReason string

const (
	refusedByRank         = refusalReason(priority.ShortForRank)
	refusedByOrganisation = refusalReason(priority.OverOrganisations)
	refusedFull           = refusalReason("full")
	refusedLate           = refusalReason("late")        // cannot be answered in the time left
	refusedUnavailable    = refusalReason("unavailable") // no endpoint serves, or all have asked for a backoff
)

// contendedModel is what this node knows about the requests for a contended model.
type contendedModel struct {
	mu      sync.Mutex
	history priority.History
	returns retryafter.Queue // refused requests that are expected to return
	runTime time.Duration    // smoothed run time of complete answers; 0: none yet
}

// runTimeSmoothing is the number of answers over which a change of the run time takes effect.
const runTimeSmoothing = 16

type modelKey struct{ service, model string }

// contendedModels has the state of each contended model. Only declared models have one.
type contendedModels struct {
	mu     sync.Mutex
	models map[modelKey]*contendedModel
}

func (c *contendedModels) get(k modelKey) *contendedModel {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.models[k]
	if m == nil {
		if c.models == nil {
			c.models = map[modelKey]*contendedModel{}
		}
		m = &contendedModel{}
		c.models[k] = m
	}
	return m
}

// newContention returns the state of a request of an organisation, nil unless its service is
// contended. o may be nil.
func (x *exchange) newContention(o *catalog.Organisation) *contention {
	e := x.engine()
	if e == nil || x.f.Contended == nil || !x.f.Contended(x.service) {
		return nil
	}
	ranks := x.catalog.Ranks(x.service)
	c := &contention{rank: x.route.Rank(o), levels: max(1, len(ranks))}
	c.request = priority.Request{
		Level: priority.Level(ranks, c.rank), Organisation: x.organisation, Resumed: x.lastEventID != "",
	}
	if e.Model(x.req.Model) != nil {
		c.model = x.f.contended.get(modelKey{x.service, x.req.Model})
	}
	return c
}

// recordSupply records the capacity that the candidates have for the request's model, and the
// best of the times that are predicted for the request there.
func (x *exchange) recordSupply(cands []balance.Candidate, predictions []prediction, b balance.Bounds) {
	c := x.contention
	if c == nil || c.model == nil {
		return
	}
	e := x.engine()
	m := e.Model(x.req.Model)
	c.supply, c.bestFirst, c.bestTotal = priority.Supply{Nodes: x.f.NodeCount()}, 0, 0
	running, heads := 0.0, 0.0
	for i := range cands {
		k := &cands[i]
		if k.Suspect || k.Tried {
			continue
		}
		slots := float64(k.Slots) * (1 + min(0, b.QueueShare))
		c.supply.Slots += slots
		c.supply.Free += max(0, slots-k.Load)
		running += min(k.Load, float64(k.Slots))
		heads++
		// A group that seems slow may recover before its deadline: a refusal has to be certain.
		at := &predictions[i]
		first, total := at.First, time.Duration(float64(at.Total)/at.pace)
		if heads == 1 {
			c.bestFirst, c.bestTotal = first, total
		}
		c.bestFirst, c.bestTotal = min(c.bestFirst, first), min(c.bestTotal, total)
	}
	if heads == 0 {
		return
	}
	c.model.mu.Lock()
	runTime := c.model.runTime
	c.model.mu.Unlock()
	if runTime <= 0 {
		runTime = expect.Predict(e, m, expect.Group{Running: running / heads}, expect.Work{}).Total
	}
	if runTime <= 0 {
		runTime = x.f.EngineProfile.Turnover
	}
	c.supply.Turnover = running / runTime.Seconds()
}

// expectedAnswer returns the expected length of the answer in tokens.
func (x *exchange) expectedAnswer(e *catalog.Engine) int {
	answer := x.req.ExpectedAnswerTokens
	if answer <= 0 {
		answer = e.UsualAnswer
	}
	if most := x.req.MaxAnswerTokens; most > 0 {
		answer = min(answer, most)
	}
	return answer
}

// isAdmitted reports whether the request may be sent to the chosen endpoint, nil if there is none.
// While free slots are short, some requests are refused at once in favour of others.
func (x *exchange) isAdmitted(ep *roster.Endpoint) bool {
	c := x.contention
	if c == nil || c.model == nil {
		return ep != nil
	}
	now := x.f.Clock.Now()
	c.model.mu.Lock()
	defer c.model.mu.Unlock()
	c.first = c.bestFirst
	c.request.Early = c.model.returns.IsEarly(now, x.returning())
	if ep != nil && !c.request.Resumed && retryafter.IsUnservable(c.bestTotal, x.timeLeft(now)) {
		c.refusal = refusedLate // takes no slot, so that none is kept for such requests
		return false
	}
	c.model.history.CountArrival(now, c.request)
	reason := c.model.history.Admit(now, c.supply, c.request, rand.Float64()) // also counts what is refused for other reasons
	if ep == nil {
		return false
	}
	if reason != priority.Admitted {
		c.refusal = refusalReason(reason)
		return false
	}
	c.isPlaced = true
	c.model.history.Place(now, c.request)
	c.model.returns.Forget(x.returning())
	return true
}

// returning returns what the time of the request's return depends on.
func (x *exchange) returning() retryafter.Request {
	return retryafter.Request{Key: string(x.fingerprint), Deadline: x.deadline, Level: x.contention.request.Level}
}

// returnDelay returns the time after which the request, refused for want of slots, should return.
// Slots that new requests take are not free for those that return: a client that returns in the
// middle of a burst is refused again and has no further try.
func (x *exchange) returnDelay() time.Duration {
	c := x.contention
	if c.model == nil {
		return retryAfterFull
	}
	now := x.f.Clock.Now()
	c.model.mu.Lock()
	defer c.model.mu.Unlock()
	rate := c.supply.Turnover/float64(max(1, c.supply.Nodes)) - c.model.history.ArrivalRate(now, c.request.Level)
	return c.model.returns.Refuse(now, x.returning(), rate, rand.Float64())
}

// recordRefusal counts the request as refused, for want of slots or for another reason.
func (x *exchange) recordRefusal(reason refusalReason) {
	c := x.contention
	x.f.Metrics.ranks.refused.WithLabelValues(c.label(), string(reason)).Inc()
	x.f.Metrics.ranks.requests.WithLabelValues(c.label(), Refuse.String()).Inc()
	if c.model == nil {
		return
	}
	now := x.f.Clock.Now()
	c.model.mu.Lock()
	defer c.model.mu.Unlock()
	if c.isPlaced {
		c.isPlaced = false
		c.model.history.Withdraw(now, c.request)
	}
	if reason == refusedFull || reason == refusedByRank || reason == refusedByOrganisation {
		c.model.history.Refuse(now)
	}
}

// recordEnd counts the end of a request that was not refused.
func (x *exchange) recordEnd(step Step, res Result) {
	c := x.contention
	if c == nil || step == Refuse {
		return
	}
	x.f.Metrics.ranks.requests.WithLabelValues(c.label(), endOutcome(step, res)).Inc()
	if c.model == nil || res != Answered || x.progress.Runs != 1 || c.request.Resumed {
		return
	}
	took := x.f.Clock.Now().Sub(x.sentAt)
	c.model.mu.Lock()
	defer c.model.mu.Unlock()
	if c.model.runTime == 0 {
		c.model.runTime = took
		return
	}
	c.model.runTime += (took - c.model.runTime) / runTimeSmoothing
}

// reservedRetryShare is the share of the retry budget that is kept for requests more urgent than
// the least urgent rank.
const reservedRetryShare = 0.25

// allowRetry takes a retry from the budget and reports whether one was available.
func (x *exchange) allowRetry() bool {
	keep := 0.0
	if c := x.contention; c != nil && c.levels > 1 && c.request.Level == c.levels-1 {
		keep = reservedRetryShare
	}
	grant := x.f.budget(x.service).Take(keep)
	x.f.Metrics.retries.WithLabelValues(grant.String()).Inc()
	return grant != retry.Denied
}

// rankFields returns the attributes of log entries that only requests of contended services have.
func (x *exchange) rankFields() []any {
	c := x.contention
	if c == nil {
		return nil
	}
	return []any{"rank", c.rank, "expect_first_ms", c.first.Milliseconds()}
}

// label returns the rank's label in metrics. A rank that is not valid has no value of its own, so
// that the number of values stays bounded.
func (c *contention) label() string {
	if c.rank < 0 || c.rank > catalog.MaxRank {
		return "invalid"
	}
	return strconv.Itoa(c.rank)
}

// rankMetrics counts the requests of contended services by rank.
type rankMetrics struct {
	requests *prometheus.CounterVec
	refused  *prometheus.CounterVec
}

func newRankMetrics(reg prometheus.Registerer) rankMetrics {
	m := rankMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_rank_requests_total", Help: "Requests of contended services that ended, by rank and how.",
		}, []string{"rank", "outcome"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_rank_refused_total", Help: "Requests of contended services that this node refused, by rank and reason.",
		}, []string{"rank", "reason"}),
	}
	if reg != nil {
		reg.MustRegister(m.requests, m.refused)
	}
	return m
}
