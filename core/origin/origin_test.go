package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

func record(request string, software id.Software, left time.Duration) Record {
	return Record{Stream: Stream{Request: id.Request(request), Service: "s"}, Software: software, Left: left}
}

func TestRecordsExpire(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Add(time.Second, record("a", "v1", 10*time.Second))
	got, ok := l.Find(4*time.Second, Stream{Request: "a", Service: "s"})
	is.True(ok)
	is.Equal(got, record("a", "v1", 7*time.Second))
	_, ok = l.Find(11*time.Second, Stream{Request: "a", Service: "s"})
	is.True(!ok)
	is.Equal(len(l.All(11*time.Second)), 0)
}

// TestARecordOfAnotherTeamOrServiceIsNotFound checks that a caller can't name the stream of
// another team, nor one of another service.
func TestARecordOfAnotherTeamOrServiceIsNotFound(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Add(0, Record{Stream: Stream{Request: "a", Service: "s", Team: "t"}, Software: "v1", Left: time.Minute})
	for _, s := range []Stream{{Request: "a", Service: "s"}, {Request: "a", Service: "s", Team: "u"}, {Request: "a", Service: "r", Team: "t"}} {
		_, ok := l.Find(0, s)
		is.True(!ok)
	}
}

// TestTheFirstVersionOfAStreamStays guards against a late or false record that changes what
// is known of a stream.
func TestTheFirstVersionOfAStreamStays(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Add(0, record("a", "v1", 10*time.Second))
	l.Add(0, record("a", "v2", 20*time.Second))
	l.Add(0, record("a", "v2", 5*time.Second))
	got, _ := l.Find(15*time.Second, Stream{Request: "a", Service: "s"})
	is.Equal(got, record("a", "v1", 5*time.Second))
	l.Add(30*time.Second, record("a", "v3", time.Second)) // the old record has expired
	got, _ = l.Find(30*time.Second, Stream{Request: "a", Service: "s"})
	is.Equal(got.Software, id.Software("v3"))
}

// TestExpiredRecordsTakeNoMemory guards against a daemon whose records only ever grow.
func TestExpiredRecordsTakeNoMemory(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for i := range 100 {
		l.Add(time.Duration(i)*time.Second, record(fmt.Sprint(i), "v1", 10*time.Second))
		is.True(l.records.Len() <= 10)
	}
}

func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for i := range maxRecords + 10 {
		l.Add(0, record(fmt.Sprint(i), "v1", time.Minute))
	}
	is.Equal(len(l.All(0)), maxRecords)
	_, ok := l.Find(0, Stream{Request: "0", Service: "s"})
	is.True(!ok) // the oldest are dropped
}

// listed returns an observation of one service.
func listed(versions ...id.Software) map[id.Service]map[id.Software]bool {
	all := map[id.Software]bool{}
	for _, v := range versions {
		all[v] = true
	}
	return map[id.Service]map[id.Software]bool{"s": all}
}

func TestAVersionCountsForAMinuteAfterItsLastEndpoint(t *testing.T) {
	is := is.New(t)
	h := NewHistory(0)
	is.True(h.Observe(0, listed("v1")))
	is.True(!h.Observe(time.Second, listed("v1")))
	is.True(h.Observe(2*time.Second, listed("v1", "v2")))
	is.True(!h.Observe(3*time.Second, listed("v2")))
	is.Equal(h.Versions(63*time.Second, "s"), []id.Software{"v1", "v2"})
	is.Equal(h.Versions(63*time.Second+1, "s"), []id.Software{"v2"})
	is.True(h.Observe(2*time.Minute, listed("v1", "v2"))) // it counts anew
	is.Equal(len(h.Versions(2*time.Minute, "other")), 0)
}

// TestAVersionThatGoesAndComesAgainIsNoNewOne checks that a crash of all endpoints of a
// version and their return does not count as a change.
func TestAVersionThatGoesAndComesAgainIsNoNewOne(t *testing.T) {
	is := is.New(t)
	h := NewHistory(0)
	h.Observe(0, listed("v1", "v2"))
	h.Observe(time.Second, listed("v2"))
	is.True(!h.Observe(3*time.Second, listed("v1", "v2")))
	is.Equal(h.Versions(3*time.Second, "s"), []id.Software{"v1", "v2"})
}

func TestAHistoryIsCompleteOnceItHasLasted(t *testing.T) {
	is := is.New(t)
	h := NewHistory(time.Second)
	is.True(!h.Complete(time.Second+VersionMemory, "s"))
	is.True(h.Complete(time.Second+VersionMemory+1, "s"))
}
