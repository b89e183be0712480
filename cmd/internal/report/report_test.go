package report

import (
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/experiment"
	"github.com/samphirequay/samphirequay/cmd/internal/version"
)

// testRun runs two small experiments; the first reports a fault, the second fails.
func testRun(goodput string, begun time.Time) *Run {
	tiny := func(_ context.Context, env experiment.Env) (*experiment.Report, error) {
		return &experiment.Report{
			Experiment: "tiny", Seed: env.Seed,
			Lines:  []string{"policy=naive load=0.7 goodput=1", "policy=ledger load=0.7 goodput=" + goodput + " new=<b>"},
			Faults: []string{"one was lost"},
			Figures: []experiment.Figure{{
				Name: "tiny-goodput", Title: "Goodput", Series: []experiment.Series{{Name: "ledger", X: []float64{1, 2}, Y: []float64{1, 2}}},
			}},
		}, nil
	}
	broken := func(context.Context, experiment.Env) (*experiment.Report, error) { return nil, errors.New("no fleet") }
	experiments := []experiment.Experiment{{Name: "tiny", Short: "a tiny one", Run: tiny}, {Name: "broken", Short: "fails", Run: broken}}
	env := experiment.Env{Seed: 3}
	outcomes := experiment.RunAll(context.Background(), env, experiments, func(experiment.Outcome) {})
	return &Run{Build: version.Info{Version: "9.9", Revision: "abcdef"}, Seed: env.Seed, Begun: begun, Outcomes: outcomes}
}

func TestPageShowsThisRunBesideThePrevious(t *testing.T) {
	is := is.New(t)
	parent := t.TempDir()
	first, second := filepath.Join(parent, "first"), filepath.Join(parent, "second")
	noon := time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	is.NoErr(Write(first, "", testRun("20", noon)))
	page := read(t, filepath.Join(first, IndexFile))
	is.True(strings.Contains(page, "The previous run has no report of this experiment."))
	is.True(!strings.Contains(page, "previous/"))

	is.NoErr(os.Mkdir(filepath.Join(parent, "other"), 0o755)) // contains no run
	previous, err := Latest(second)
	is.NoErr(err)
	is.Equal(filepath.Base(previous), "first")
	run := testRun("30", noon.Add(time.Hour))
	is.Equal(run.Failed(), 2)
	is.NoErr(Write(second, previous, run))
	page = read(t, filepath.Join(second, IndexFile))
	for _, wanted := range []string{
		"<td>3</td>", "<td>9.9</td>", "<td>abcdef</td>", // seed, version, commit
		"faults: 1", "one was lost", "no fleet", // faults and errors
		`goodput=30 <span class="before">(before 20)</span>`,
		"policy=naive load=0.7 goodput=1 \n", // unchanged: no previous value
		"new=&lt;b&gt;",
		`src="tiny-goodput.svg"`, `src="previous/tiny-goodput.svg"`,
	} {
		if !strings.Contains(page, wanted) {
			t.Errorf("the page lacks %q", wanted)
		}
	}
	is.True(strings.Contains(read(t, filepath.Join(second, "tiny-goodput.svg")), "<svg"))
	is.True(strings.Contains(read(t, filepath.Join(second, previousFolder, "tiny-goodput.svg")), "<svg"))

	latest, err := Latest(filepath.Join(parent, "third"))
	is.NoErr(err)
	is.Equal(filepath.Base(latest), "second") // the newer run
	latest, err = Latest(second)
	is.NoErr(err)
	is.Equal(filepath.Base(latest), "first") // excludes the run itself
}

func TestMissingPreviousRunIsAnError(t *testing.T) {
	is := is.New(t)
	run := testRun("20", time.Time{})
	is.True(Write(t.TempDir(), filepath.Join(t.TempDir(), "nowhere"), run) != nil)
	damaged := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(damaged, "tiny.json"), []byte("{"), 0o644))
	err := Write(t.TempDir(), damaged, run)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "previous run: tiny.json"))
}

func TestUnwritableReportKeepsTheOthers(t *testing.T) {
	is := is.New(t)
	run := testRun("20", time.Time{})
	run.Outcomes = append(run.Outcomes, experiment.Outcome{Name: "odd", Report: &experiment.Report{Experiment: "odd", Data: math.NaN()}})
	dir := t.TempDir()
	is.NoErr(Write(dir, "", run))
	is.Equal(run.Failed(), 3)
	page := read(t, filepath.Join(dir, IndexFile))
	is.True(strings.Contains(page, "encode the report"))
	is.True(strings.Contains(page, `src="tiny-goodput.svg"`))
}

func TestLinesWithTheSameConfigurationArePaired(t *testing.T) {
	is := is.New(t)
	lines := pairRows(
		[]string{"policy=a load=0.7 goodput=5", "policy=b load=0.7 goodput=6", "policy=c goodput=7"},
		[]string{"policy=b load=0.9 goodput=1", "policy=b load=0.7 goodput=2", "policy=a load=0.7 goodput=3"},
	)
	is.Equal(lines[0][2], field{Key: "goodput", Value: "5", Before: "3"})
	is.Equal(lines[1][2], field{Key: "goodput", Value: "6", Before: "2"})
	is.Equal(lines[2][1], field{Key: "goodput", Value: "7"})
}

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
