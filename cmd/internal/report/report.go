// Package report writes one HTML page about a run of experiments that compares
// them with a previous run.
package report

import (
	_ "embed"
	"encoding/json"
	"errors"
	"html/template"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/cmd/internal/experiment"
	"github.com/samphirequay/samphirequay/cmd/internal/version"
)

// Files and folders of a run.
const (
	// IndexFile is the HTML page.
	IndexFile = "index.html"
	// SummaryFile holds the Run as JSON.
	SummaryFile = "summary.json"
	// previousFolder holds a copy of the previous run's reports, so that the page
	// does not depend on that run's folder.
	previousFolder = "previous"
)

// Run is the summary of one run of experiments.
type Run struct {
	Build version.Info `json:"build"`
	Seed  uint64       `json:"seed"`
	// Begun is the start time of the run.
	Begun    time.Time            `json:"begun"`
	Outcomes []experiment.Outcome `json:"outcomes"`
}

// Failed returns the number of experiments without a report or with faults.
func (r *Run) Failed() int {
	n := 0
	for i := range r.Outcomes {
		if r.Outcomes[i].Failed() {
			n++
		}
	}
	return n
}

//go:embed index.html.tmpl
var indexText string

var indexTemplate = template.Must(template.New(IndexFile).Parse(indexText))

// Write writes the reports, their plots, the summary and the page to dir.
// previous is the folder of the previous run, or empty if there is none.
func Write(dir, previous string, run *Run) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "folder of the run")
	}
	for i := range run.Outcomes {
		writeReport(dir, &run.Outcomes[i])
	}
	before, err := loadPrevious(previous, run)
	if err != nil {
		return err
	}
	if err := before.write(filepath.Join(dir, previousFolder)); err != nil {
		return err
	}
	if err := writeSummary(dir, run); err != nil {
		return err
	}
	return writeIndex(dir, newPage(run, before))
}

// writeReport writes one report. If that fails, the experiment counts as failed and
// the page still shows the others.
func writeReport(dir string, o *experiment.Outcome) {
	if o.Report == nil {
		return
	}
	if err := o.Report.Write(dir); err != nil {
		o.Error = err.Error()
		o.Report = nil
	}
}

func writeSummary(dir string, run *Run) error {
	raw, err := json.MarshalIndent(run, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the summary")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(dir, SummaryFile), append(raw, '\n'), 0o644), "write the summary")
}

func writeIndex(dir string, p *page) error {
	file, err := os.Create(filepath.Join(dir, IndexFile))
	if err != nil {
		return eris.Wrap(err, "create the page")
	}
	err = indexTemplate.Execute(file, p)
	return eris.Wrap(errors.Join(err, file.Close()), "write the page")
}

// previousRun holds the previous run and its reports by experiment.
type previousRun struct {
	run     *Run
	reports map[string]*experiment.Report
}

// loadPrevious reads the previous run's reports of the same experiments. It skips
// missing reports and fails on reports that can't be read.
func loadPrevious(dir string, run *Run) (*previousRun, error) {
	e := &previousRun{reports: make(map[string]*experiment.Report)}
	if dir == "" {
		return e, nil
	}
	if _, err := os.Stat(dir); err != nil {
		return nil, eris.Wrap(err, "previous run")
	}
	var err error
	if e.run, err = readJSON[Run](filepath.Join(dir, SummaryFile)); err != nil {
		return nil, err
	}
	for i := range run.Outcomes {
		name := run.Outcomes[i].Name
		report, err := readJSON[experiment.Report](filepath.Join(dir, name+".json"))
		if err != nil {
			return nil, err
		}
		if report != nil {
			e.reports[name] = report
		}
	}
	return e, nil
}

// write writes the previous run's reports and their plots.
func (e *previousRun) write(dir string) error {
	for _, report := range e.reports {
		if err := report.Write(dir); err != nil {
			return err
		}
	}
	return nil
}

// readJSON decodes a JSON file of the previous run. It returns nil if the file does
// not exist.
func readJSON[T any](path string) (*T, error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "previous run")
	}
	value := new(T)
	if err := json.Unmarshal(raw, value); err != nil {
		return nil, eris.Wrapf(err, "previous run: %s", filepath.Base(path))
	}
	return value, nil
}

// Latest returns the folder of the newest run among the sibling folders of dir,
// according to their summaries. It returns an empty name if there is none.
func Latest(dir string) (string, error) {
	own, err := filepath.Abs(dir)
	if err != nil {
		return "", eris.Wrap(err, "folder of the run")
	}
	summaries, err := filepath.Glob(filepath.Join(filepath.Dir(own), "*", SummaryFile))
	if err != nil {
		return "", eris.Wrap(err, "look for a previous run")
	}
	latest, begun := "", time.Time{}
	for _, path := range summaries {
		folder := filepath.Dir(path)
		run, err := readJSON[Run](path)
		if folder == own || err != nil || run == nil || !run.Begun.After(begun) {
			continue
		}
		latest, begun = folder, run.Begun
	}
	return latest, nil
}
