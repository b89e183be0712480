package report

import (
	"fmt"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/experiment"
)

// page is the data of the template.
type page struct {
	Run, Before *Run
	Sections    []section
}

// section shows one experiment.
type section struct {
	experiment.Outcome
	Took string
	// HasBefore reports whether the previous run has a report of the experiment.
	HasBefore bool
	Rows      []row
	Plots     []plot
}

// row is one line of a report, field by field.
type row []field

// field is one key=value pair, or a word, with its previous value.
type field struct {
	Key, Value string
	// Before is the previous value if it differs.
	Before string
}

// plot holds the paths of one figure's images; Before is empty if the previous run
// has no such figure.
type plot struct{ Title, Now, Before string }

func newPage(run *Run, before *previousRun) *page {
	p := &page{Run: run, Before: before.run}
	for _, outcome := range run.Outcomes {
		p.Sections = append(p.Sections, newSection(outcome, before.reports[outcome.Name]))
	}
	return p
}

func newSection(outcome experiment.Outcome, before *experiment.Report) section {
	s := section{Outcome: outcome, HasBefore: before != nil}
	s.Took = time.Duration(outcome.Seconds * float64(time.Second)).Round(time.Millisecond).String()
	if before == nil {
		before = &experiment.Report{}
	}
	s.Rows = pairRows(outcome.Lines, before.Lines)
	if outcome.Report == nil {
		return s
	}
	previousFigures := make(map[string]bool)
	for _, f := range before.Figures {
		previousFigures[f.Name] = true
	}
	for _, f := range outcome.Report.Figures {
		next := plot{Title: f.Title, Now: f.Name + ".svg"}
		if previousFigures[f.Name] {
			next.Before = fmt.Sprintf("%s/%s.svg", previousFolder, f.Name)
		}
		s.Plots = append(s.Plots, next)
	}
	return s
}

// pairRows pairs each line with the previous run's line about the same
// configuration: the unused line with the longest common prefix of fields, which
// is at least one field.
func pairRows(now, before []string) []row {
	used := make([]bool, len(before))
	rows := make([]row, 0, len(now))
	for _, text := range now {
		best, longest := -1, 0
		for i, other := range before {
			if n := commonPrefixFields(text, other); !used[i] && n > longest {
				best, longest = i, n
			}
		}
		if best < 0 {
			rows = append(rows, newRow(text, ""))
			continue
		}
		used[best] = true
		rows = append(rows, newRow(text, before[best]))
	}
	return rows
}

// commonPrefixFields returns the number of fields in the common prefix of two lines.
func commonPrefixFields(a, b string) int {
	fields, others := strings.Fields(a), strings.Fields(b)
	n := 0
	for n < len(fields) && n < len(others) && fields[n] == others[n] {
		n++
	}
	return n
}

func newRow(text, before string) row {
	previousValues := make(map[string]string)
	for _, f := range strings.Fields(before) {
		key, value, _ := strings.Cut(f, "=")
		previousValues[key] = value
	}
	var r row
	for _, f := range strings.Fields(text) {
		key, value, _ := strings.Cut(f, "=")
		next := field{Key: key, Value: value}
		if old := previousValues[key]; old != value {
			next.Before = old
		}
		r = append(r, next)
	}
	return r
}
