package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

func names(l *List) []id.Endpoint {
	out := []id.Endpoint{}
	for _, e := range l.All() {
		out = append(out, e.Name)
	}
	return out
}

func entry(name id.Endpoint, address string) Endpoint { return Endpoint{Name: name, Address: address} }

func TestAnEntryThatGoesWhileTheStoreIsThereIsGone(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, []Endpoint{entry("a", "1"), entry("b", "2")})
	l.Set(time.Second, []Endpoint{entry("b", "2")})
	is.Equal(names(l), []id.Endpoint{"b"})
}

func TestLapsedEntriesAreKeptUntilTheyMayHaveComeBack(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, []Endpoint{entry("a", "1"), entry("b", "2"), entry("c", "3")})
	l.StoreLost()
	l.StoreBack(10 * time.Second)
	l.Set(10*time.Second, nil)
	is.Equal(names(l), []id.Endpoint{"a", "b", "c"})
	l.Set(11*time.Second, []Endpoint{entry("a", "1")})
	is.Equal(l.Lapsed(), 2)
	is.True(!l.Tick(12 * time.Second))
	is.Equal(l.Next(), 10*time.Second+returnGrace)
	is.True(l.Tick(l.Next()))
	is.Equal(names(l), []id.Endpoint{"a"})
}

func TestALapsedEntryThatSaidItLeavesIsGone(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, []Endpoint{{Name: "a", Address: "1", Leaving: true}, entry("b", "2")})
	l.StoreLost()
	l.Set(time.Second, nil)
	is.Equal(names(l), []id.Endpoint{"b"})
}

func TestALapsedEntryWhoseAddressIsTakenIsGone(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Set(0, []Endpoint{entry("a", "1")})
	l.StoreLost()
	l.Set(time.Second, []Endpoint{entry("z", "1")})
	is.Equal(names(l), []id.Endpoint{"z"})
}

func TestEntriesGetTheGraceThatAnotherDaemonGivesThem(t *testing.T) {
	is := is.New(t)
	l := New()
	is.Equal(l.Grace(0), time.Duration(0))
	l.Set(0, []Endpoint{{Name: "a", Address: "1"}})
	l.Returned(time.Second, 500*time.Millisecond)
	l.Set(time.Second, nil)
	is.Equal(l.Lapsed(), 1)
	is.Equal(l.Grace(time.Second), 500*time.Millisecond)
	is.True(!l.Tick(1499 * time.Millisecond))
	is.True(l.Tick(1500 * time.Millisecond))
	is.Equal(l.Lapsed(), 0)
	l.Returned(2*time.Second, 0) // the store was not away
	l.Set(2*time.Second, []Endpoint{{Name: "b", Address: "2"}})
	l.Set(2*time.Second, nil)
	is.Equal(l.Lapsed(), 0)
}
