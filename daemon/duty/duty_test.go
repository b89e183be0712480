package duty

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

func start(t *testing.T) *Duty {
	t.Helper()
	began := time.Now()
	return Start(Config{
		Name:    "test",
		Now:     func() time.Duration { return time.Since(began) },
		Tick:    func(now time.Duration) time.Duration { return now + time.Hour },
		Metrics: metrics.New("d"),
	})
}

// TestQueryDoesNotReturnWhileItsReadRuns closes the duty in the middle of a
// read: its result must not be looked at before the read has ended.
func TestQueryDoesNotReturnWhileItsReadRuns(t *testing.T) {
	is := is.New(t)
	d := start(t)
	reading, goOn := make(chan struct{}), make(chan struct{})
	result := 0
	answered := make(chan bool)
	go func() {
		answered <- d.Query(func(time.Duration) {
			close(reading)
			<-goOn
			result = 7
		})
	}()
	<-reading
	closed := make(chan struct{})
	go func() {
		d.Close()
		close(closed)
	}()
	<-d.Context().Done()
	select {
	case <-answered:
		t.Fatal("the query returned while its read was running")
	default:
	}
	close(goOn)
	is.True(<-answered)
	is.Equal(result, 7)
	<-closed
}

func TestClosedDutyTakesNothing(t *testing.T) {
	is := is.New(t)
	d := start(t)
	d.Close()
	is.True(!d.Post(func(time.Duration) {}))
	is.True(!d.Query(func(time.Duration) { t.Error("read ran in a closed duty") }))
}

func TestTickFollowsWork(t *testing.T) {
	is := is.New(t)
	ticked := make(chan struct{}, 16)
	began := time.Now()
	d := Start(Config{
		Name: "test",
		Now:  func() time.Duration { return time.Since(began) },
		Tick: func(now time.Duration) time.Duration {
			ticked <- struct{}{}
			return now + time.Hour
		},
		Metrics: metrics.New("d"),
	})
	defer d.Close()
	<-ticked
	is.True(d.Post(func(time.Duration) {}))
	<-ticked // long before the hour that the first tick asked for
}

// TestADutyTellsHowLongWorkWaits: the clock moves on while the duty is at work,
// by as much as what it was given meanwhile waits.
func TestADutyTellsHowLongWorkWaits(t *testing.T) {
	is := is.New(t)
	const works = 300 * time.Millisecond
	var clock atomic.Int64
	clock.Store(int64(time.Second))
	late := make(chan time.Duration, 64)
	registry := metrics.New("d")
	d := Start(Config{
		Name: "test",
		Now:  func() time.Duration { return time.Duration(clock.Load()) },
		Tick: func(now time.Duration) time.Duration {
			clock.Add(int64(works))
			return now + time.Hour
		},
		Behind:  func(l time.Duration) { late <- l },
		Metrics: registry,
	})
	defer d.Close()
	is.Equal(<-late, works)
	is.Equal(registry.Get("duty_test_behind").String(), "300")
}
