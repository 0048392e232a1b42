package forward

import "sync"

// pressure keeps, for each model, the share of requests that found no place.
type pressure struct {
	mu    sync.Mutex
	share map[string]float64
}

// pressureSmoothing is how many requests a change needs to show: three seconds
// of a model's requests at one of six nodes.
const pressureSmoothing = 48

// note counts a request that was placed or found no place.
func (p *pressure) note(model string, placed bool) {
	x := 1.0
	if placed {
		x = 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.share == nil {
		p.share = map[string]float64{}
	}
	p.share[model] += (x - p.share[model]) / pressureSmoothing
}

// Pressure returns the share of a model's requests that found no place of late,
// 0 to 1.
func (f *Forwarder) Pressure(model string) float64 {
	f.pressure.mu.Lock()
	defer f.pressure.mu.Unlock()
	return f.pressure.share[model]
}
