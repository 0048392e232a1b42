package formation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/demand"
	"chervilloom/internal/roster"
)

// modelValue is what a model's requests are worth and what its groups serve, as recorded by
// the zone's nodes. It replaces the assumption that all models count alike.
type modelValue struct {
	model *catalog.Model
	// weight is the model's share of the recorded value times the number of models, so that
	// it is 1 where all models count alike and the margins of conversions keep their scale.
	weight    float64
	rate      float64 // of the curve from groups to the share of requests served in time
	elsewhere float64 // free groups in other zones
	moveTime  float64 // service time that the streams of a closed group lose, in seconds
}

const (
	// minValue is the recorded value below which all models count alike.
	minValue = 1.0
	// minValueShare is the least share of the value that a model counts with, relative to an
	// equal share.
	minValueShare = 0.2
	// guaranteedShare is the share of its requests up to which a model counts at least as
	// much as with equal weights, so that no model starves.
	guaranteedShare = 0.25
	// valueCertainty is the value of a model's requests at which the recorded losses weigh as
	// much as the assumed curve.
	valueCertainty = 20
	// minLost and maxLost limit the lost share. Fewer lost requests do not tell how many
	// groups could be spared.
	minLost, maxLost = 0.02, 0.98
	// scarceLost is the lost share from which free slots count as taken: the next new
	// request finds a slot within milliseconds.
	scarceLost = 0.1
	// minUtilisation limits the number of groups that a model seems to be able to spare.
	minUtilisation = 0.1
	// noGroupPenalty is the cost, per model of the engine, of an option that leaves a model
	// without a group while no zone has a free one for it. It exceeds what the other models
	// can lose by a conversion, since callers of that model get nothing at all.
	noGroupPenalty = 2
	// valueMargin is the least net gain of a conversion, of 1 per model. A conversion takes
	// engines out of service for two seconds and a burst lasts 4 to 6 s.
	valueMargin = 0.05
	// closeHysteresis is the part by which closing a group is valued too high. Demand that
	// fluctuates by a third must not make it profitable in turn for each model.
	closeHysteresis = 1.0 / 3
	// reverseDelay is how long after a conversion to a model none of its groups closes for
	// another model. It exceeds the bursts that were observed (4 to 6 s) and the time
	// until the recorded losses have decayed.
	reverseDelay = 30 * time.Second
	// withdrawnDelay is the time until the next conversion after one that could not be
	// recorded. The table may be unavailable for seconds.
	withdrawnDelay = 2 * time.Second
)

// valueModels computes the values of the models. They remain nil unless value is recorded.
func (p *planner) valueModels() {
	total := 0.0
	for _, v := range p.in.Demand.Value {
		total += v
	}
	if total < minValue {
		return
	}
	models := p.in.Engine.Models
	p.values = make([]modelValue, 0, len(models))
	weights := 0.0
	for i := range models {
		weights += max(p.in.Demand.Value[models[i].Name]/total, minValueShare/float64(len(models)))
	}
	for i := range models {
		m := &models[i]
		share := max(p.in.Demand.Value[m.Name]/total, minValueShare/float64(len(models))) / weights
		v := modelValue{model: m, weight: share * float64(len(models)), elsewhere: p.in.Elsewhere[m.Name]}
		p.calibrate(&v)
		p.values = append(p.values, v)
	}
}

// calibrate determines the curve of a model from its current losses, and what its streams
// lose when a group closes.
func (p *planner) calibrate(v *modelValue) {
	m := v.model
	slots := max(1, p.in.Engine.Slots)
	groups, active := 0, 0
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		if g.Service != p.in.Service || g.Model != m.Name || p.mem.closing[g.Name] != nil || !p.mem.opened[g.Name] {
			continue
		}
		groups++
		if f := p.in.Engines[g.Head()]; f != nil {
			active += max(0, f.Report.Active)
		}
	}
	mean := p.meanGroups(m.Name, float64(groups))
	v.rate = saturation / p.neededGroups(m)
	value := p.in.Demand.Value[m.Name]
	lost := 0.0
	if value > 0 {
		lost = min(1, p.in.Demand.Lost[m.Name]/value)
	}
	n := float64(groups)
	utilisation := 0.0
	if groups > 0 {
		utilisation = float64(active) / (n * float64(slots))
		known := value / (value + valueCertainty)
		v.rate = (1-known)*v.rate + known*p.calibratedRate(m, mean, v.elsewhere, lost, utilisation)
	}
	// The streams of a closed group continue in the free slots of the other groups. Those
	// that find none are lost with the time that they ran, about half of a run at full
	// batches, and displace as many others.
	left := 0.0
	if groups > 1 && utilisation > 0 {
		free := (n - 1) * (1 - min(1, utilisation)) * (1 - min(1, lost/scarceLost))
		left = min(1, free/utilisation)
	}
	if groups <= 1 && utilisation == 0 {
		left = 1
	}
	run := float64(slots) * p.in.Engine.ServiceTime(m, p.in.Engine.UsualPrompt, p.in.Engine.UsualAnswer).Seconds()
	v.moveTime = left*streamMoveTime.Seconds() + (1-left)*max(run, streamMoveTime.Seconds())
}

// meanGroups returns the number of a model's serving groups averaged over the time that the
// recorded losses comprise. While they still show the time before a conversion, they must not
// be attributed to the groups after it, or the next domain would convert for the same losses.
func (p *planner) meanGroups(model string, now float64) float64 {
	mean, ok := p.mem.meanGroups[model]
	if !ok {
		mean = groupMean{now, p.in.Now}
	}
	age := max(0, p.in.Now.Sub(mean.at).Seconds())
	mean = groupMean{now + (mean.groups-now)*math.Exp(-age/demand.DecaySeconds), p.in.Now}
	p.mem.meanGroups[model] = mean
	return max(mean.groups, minMeanGroups)
}

