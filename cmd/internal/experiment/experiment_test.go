package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/daemon/settings"
)

func TestRegistryIsSortedAndFound(t *testing.T) {
	is := is.New(t)
	names := Names()
	is.True(slices.IsSorted(names))
	is.Equal(len(slices.Compact(names)), len(registry))
	e, err := Find("routing")
	is.NoErr(err)
	is.Equal(e.Name, "routing")
	_, err = Find("weather")
	is.Equal(err.Error(), `unknown experiment "weather": known are `+strings.Join(Names(), ", "))
	for _, e := range All() {
		is.True(e.Short != "" && e.Run != nil)
	}
}

func TestBoundIsCalculatedFromTheConstants(t *testing.T) {
	is := is.New(t)
	d := Bunker()
	b := BoundOf(d.Site, d.Profile, d.FirstToken)
	// 9 engines read 20000 tokens per second each; a prompt has 1750 tokens that
	// are not in the cache.
	is.True(b.Prefill > 102 && b.Prefill < 104)
	// 36 slots; 30 tokens at 20 ms each, slowed down by three concurrent requests;
	// plus the transfer.
	is.True(b.Decode > 50 && b.Decode < 51)
	is.Equal(b.Capacity, b.Decode)
	is.True(b.InTime > 0.9 && b.InTime < 1)
	is.Equal(b.Goodput(10), 10*b.InTime)
	is.Equal(b.Goodput(1000), b.Capacity)
	tight := BoundOf(d.Site, d.Profile, 100*time.Millisecond)
	is.True(tight.InTime < b.InTime)
}

func TestEachKeepsTheOrderAndStopsAtAnError(t *testing.T) {
	is := is.New(t)
	env := Env{Parallel: 3}
	double := func(_ context.Context, n int) (int, error) { return 2 * n, nil }
	out, err := each(context.Background(), env, []int{3, 1, 2}, double)
	is.NoErr(err)
	is.Equal(out, []int{6, 2, 4})
	broken := errors.New("broken")
	_, err = each(context.Background(), env, []int{1}, func(context.Context, int) (int, error) { return 0, broken })
	is.Equal(err, broken)
}

func TestReportIsWritten(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "out")
	figures := []RoutingFigures{
		{Deployment: "bunker", Policy: settings.PolicyLedger, Load: 0.7, BoundGoodput: 30, Result: &load.Result{}},
		{Deployment: "bunker", Policy: settings.PolicyLedger, Load: 0.9, BoundGoodput: 40, Result: &load.Result{}},
		{Deployment: "companeros", Policy: settings.PolicyLedger, Load: 0.9, Result: &load.Result{}},
	}
	fig := goodputFigure("bunker", figures)
	is.Equal(fig.Series[len(fig.Series)-1], Series{Name: "bound", X: []float64{0.7, 0.9}, Y: []float64{30, 40}})
	r := &Report{Experiment: "routing", Seed: 3, Figures: []Figure{fig}}
	r.addRouting(figures[0])
	is.NoErr(r.Write(dir))
	raw, err := os.ReadFile(filepath.Join(dir, "routing.json"))
	is.NoErr(err)
	var decoded Report
	is.NoErr(json.Unmarshal(raw, &decoded))
	is.Equal(decoded.Seed, uint64(3))
	is.True(strings.HasPrefix(decoded.Lines[0], "deployment=bunker policy=ledger load=0.7 "))
	svg, err := os.ReadFile(filepath.Join(dir, "routing-goodput-bunker.svg"))
	is.NoErr(err)
	is.True(strings.Contains(string(svg), "<svg"))
}

func TestFaultsAreReported(t *testing.T) {
	is := is.New(t)
	r := &Report{}
	r.addFaults("calm", &load.Result{}, fleet.EngineTotals{})
	is.Equal(len(r.Faults), 0)
	res := &load.Result{}
	res.Total.Doubled = 1
	r.addFaults("doubled", res, fleet.EngineTotals{})
	r.addFaults("held", &load.Result{}, fleet.EngineTotals{HeldAfterCancel: 1})
	r.addFaults("twice", &load.Result{}, fleet.EngineTotals{RanTwice: 1})
	is.Equal(r.Faults, []string{"doubled: lost=0 doubled=1 wrong=0", "held: held_after_cancel=1 running=0", "twice: ran_twice=1"})
}
