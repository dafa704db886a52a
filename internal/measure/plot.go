package measure

import (
	"image/color"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter
	barWidth   = 0.6 * vg.Centimeter
	plotRows   = 2
	plotCols   = 2
)

// panel is one bar chart with one value per policy.
type panel struct {
	title string
	value func(*Result) float64
}

var panels = []panel{
	{title: "stall time, s", value: func(r *Result) float64 { return r.StallSeconds }},
	{title: "gap between tokens p99, ms", value: func(r *Result) float64 { return r.GapP99Milliseconds }},
	{title: "preemptions", value: func(r *Result) float64 { return float64(r.Preemptions) }},
	{title: "answered on time, share", value: func(r *Result) float64 { return r.OnTimeShare }},
}

// Plot draws a bar per result into an SVG or PNG file, which is chosen by the extension of path.
func Plot(results []Result, path string) error {
	charts := make([][]*plot.Plot, plotRows)
	for i, p := range panels {
		chart, err := p.draw(results)
		if err != nil {
			return err
		}
		charts[i/plotCols] = append(charts[i/plotCols], chart)
	}
	switch filepath.Ext(path) {
	case ".svg":
		canvas := vgsvg.New(plotWidth, plotHeight)
		drawTiles(charts, draw.New(canvas))
		return write(path, canvas)
	case ".png":
		canvas := vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}
		drawTiles(charts, draw.New(canvas))
		return write(path, canvas)
	default:
		return errors.Newf("cannot draw to %q: use a name that ends in .svg or .png", path)
	}
}

func (p *panel) draw(results []Result) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text = p.title
	chart.Y.Min = 0
	var names []string
	for i := range results {
		bar, err := plotter.NewBarChart(plotter.Values{p.value(&results[i])}, barWidth)
		if err != nil {
			return nil, errors.Wrap(err, "draw a bar")
		}
		bar.XMin = float64(i)
		bar.Color = barColor(results[i].Policy)
		chart.Add(bar)
		names = append(names, results[i].Policy)
	}
	chart.NominalX(names...)
	return chart, nil
}

func barColor(policyName string) color.Color {
	switch policyName {
	case "godwitcart":
		return color.RGBA{R: 30, G: 110, B: 190, A: 255}
	case "clairvoyant":
		return color.RGBA{R: 90, G: 160, B: 90, A: 255}
	default:
		return color.Gray{Y: 160}
	}
}

func drawTiles(charts [][]*plot.Plot, canvas draw.Canvas) {
	tiles := draw.Tiles{Rows: plotRows, Cols: plotCols, PadX: vg.Centimeter, PadY: vg.Centimeter}
	for row, canvases := range plot.Align(charts, tiles, canvas) {
		for column, tile := range canvases {
			charts[row][column].Draw(tile)
		}
	}
}

type writerTo interface {
	vg.CanvasWriterTo
}

func write(path string, canvas writerTo) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the plot")
	}
	defer file.Close()
	if _, err := canvas.WriteTo(file); err != nil {
		return errors.Wrap(err, "write the plot")
	}
	return errors.Wrap(file.Close(), "close the plot")
}
