package ring

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

func TestRejectRefusesWhenFull(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	registry := metrics.New("d")
	r := New[int]("test", 2, Reject, registry)
	is.True(r.Put(ctx, 1))
	is.True(r.Put(ctx, 2))
	is.True(!r.Put(ctx, 3))
	is.Equal(r.Dropped(), uint64(1))
	is.Equal(r.Len(), 2)
	is.Equal(r.Cap(), 2)
	is.Equal(registry.Get("ring_test_depth").String(), "2")
	is.Equal(registry.Get("ring_test_dropped").String(), "1")
	got, ok := r.Take(ctx)
	is.True(ok)
	is.Equal(got, 1)
}

func TestDropOldestKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	r := New[int]("test", 3, DropOldest, nil)
	for i := range 10 {
		is.True(r.Put(ctx, i))
	}
	is.Equal(r.Dropped(), uint64(7))
	for want := 7; want < 10; want++ {
		got, ok := r.TryTake()
		is.True(ok)
		is.Equal(got, want)
	}
	_, ok := r.TryTake()
	is.True(!ok)
}

func TestBlockWaitsForSpaceOrTheContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	r := New[int]("test", 1, Block, nil)
	is.True(r.Put(ctx, 1))
	put := make(chan bool)
	go func() { put <- r.Put(ctx, 2) }()
	is.Equal(<-r.Chan(), 1) // frees a slot, before or after the writer waits
	is.True(<-put)
	is.Equal(r.Dropped(), uint64(0))

	go func() { put <- r.Put(ctx, 3) }()
	cancel()
	is.True(!<-put)
	is.Equal(r.Dropped(), uint64(1))
	got, ok := r.TryTake()
	is.True(ok)
	is.Equal(got, 2)
	_, ok = r.Take(ctx)
	is.True(!ok)
}

func TestConcurrentWritersCountEveryDrop(t *testing.T) {
	is := is.New(t)
	const writers, each = 8, 500
	r := New[int]("test", 16, DropOldest, nil)
	done := make(chan struct{})
	for range writers {
		go func() {
			for i := range each {
				r.Put(context.Background(), i)
			}
			done <- struct{}{}
		}()
	}
	for range writers {
		<-done
	}
	is.Equal(uint64(r.Len())+r.Dropped(), uint64(writers*each))
}
