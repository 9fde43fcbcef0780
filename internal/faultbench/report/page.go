package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"damsontrestle/internal/faultbench"
)

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 62em; color: #222 }
table { border-collapse: collapse } td, th { padding: .25em .8em; text-align: right; border-bottom: 1px solid #ddd }
td:first-child, th:first-child { text-align: left } .sure { font-weight: 600 }
figure { margin: 1.5em 0 } figcaption { color: #555 } pre { background: #f6f6f6; padding: .6em; overflow-x: auto }
.a { color: #b35900 } .b { color: #1f5fa8 }
</style></head><body>
<h1>{{.Title}}</h1>
<p><span class="a">A: {{.A}}</span>, <span class="b">B: {{.B}}</span>; {{len .Pairs}} pairs by seed. The interval holds the
difference in 95 of 100 resamples of the pairs; it is in bold if it excludes zero.</p>
<table><tr><th>figure</th><th>A</th><th>B</th><th>B - A</th><th>interval</th></tr>
{{range .Rows}}<tr><td>{{.Name}}{{if .Unit}} ({{.Unit}}){{end}}</td><td>{{printf "%.3f" .A}}</td><td>{{printf "%.3f" .B}}</td>
<td>{{printf "%+.3f" .Difference}}</td><td{{if .Significant}} class="sure"{{end}}>{{printf "%+.3f to %+.3f" .Low .High}}</td></tr>
{{end}}</table>
{{range .Left}}<p>Left out: {{.}}</p>{{end}}
{{range .Plots}}<figure>{{.SVG}}<figcaption>{{.Caption}}</figcaption></figure>{{end}}
{{range .Breaches}}<pre>{{.}}</pre>{{end}}
</body></html>
`))

// Significant reports whether the interval of the difference excludes zero.
func (r Row) Significant() bool { return r.Low > 0 || r.High < 0 }

type renderedPlot struct {
	SVG     template.HTML
	Caption string
}

// Page writes the comparison of pairs as one HTML page. a and b are the names of the two sets.
func Page(w io.Writer, title, a, b string, pairs []Pair, left []string) error {
	view := struct {
		Title, A, B string
		Pairs       []Pair
		Rows        []Row
		Left        []string
		Plots       []renderedPlot
		Breaches    []string
	}{Title: title, A: a, B: b, Pairs: pairs, Rows: Compare(pairs), Left: left}
	for i, p := range pairs {
		for _, r := range []*faultbench.Result{p.A, p.B} {
			for _, breach := range r.Breaches {
				view.Breaches = append(view.Breaches, fmt.Sprintf("%s, %s, seed %d: %v", r.Experiment, r.Policy, r.Seed, breach))
			}
		}
		if i >= maxPlots {
			continue
		}
		for _, kind := range plots {
			svg, err := kind.draw(p)
			if err != nil {
				return fmt.Errorf("report: %w", err)
			}
			view.Plots = append(view.Plots, renderedPlot{template.HTML(svg), fmt.Sprintf("%s, seed %d: %s", p.A.Experiment, p.A.Seed, kind.caption)})
		}
	}
	if err := page.Execute(w, view); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// maxPlots is the maximum number of pairs that are plotted, which keeps the page readable.
const maxPlots = 6

var plots = []struct {
	caption string
	draw    func(Pair) (string, error)
}{
	{"share of the requests of each second that were served within their aim", func(p Pair) (string, error) {
		return curves("second", "share", p, func(r *faultbench.Result) (xy plotter.XYs) {
			for i, s := range r.Figures.BySecond {
				if s.Calls > 0 {
					xy = append(xy, plotter.XY{X: float64(i), Y: s.InAim})
				}
			}
			return xy
		})
	}},
	{"requests per server relative to the mean, in ascending order", func(p Pair) (string, error) {
		return curves("server", "of mean", p, func(r *faultbench.Result) (xy plotter.XYs) {
			counts, all := slices.Clone(r.Figures.Spread.Counts), 0
			slices.Sort(counts)
			for _, c := range counts {
				all += c
			}
			for i, c := range counts {
				xy = append(xy, plotter.XY{X: float64(i), Y: float64(c) * float64(len(counts)) / float64(max(1, all))})
			}
			return xy
		})
	}},
	{"waiting requests per slot, by tenths of a second", func(p Pair) (string, error) {
		return curves("second", "calls", p, func(r *faultbench.Result) (xy plotter.XYs) {
			for _, s := range r.Figures.Series {
				xy = append(xy, plotter.XY{X: s.At.Seconds(), Y: s.Waiting})
			}
			return xy
		})
	}},
	{"cumulative share of served requests by latency", func(p Pair) (string, error) {
		return curves("ms", "share", p, func(r *faultbench.Result) (xy plotter.XYs) {
			h, err := hdrhistogram.Decode(r.Figures.Latency)
			if err != nil {
				return nil
			}
			for q := 0.0; q <= 99.9; q += 0.5 {
				xy = append(xy, plotter.XY{X: float64(h.ValueAtQuantile(q)) / 1e3, Y: q / 100})
			}
			return xy
		})
	}},
}

// curves plots one line for each side of a pair and returns it as SVG.
func curves(x, y string, p Pair, of func(*faultbench.Result) plotter.XYs) (string, error) {
	chart := plot.New()
	chart.X.Label.Text, chart.Y.Label.Text = x, y
	chart.Add(plotter.NewGrid())
	for i, r := range []*faultbench.Result{p.A, p.B} {
		xy := of(r)
		if len(xy) == 0 {
			continue
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return "", err
		}
		l.Color = []color.Color{color.RGBA{0xb3, 0x59, 0, 0xff}, color.RGBA{0x1f, 0x5f, 0xa8, 0xff}}[i]
		l.Width = vg.Points(1.4)
		chart.Add(l)
		chart.Legend.Add([]string{"A", "B"}[i], l)
	}
	c := vgsvg.New(18*vg.Centimeter, 7*vg.Centimeter)
	chart.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 { // drop the XML declaration, which is invalid inside HTML
		text = text[i:]
	}
	return string(text), nil
}
