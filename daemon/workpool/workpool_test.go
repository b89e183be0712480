package workpool

import (
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

func TestFullPoolRefuses(t *testing.T) {
	is := is.New(t)
	p, err := New("test", 2, metrics.New("d"))
	is.NoErr(err)
	defer p.Close()
	started, release := make(chan struct{}), make(chan struct{})
	for range 2 {
		is.True(p.Submit(func() {
			started <- struct{}{}
			<-release
		}))
		<-started
	}
	is.True(!p.Submit(func() { t.Error("a refused task ran") }))
	is.Equal(p.Refused(), int64(1))
	close(release)
}

func TestCloseWaitsAndRefuses(t *testing.T) {
	is := is.New(t)
	p, err := New("test", 4, metrics.New("d"))
	is.NoErr(err)
	started, release := make(chan struct{}), make(chan struct{})
	var finished atomic.Bool
	is.True(p.Submit(func() {
		close(started)
		<-release
		finished.Store(true)
	}))
	<-started
	closed := make(chan struct{})
	go func() {
		p.Close()
		close(closed)
	}()
	close(release)
	<-closed
	is.True(finished.Load())
	is.True(!p.Submit(func() { t.Error("ran after Close") }))
	p.Close() // closing again has no effect
}

func TestPanicEndsOnlyItsTask(t *testing.T) {
	is := is.New(t)
	registry := metrics.New("d")
	reported := make(chan string, 1)
	registry.OnViolation(func(name, _ string) { reported <- name })
	p, err := New("test", 1, registry)
	is.NoErr(err)
	defer p.Close()
	is.True(p.Submit(func() { panic("broken task") }))
	is.Equal(<-reported, "workpool_task_panicked")
}
