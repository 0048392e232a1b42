package load

import (
	"fmt"
	"html"
	"io"
	"math"
	"strings"
)

// The plot's measures, in SVG units.
const (
	svgWidth   = 760
	svgPanel   = 260 // height of a panel's plot area
	svgLeft    = 80
	svgRight   = 180 // for the legend
	svgTop     = 40
	svgBetween = 90
	svgHeight  = svgTop + 2*svgPanel + svgBetween + 50
)

var svgColours = []string{"#1b6ca8", "#c8553d", "#3a7d44", "#8e5ea2", "#b8860b", "#555555", "#00838f", "#ad1457"}

// plot collects SVG elements.
type plot struct{ b strings.Builder }

func (p *plot) add(format string, args ...any) { fmt.Fprintf(&p.b, format+"\n", args...) }

func (p *plot) text(x, y float64, anchor, s string) {
	p.add(`<text x="%.1f" y="%.1f" text-anchor="%s">%s</text>`, x, y, anchor, html.EscapeString(s))
}

func (p *plot) line(x1, y1, x2, y2 float64, colour string) {
	p.add(`<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="%s"/>`, x1, y1, x2, y2, colour)
}

// WriteSVG draws the latency curves of all kinds, with the percentile on a scale
// that gives each nine the same room, and what became of the requests second by
// second.
func (r *Report) WriteSVG(w io.Writer) error {
	p := &plot{}
	p.add(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`, svgWidth, svgHeight)
	p.add(`<rect width="100%%" height="100%%" fill="white"/>`)
	p.text(svgLeft, 20, "start", r.summary())
	p.curves(r)
	p.outcomes(r)
	p.add(`</svg>`)
	_, err := io.WriteString(w, p.b.String())
	return err
}

// curve is one line of the upper panel.
type curve struct {
	name    string
	latency *Latency
}

func curvesOf(r *Report) (out []curve) {
	for i := range r.Kinds {
		k := &r.Kinds[i]
		for _, c := range []curve{{k.Name, &k.Total}, {k.Name + " first token", &k.FirstToken}} {
			if c.latency.Count > 0 {
				out = append(out, c)
			}
		}
	}
	return out
}

// percentileX places a percentile: the median, 90, 99, 99.9 and 99.99 are
// spaced by the nines.
func percentileX(percentile float64) float64 {
	const nines = 4.0
	rest := max(1-percentile/100, math.Pow(10, -nines))
	return svgLeft + -math.Log10(rest)/nines*plotWidth
}

const plotWidth = float64(svgWidth - svgLeft - svgRight)

func (p *plot) curves(r *Report) {
	curves := curvesOf(r)
	least, most := math.Inf(1), 0.0
	for _, c := range curves {
		for _, pt := range c.latency.Curve {
			least, most = min(least, float64(pt.Micros)), max(most, float64(pt.Micros))
		}
	}
	if len(curves) == 0 {
		least, most = 1, 10
	}
	low, high := math.Floor(math.Log10(least)), math.Ceil(math.Log10(most))
	if high <= low {
		high = low + 1
	}
	bottom := float64(svgTop + svgPanel)
	y := func(us float64) float64 { return bottom - (math.Log10(us)-low)/(high-low)*svgPanel }
	for e := low; e <= high; e++ {
		us := math.Pow(10, e)
		p.line(svgLeft, y(us), svgLeft+plotWidth, y(us), "#dddddd")
		p.text(svgLeft-6, y(us)+4, "end", micros(int64(us)))
	}
	for _, q := range []float64{0, 50, 90, 99, 99.9, 99.99} {
		p.line(percentileX(q), svgTop, percentileX(q), bottom, "#dddddd")
		p.text(percentileX(q), bottom+16, "middle", fmt.Sprintf("%g%%", q))
	}
	p.text(svgLeft+plotWidth/2, bottom+34, "middle", "latency of this part of the requests or less, from the intended start")
	for i, c := range curves {
		p.polyline(c.latency.Curve, y, svgColours[i%len(svgColours)])
		p.legend(svgTop, i, c.name, svgColours[i%len(svgColours)])
	}
}

func (p *plot) polyline(points []Point, y func(float64) float64, colour string) {
	var at []string
	for _, pt := range points {
		at = append(at, fmt.Sprintf("%.1f,%.1f", percentileX(pt.Percentile), y(float64(pt.Micros))))
	}
	p.add(`<polyline points="%s" fill="none" stroke="%s" stroke-width="1.5"/>`, strings.Join(at, " "), colour)
}

func (p *plot) legend(top float64, i int, name, colour string) {
	x, y := svgLeft+plotWidth+14, top+10+float64(i)*16
	p.add(`<rect x="%.1f" y="%.1f" width="10" height="10" fill="%s"/>`, x, y-9, colour)
	p.text(x+15, y, "start", name)
}

// outcomeSeries are the layers of the lower panel, from the bottom.
var outcomeSeries = []struct {
	name   string
	colour string
	of     func(*Second) int
}{
	{"whole", "#3a7d44", func(s *Second) int { return s.Whole }},
	{"refused", "#e0a030", func(s *Second) int { return s.Refused }},
	{"failed", "#c8553d", func(s *Second) int { return s.Failed }},
	{"not sent", "#999999", func(s *Second) int { return s.NotSent }},
}

func (p *plot) outcomes(r *Report) {
	top := float64(svgTop + svgPanel + svgBetween)
	bottom := top + svgPanel
	most := 1
	for i := range r.Seconds {
		s := &r.Seconds[i]
		most = max(most, s.Whole+s.Refused+s.Failed+s.NotSent)
	}
	step := niceStep(most)
	for v := 0; v <= most; v += step {
		y := bottom - float64(v)/float64(most)*svgPanel
		p.line(svgLeft, y, svgLeft+plotWidth, y, "#dddddd")
		p.text(svgLeft-6, y+4, "end", fmt.Sprint(v))
	}
	width := plotWidth / float64(max(1, len(r.Seconds)))
	for i := range r.Seconds {
		p.bar(&r.Seconds[i], svgLeft+float64(i)*width, width, bottom, svgPanel/float64(most))
	}
	for i := 0; i < len(r.Seconds); i += niceStep(len(r.Seconds)) {
		p.text(svgLeft+float64(i)*width, bottom+16, "middle", fmt.Sprint(i))
	}
	p.text(svgLeft+plotWidth/2, bottom+34, "middle", "requests by the second in which they were due")
	for i, s := range outcomeSeries {
		p.legend(top, i, s.name, s.colour)
	}
}

func (p *plot) bar(s *Second, x, width, y, scale float64) {
	for _, o := range outcomeSeries {
		h := float64(o.of(s)) * scale
		if h == 0 {
			continue
		}
		y -= h
		p.add(`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, x, y, max(0.5, width-0.5), h, o.colour)
	}
}

// niceStep returns 1, 2 or 5 times a power of ten that divides most into at
// most ten steps.
func niceStep(most int) int {
	for step := 1; ; step *= 10 {
		for _, f := range []int{1, 2, 5} {
			if most/(step*f) <= 10 {
				return step * f
			}
		}
	}
}
