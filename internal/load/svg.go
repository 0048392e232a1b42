package load

import (
	"fmt"
	"html"
	"io"
	"math"
	"strings"
)

// Dimensions of the plot, in SVG units.
const (
	svgWidth       = 760
	svgPanelHeight = 260 // height of a panel's plot area
	svgMarginLeft  = 80
	svgMarginRight = 180 // for the legend
	svgMarginTop   = 40
	svgPanelGap    = 90
	svgHeight      = svgMarginTop + 2*svgPanelHeight + svgPanelGap + 50
)

var svgColours = []string{"#1b6ca8", "#c8553d", "#3a7d44", "#8e5ea2", "#b8860b", "#555555", "#00838f", "#ad1457"}

// plot builds the text of an SVG document.
type plot struct{ b strings.Builder }

func (p *plot) addElement(format string, args ...any) { fmt.Fprintf(&p.b, format+"\n", args...) }

func (p *plot) drawText(x, y float64, anchor, s string) {
	p.addElement(`<text x="%.1f" y="%.1f" text-anchor="%s">%s</text>`, x, y, anchor, html.EscapeString(s))
}

func (p *plot) drawLine(x1, y1, x2, y2 float64, colour string) {
	p.addElement(`<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="%s"/>`, x1, y1, x2, y2, colour)
}

// WriteSVG writes a plot with two panels: the latency curves of all kinds over a
// logarithmic percentile scale, and the outcomes of the requests per second.
func (r *Report) WriteSVG(w io.Writer) error {
	p := &plot{}
	p.addElement(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`, svgWidth, svgHeight)
	p.addElement(`<rect width="100%%" height="100%%" fill="white"/>`)
	p.drawText(svgMarginLeft, 20, "start", r.summary())
	p.drawCurves(r)
	p.drawOutcomes(r)
	p.addElement(`</svg>`)
	_, err := io.WriteString(w, p.b.String())
	return err
}

// curve is one latency curve of the upper panel.
type curve struct {
	name    string
	latency *Latency
}

func latencyCurves(r *Report) (out []curve) {
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

// percentileX returns the x coordinate of a percentile. The scale is logarithmic
// in the rest to 100 %, so that 0, 90, 99, 99.9 and 99.99 have equal distances.
func percentileX(percentile float64) float64 {
	const nines = 4.0
	rest := max(1-percentile/100, math.Pow(10, -nines))
	return svgMarginLeft + -math.Log10(rest)/nines*plotWidth
}

const plotWidth = float64(svgWidth - svgMarginLeft - svgMarginRight)

func (p *plot) drawCurves(r *Report) {
	curves := latencyCurves(r)
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
	bottom := float64(svgMarginTop + svgPanelHeight)
	y := func(us float64) float64 { return bottom - (math.Log10(us)-low)/(high-low)*svgPanelHeight }
	for e := low; e <= high; e++ {
		us := math.Pow(10, e)
		p.drawLine(svgMarginLeft, y(us), svgMarginLeft+plotWidth, y(us), "#dddddd")
		p.drawText(svgMarginLeft-6, y(us)+4, "end", formatMicros(int64(us)))
	}
	for _, q := range []float64{0, 50, 90, 99, 99.9, 99.99} {
		p.drawLine(percentileX(q), svgMarginTop, percentileX(q), bottom, "#dddddd")
		p.drawText(percentileX(q), bottom+16, "middle", fmt.Sprintf("%g%%", q))
	}
	p.drawText(svgMarginLeft+plotWidth/2, bottom+34, "middle", "latency percentile, measured from the intended start")
	for i, c := range curves {
		p.drawPolyline(c.latency.Curve, y, svgColours[i%len(svgColours)])
		p.drawLegendEntry(svgMarginTop, i, c.name, svgColours[i%len(svgColours)])
	}
}

func (p *plot) drawPolyline(points []Point, y func(float64) float64, colour string) {
	var at []string
	for _, pt := range points {
		at = append(at, fmt.Sprintf("%.1f,%.1f", percentileX(pt.Percentile), y(float64(pt.Micros))))
	}
	p.addElement(`<polyline points="%s" fill="none" stroke="%s" stroke-width="1.5"/>`, strings.Join(at, " "), colour)
}

func (p *plot) drawLegendEntry(top float64, i int, name, colour string) {
	x, y := svgMarginLeft+plotWidth+14, top+10+float64(i)*16
	p.addElement(`<rect x="%.1f" y="%.1f" width="10" height="10" fill="%s"/>`, x, y-9, colour)
	p.drawText(x+15, y, "start", name)
}

// outcomeSeries are the stacked series of the lower panel, from the bottom.
var outcomeSeries = []struct {
	name   string
	colour string
	count  func(*SecondCounts) int
}{
	{"whole", "#3a7d44", func(s *SecondCounts) int { return s.Whole }},
	{"refused", "#e0a030", func(s *SecondCounts) int { return s.Refused }},
	{"failed", "#c8553d", func(s *SecondCounts) int { return s.Failed }},
	{"not sent", "#999999", func(s *SecondCounts) int { return s.NotSent }},
}

func (p *plot) drawOutcomes(r *Report) {
	top := float64(svgMarginTop + svgPanelHeight + svgPanelGap)
	bottom := top + svgPanelHeight
	most := 1
	for i := range r.Seconds {
		s := &r.Seconds[i]
		most = max(most, s.Whole+s.Refused+s.Failed+s.NotSent)
	}
	step := axisStep(most)
	for v := 0; v <= most; v += step {
		y := bottom - float64(v)/float64(most)*svgPanelHeight
		p.drawLine(svgMarginLeft, y, svgMarginLeft+plotWidth, y, "#dddddd")
		p.drawText(svgMarginLeft-6, y+4, "end", fmt.Sprint(v))
	}
	width := plotWidth / float64(max(1, len(r.Seconds)))
	for i := range r.Seconds {
		p.drawBar(&r.Seconds[i], svgMarginLeft+float64(i)*width, width, bottom, svgPanelHeight/float64(most))
	}
	for i := 0; i < len(r.Seconds); i += axisStep(len(r.Seconds)) {
		p.drawText(svgMarginLeft+float64(i)*width, bottom+16, "middle", fmt.Sprint(i))
	}
	p.drawText(svgMarginLeft+plotWidth/2, bottom+34, "middle", "requests by second of the intended start")
	for i, s := range outcomeSeries {
		p.drawLegendEntry(top, i, s.name, s.colour)
	}
}

// drawBar draws the stacked bar of one second.
func (p *plot) drawBar(s *SecondCounts, x, width, y, scale float64) {
	for _, o := range outcomeSeries {
		h := float64(o.count(s)) * scale
		if h == 0 {
			continue
		}
		y -= h
		p.addElement(`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, x, y, max(0.5, width-0.5), h, o.colour)
	}
}

// axisStep returns the smallest of 1, 2 or 5 times a power of ten for which an
// axis up to most has at most ten full steps.
func axisStep(most int) int {
	for step := 1; ; step *= 10 {
		for _, f := range []int{1, 2, 5} {
			if most/(step*f) <= 10 {
				return step * f
			}
		}
	}
}
