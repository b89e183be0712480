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

// TestQueryDoesNotReturnWhileItsReadRuns closes the duty during a read: the
// query must not return before the read has ended, since its caller then uses
// the result.
func TestQueryDoesNotReturnWhileItsReadRuns(t *testing.T) {
	is := is.New(t)
	d := start(t)
	reading, resume := make(chan struct{}), make(chan struct{})
	result := 0
	answered := make(chan bool)
	go func() {
		answered <- d.Query(func(time.Duration) {
			close(reading)
			<-resume
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
	close(resume)
	is.True(<-answered)
	is.Equal(result, 7)
	<-closed
}

func TestClosedDutyRejectsWork(t *testing.T) {
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
	<-ticked // long before the hour that the first tick returned
}

// TestDutyReportsQueueingDelay advances the clock during a tick, so that a
// measurement started before the tick waits for that time.
func TestDutyReportsQueueingDelay(t *testing.T) {
	is := is.New(t)
	const tickTime = 300 * time.Millisecond
	var clock atomic.Int64
	clock.Store(int64(time.Second))
	late := make(chan time.Duration, 64)
	registry := metrics.New("d")
	d := Start(Config{
		Name: "test",
		Now:  func() time.Duration { return time.Duration(clock.Load()) },
		Tick: func(now time.Duration) time.Duration {
			clock.Add(int64(tickTime))
			return now + time.Hour
		},
		OnDelay: func(l time.Duration) { late <- l },
		Metrics: registry,
	})
	defer d.Close()
	is.Equal(<-late, tickTime)
	is.Equal(registry.Get("duty_test_behind").String(), "300")
}
