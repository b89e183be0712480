package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Series is one line of a figure.
type Series struct {
	Name string    `json:"name"`
	X    []float64 `json:"x"`
	Y    []float64 `json:"y"`
}

// Figure is one plot.
type Figure struct {
	// Name is the file name without the extension.
	Name   string   `json:"name"`
	Title  string   `json:"title"`
	XLabel string   `json:"x_label"`
	YLabel string   `json:"y_label"`
	Series []Series `json:"series"`
}

// Size of a plot.
const (
	figureWidth  = 16 * vg.Centimeter
	figureHeight = 10 * vg.Centimeter
)

// Write writes a report as JSON, and its figures as SVG, to a directory. It creates
// the directory if needed.
func (r *Report) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create the report directory")
	}
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the report")
	}
	if err := os.WriteFile(filepath.Join(dir, r.Experiment+".json"), append(raw, '\n'), 0o644); err != nil {
		return eris.Wrap(err, "write the report")
	}
	for _, f := range r.Figures {
		if err := f.write(dir); err != nil {
			return eris.Wrapf(err, "figure %s", f.Name)
		}
	}
	return nil
}

// write draws the figure and saves it as SVG in a directory.
func (f Figure) write(dir string) error {
	p := plot.New()
	p.Title.Text = f.Title
	p.X.Label.Text = f.XLabel
	p.Y.Label.Text = f.YLabel
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	var lines []any
	for _, s := range f.Series {
		points := make(plotter.XYs, len(s.X))
		for i := range points {
			points[i] = plotter.XY{X: s.X[i], Y: s.Y[i]}
		}
		lines = append(lines, s.Name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(figureWidth, figureHeight, filepath.Join(dir, f.Name+".svg"))
}
