package load

import (
	"image/color"
	"io"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 24 * vg.Centimeter
	lineWidth  = vg.Length(1.5)
	panelCount = 3
)

// Colors that stay distinguishable with color vision deficiency.
var (
	blue   = color.RGBA{R: 0, G: 114, B: 178, A: 255}
	orange = color.RGBA{R: 230, G: 159, B: 0, A: 255}
	purple = color.RGBA{R: 204, G: 121, B: 167, A: 255}
	gray   = color.RGBA{R: 90, G: 90, B: 90, A: 255}
)

// series is one line of a panel.
type series struct {
	name  string
	color color.Color
	value func(*pb.LoadInterval) float64
}

// WritePlot plots latency percentiles, coverage and extra load of a run over
// time, with its events marked. The extension of name selects PNG or SVG.
func WritePlot(w io.Writer, name string, result *pb.LoadResult) error {
	latency, err := panel(result, "latency, ms", []series{
		{"p50", blue, func(i *pb.LoadInterval) float64 { return toMs(i.Latency.GetP50Us()) }},
		{"p99", orange, func(i *pb.LoadInterval) float64 { return toMs(i.Latency.GetP99Us()) }},
		{"p99.9", purple, func(i *pb.LoadInterval) float64 { return toMs(i.Latency.GetP999Us()) }},
	})
	if err != nil {
		return err
	}
	latency.Title.Text = title(result)
	coverage, err := panel(result, "coverage, %", []series{
		{"coverage", blue, func(i *pb.LoadInterval) float64 { return CoveragePercent(i.Counts) }},
	})
	if err != nil {
		return err
	}
	coverage.Y.Max = max(coverage.Y.Max, percent)
	extra, err := panel(result, "extra subrequests, %", []series{
		{"extra load", orange, func(i *pb.LoadInterval) float64 { return ExtraPercent(i.Counts) }},
	})
	if err != nil {
		return err
	}
	extra.X.Label.Text = "seconds since the start of the run"
	return drawPanels(w, name, []*plot.Plot{latency, coverage, extra})
}

func title(result *pb.LoadResult) string {
	p := result.Parameters
	return strings.TrimSpace(p.GetLabel()+" ") + ": " + p.GetFront() + ", " +
		time.UnixMilli(result.StartedUnixMs).UTC().Format(time.RFC3339)
}

// panel plots the given series over the intervals that have requests.
func panel(result *pb.LoadResult, label string, lines []series) (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text = label
	p.Legend.Top = true
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for _, s := range lines {
		var points plotter.XYs
		for _, interval := range result.Intervals {
			if interval.Counts.GetIntended() > 0 {
				points = append(points, plotter.XY{X: seconds(int64(interval.OffsetMs)), Y: s.value(interval)})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Wrap(err, "draw line")
		}
		line.Color, line.Width = s.color, lineWidth
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	p.X.Min, p.X.Max = 0, seconds(int64(result.Parameters.GetDurationMs()))
	p.Y.Min = min(p.Y.Min, 0)
	p.Y.Max = max(p.Y.Max, 1)
	return p, markEvents(p, result.Events)
}

// markEvents draws a labeled dashed vertical line for each event.
func markEvents(p *plot.Plot, events []*pb.LoadEvent) error {
	for _, event := range events {
		x := seconds(event.OffsetMs)
		mark, err := plotter.NewLine(plotter.XYs{{X: x, Y: p.Y.Min}, {X: x, Y: p.Y.Max}})
		if err != nil {
			return errors.Wrap(err, "draw event")
		}
		mark.Color, mark.Dashes = gray, []vg.Length{vg.Points(4), vg.Points(3)}
		text, err := plotter.NewLabels(plotter.XYLabels{
			XYs: plotter.XYs{{X: x, Y: p.Y.Min}}, Labels: []string{" " + event.Text},
		})
		if err != nil {
			return errors.Wrap(err, "draw event label")
		}
		text.TextStyle[0].Color = gray
		p.Add(mark, text)
	}
	return nil
}

func seconds(ms int64) float64 {
	return float64(ms) / float64(time.Second/time.Millisecond)
}

// canvas is implemented by the PNG and SVG canvases.
type canvas interface {
	vg.CanvasSizer
	io.WriterTo
}

func newCanvas(name string) (canvas, error) {
	switch strings.ToLower(filepath.Ext(name)) {
	case ".png":
		return vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}, nil
	case ".svg":
		return vgsvg.New(plotWidth, plotHeight), nil
	default:
		return nil, &InvalidError{Reason: name + " must end with .png or .svg"}
	}
}

func drawPanels(w io.Writer, name string, plots []*plot.Plot) error {
	out, err := newCanvas(name)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: panelCount, Cols: 1, PadTop: vg.Points(6), PadRight: vg.Points(12), PadY: vg.Points(12)}
	rows := make([][]*plot.Plot, len(plots))
	for i, p := range plots {
		rows[i] = []*plot.Plot{p}
	}
	for i, cells := range plot.Align(rows, tiles, draw.New(out)) {
		plots[i].Draw(cells[0])
	}
	_, err = out.WriteTo(w)
	return errors.Wrap(err, "write plot")
}
