package report

import (
	"fmt"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/experiment"
)

// page is what the template shows.
type page struct {
	Run, Before *Run
	Sections    []section
}

// section is about one experiment.
type section struct {
	experiment.Outcome
	Took string
	// HasBefore tells whether the earlier run has a report of it.
	HasBefore bool
	Rows      []line
	Plots     []plot
}

// line is one line of a report, field by field.
type line []field

// field is one key=value pair, or a word, with the earlier value.
type field struct {
	Key, Value string
	// Before is the earlier value where it was another one.
	Before string
}

// plot is one figure; Before is empty if the earlier run has none.
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
	s.Rows = pairLines(outcome.Lines, before.Lines)
	if outcome.Report == nil {
		return s
	}
	earlier := make(map[string]bool)
	for _, f := range before.Figures {
		earlier[f.Name] = true
	}
	for _, f := range outcome.Report.Figures {
		next := plot{Title: f.Title, Now: f.Name + ".svg"}
		if earlier[f.Name] {
			next.Before = fmt.Sprintf("%s/%s.svg", previousFolder, f.Name)
		}
		s.Plots = append(s.Plots, next)
	}
	return s
}

// pairLines finds for each line the earlier one about the same run: the one
// that has the most pairs at its start in common, and at least the first.
func pairLines(now, before []string) []line {
	used := make([]bool, len(before))
	lines := make([]line, 0, len(now))
	for _, text := range now {
		best, most := -1, 0
		for i, other := range before {
			if n := commonPrefixFields(text, other); !used[i] && n > most {
				best, most = i, n
			}
		}
		if best < 0 {
			lines = append(lines, newLine(text, ""))
			continue
		}
		used[best] = true
		lines = append(lines, newLine(text, before[best]))
	}
	return lines
}

// commonStart counts the fields that two lines have in common at their starts.
func commonPrefixFields(a, b string) int {
	fields, others := strings.Fields(a), strings.Fields(b)
	n := 0
	for n < len(fields) && n < len(others) && fields[n] == others[n] {
		n++
	}
	return n
}

func newLine(text, before string) line {
	earlier := make(map[string]string)
	for _, f := range strings.Fields(before) {
		key, value, _ := strings.Cut(f, "=")
		earlier[key] = value
	}
	var l line
	for _, f := range strings.Fields(text) {
		key, value, _ := strings.Cut(f, "=")
		next := field{Key: key, Value: value}
		if old := earlier[key]; old != value {
			next.Before = old
		}
		l = append(l, next)
	}
	return l
}
