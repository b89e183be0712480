package account

import (
	"maps"
	"slices"

	"github.com/samphirequay/samphirequay/cmd/internal/experiment"
)

// Name is the base name of the summary's files.
const Name = "account"

// Report returns the summary as a report with its figures.
func (a *Summary) Report() *experiment.Report {
	figures := []experiment.Figure{a.memoryFigure(), a.rolesFigure()}
	for _, kind := range a.kinds() {
		figures = append(figures, a.outcomesFigure(kind))
	}
	return &experiment.Report{Experiment: Name, Data: a, Figures: figures}
}

func (a *Summary) kinds() []string {
	return distinctNames(a.Seconds, func(s Second) string { return s.Kind })
}

// outcomesFigure shows the outcomes of a kind's requests by the second of arrival.
func (a *Summary) outcomesFigure(kind string) experiment.Figure {
	lines := []struct {
		name string
		of   func(s *Second) int
	}{
		{"in time", func(s *Second) int { return s.InTime }},
		{"late", func(s *Second) int { return s.Late }},
		{"refused", func(s *Second) int { return s.Refused }},
		{"failed", func(s *Second) int { return s.Failed }},
	}
	f := experiment.Figure{
		Name: "outcomes-" + kind, Title: "Requests by outcome: " + kind,
		XLabel: "second of the first arrival", YLabel: "requests",
	}
	for _, line := range lines {
		series := experiment.Series{Name: line.name}
		for i := range a.Seconds {
			if s := &a.Seconds[i]; s.Kind == kind {
				series.X = append(series.X, float64(s.At))
				series.Y = append(series.Y, float64(line.of(s)))
			}
		}
		f.Series = append(f.Series, series)
	}
	return f
}

// memoryFigure shows the share of the decode engines' memory that is held.
func (a *Summary) memoryFigure() experiment.Figure {
	return a.poolFigure("memory", "Decode memory held", "share", map[string]func(p *Pool) float64{
		"held": func(p *Pool) float64 { return p.MemoryHeld },
	})
}

// rolesFigure shows the engines by role and the length of the queue.
func (a *Summary) rolesFigure() experiment.Figure {
	return a.poolFigure("roles", "Engines by role, and requests in the queue", "count", map[string]func(p *Pool) float64{
		"prefill": func(p *Pool) float64 { return float64(p.Prefills) },
		"decode":  func(p *Pool) float64 { return float64(p.Decodes) },
		"queued":  func(p *Pool) float64 { return float64(p.Queued) },
	})
}

func (a *Summary) poolFigure(name, title, unit string, lines map[string]func(p *Pool) float64) experiment.Figure {
	f := experiment.Figure{Name: name, Title: title, XLabel: "second", YLabel: unit}
	for _, pool := range a.poolNames() {
		for _, line := range slices.Sorted(maps.Keys(lines)) {
			series := experiment.Series{Name: pool + " " + line}
			for i := range a.Pools {
				if p := &a.Pools[i]; p.Pool == pool {
					series.X = append(series.X, p.AtSeconds)
					series.Y = append(series.Y, lines[line](p))
				}
			}
			f.Series = append(f.Series, series)
		}
	}
	return f
}

func (a *Summary) poolNames() []string {
	return distinctNames(a.Pools, func(p Pool) string { return p.Pool })
}

// distinctNames returns the distinct names of items, sorted.
func distinctNames[T any](items []T, of func(T) string) []string {
	var out []string
	for _, item := range items {
		out = append(out, of(item))
	}
	slices.Sort(out)
	return slices.Compact(out)
}