// groupMean is a decayed mean of a number of groups at a time.
type groupMean struct {
	groups float64
	at     clock.Instant
}

// minMeanGroups bounds the mean for a model that has just got its first group.
const minMeanGroups = 0.25

// pendingGroups returns the groups of a model that will be formed by conversions in other
// domains.
func (p *planner) pendingGroups(model, domain string) float64 {
	n := 0
	for d, c := range p.mem.conversions {
		if d != domain {
			n += c.formed[model]
		}
	}
	return float64(n)
}

// calibratedRate returns the rate of the curve on which n groups lose the given share. While
// little is lost, the curve rises at least as steeply as the utilisation of the groups
// indicates.
func (p *planner) calibratedRate(m *catalog.Model, n, elsewhere, lost, utilisation float64) float64 {
	rate := -math.Log(min(maxLost, max(minLost, lost))) / (n + elsewhere)
	busy := max(minUtilisation*n, utilisation*n, p.in.Demand.BusyGroups(m.Name))
	if spare := 1 - lost/scarceLost; spare > 0 {
		rate = max(rate, spare*saturation/busy)
	}
	return rate
}

// of returns the weighted share of the model's requests that n groups serve in time.
func (v *modelValue) of(n float64) float64 {
	served := 1 - math.Exp(-v.rate*(max(0, n)+v.elsewhere))
	return v.weight*served + max(0, 1-v.weight)*min(served, guaranteedShare)
}

// weightedValue returns the value of an option as optionValue does, with the models weighted
// by the recorded value.
func (p *planner) weightedValue(domain string, o *option) float64 {
	sum := 0.0
	if len(o.closed) > 0 {
		sum -= valueMargin
	}
	for i := range p.values {
		v := &p.values[i]
		n := float64(p.countGroups(v.model.Name, domain)) + p.pendingGroups(v.model.Name, domain)
		for _, g := range o.closed {
			if g.Model != v.model.Name {
				continue
			}
			sum -= v.of(n)/max(1, n)*v.moveTime/valueHorizon.Seconds() + closeHysteresis*(v.of(n)-v.of(n-1))
			n--
		}
		sum += v.of(n)
		var times []time.Duration
		for _, g := range o.formed {
			if g.model.Name == v.model.Name {
				times = append(times, g.timeToReady)
			}
		}
		slices.SortFunc(times, cmp.Compare[time.Duration])
		for _, t := range times {
			sum += (v.of(n+1) - v.of(n)) * (1 - horizonShare(t))
			n++
		}
		if n < 1 && v.elsewhere < 1 {
			sum -= noGroupPenalty * float64(len(p.values))
		}
	}
	return sum
}

// mayClose reports whether k groups of a model may close for another model. Its last group
// is kept, and engines that were converted to the model are not converted back at once.
func (p *planner) mayClose(m *catalog.Model, k int) bool {
	if p.values == nil {
		return true
	}
	at, ok := p.mem.converted[m.Name]
	if p.in.Now.Before(p.mem.noConversionUntil) || ok && p.in.Now.Sub(at) < reverseDelay {
		return false
	}
	serving := 0
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		if g.Service == p.in.Service && g.Model == m.Name && p.isServing(g) {
			serving++
		}
	}
	return serving > k
}

// isServing reports whether a group serves and none of its members is missing or silent.
func (p *planner) isServing(g *Group) bool {
	return p.mem.closing[g.Name] == nil && p.mem.opened[g.Name] && !slices.ContainsFunc(g.Members, func(id roster.ID) bool { return p.health(id) != alive })
}

// isChanging reports whether a group of the domain is closing or being formed, also one of a
// conversion that the previous owner began. A group that has ended in this plan is no longer
// in the ledger, but its engines are still to form the group that it closed for. The time is
// limited because an unreachable member stays claimed for as long as it is unreachable.
func (p *planner) isChanging(domain string) bool {
	if p.convertedIn[domain] {
		return true
	}
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		if g.Service != p.in.Service || g.Domain != domain {
			continue
		}
		since, changing := p.mem.firstSeen[g.Name], !p.mem.opened[g.Name]
		if c := p.mem.closing[g.Name]; c != nil {
			since, changing = c.since, true
		}
		if (changing || g.Ending) && p.in.Now.Sub(since) < maxConversionTime {
			return true
		}
	}
	return false
}

// recordConversion notes the models for which the option closes groups, and returns the
// number of groups that it forms of each.
func (p *planner) recordConversion(o *option) map[string]int {
	formed := map[string]int{}
	for i := range o.formed {
		formed[o.formed[i].model.Name]++
		p.mem.converted[o.formed[i].model.Name] = p.in.Now
	}
	return formed
}

// confirmConversion reports whether the claim that marks a group as ending is committed, and
// announces the group as lost if so. Otherwise the conversion is withdrawn: it needs the
// table, and without the claim the next owner could begin a second conversion.
func (p *planner) confirmConversion(g *Group, c *closing) bool {
	c.awaitsClaim = false
	if g.Ending {
		p.out.Lost = append(p.out.Lost, p.hintOf(g, roster.Broken))
		return true
	}
	delete(p.mem.closing, g.Name)
	delete(p.mem.conversions, g.Domain)
	p.mem.noConversionUntil = p.in.Now.Add(withdrawnDelay)
	p.noteDecision("group %s continues: its end could not be recorded", g.Name)
	return false
}
