package origins

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

// hang makes the store's answers to a daemon, and the news of others, not arrive any more. The
// daemon has not noticed.
func (f *fleet) hang(name id.Daemon) {
	f.set(func() { f.hung[name] = true })
}

// startUpToDate starts daemons that have listed one version for long, until just now.
func startUpToDate(names ...id.Daemon) *fleet {
	f := newFleet(names...)
	f.list("v1")
	f.sleep(2 * time.Minute)
	for _, name := range names {
		f.check(name)
	}
	f.sleep(CheckInterval / 2)
	return f
}

// TestAListThatLagsUnnoticedIsNoProof guards against a host that was cut off a moment ago and
// takes the one version that it lists for the only one.
func TestAListThatLagsUnnoticedIsNoProof(t *testing.T) {
	t.Run("from the store and the others", func(t *testing.T) {
		is := is.New(t)
		f := startUpToDate("d1", "d2")
		f.hang("d1")
		f.listAt("d2", "v1", "v2")
		f.kill("d2")
		_, ok := f.find("d1")
		is.True(!ok)
	})
	t.Run("from the store", func(t *testing.T) {
		is := is.New(t)
		f := startUpToDate("d1", "d2")
		f.hang("d1")
		f.listAt("d2", "v1", "v2")
		_, ok := f.find("d1")
		is.True(!ok) // d2 has no record either
		f.begin("d2", "v2")
		got, ok := f.find("d1")
		is.True(ok)
		is.Equal(got, id.Software("v2"))
	})
	t.Run("from the others", func(t *testing.T) {
		is := is.New(t)
		f := startUpToDate("d1", "d2")
		f.hang("d1") // nothing comes by itself
		f.listAt("d2", "v1", "v2")
		f.kill("d2")
		f.set(func() { f.hung["d1"] = false })
		_, ok := f.find("d1")
		is.True(!ok)
	})
}

// TestAPeerThatLagsUnnoticedIsNoProof guards against a reply of a host that lags too.
func TestAPeerThatLagsUnnoticedIsNoProof(t *testing.T) {
	is := is.New(t)
	f := startUpToDate("d1", "d2", "d3")
	f.hang("d1")
	f.hang("d2")
	f.listAt("d3", "v1", "v2")
	f.kill("d3")
	_, ok := f.find("d1")
	is.True(!ok)
}

// TestThePartOfAFleetThatTheStoreRefusesDoesNotAgreeByItself guards against daemons that consider
// those which the store serves dead, and take their own agreement for all there is to know.
func TestThePartOfAFleetThatTheStoreRefusesDoesNotAgreeByItself(t *testing.T) {
	is := is.New(t)
	f := startUpToDate("d1", "d2", "d3")
	f.hang("d1")
	f.hang("d2")
	f.listAt("d3", "v1", "v2")
	f.kill("d3")
	f.names = []id.Daemon{"d1", "d2"} // d3 is considered dead
	f.daemons["d1"].PeerGone()
	_, ok := f.find("d1")
	is.True(!ok)
	for range 61 { // what d3 began is not taken up any more
		f.sleep(time.Second)
		f.check("d1")
		f.check("d2")
	}
	got, ok := f.find("d1")
	is.True(ok)
	is.Equal(got, id.Software("v1"))
}

// TestARequestDoesNotTrustAnAnswerOfBeforeItCame guards against a process that stood still and
// finds an old answer of the store when it goes on.
func TestARequestDoesNotTrustAnAnswerOfBeforeItCame(t *testing.T) {
	is := is.New(t)
	f := startUpToDate("d1")
	o := f.daemons["d1"]
	f.hang("d1")
	calls := 0
	o.cfg.Verify = func() {
		calls++
		o.Confirmed(f.now - time.Second)
	}
	_, ok := f.find("d1")
	is.True(!ok)
	is.True(calls > 0)
}

// TestRequestsShareTheCallsForAProof checks that many take-ups cost few calls to the store.
func TestRequestsShareTheCallsForAProof(t *testing.T) {
	is := is.New(t)
	f := startUpToDate("d1")
	o := f.daemons["d1"]
	calls := 0
	o.cfg.Verify = func() { calls++ }
	asked := f.now
	for range 100 {
		confirmed, pause := o.nextProof(asked)
		is.True(confirmed != nil)
		is.True(pause > 0)
	}
	is.Equal(calls, 1)
	f.sleep(minProofInterval)
	o.nextProof(asked)
	is.Equal(calls, 2)
	o.cfg.Daemons = func() int { return 420 }
	is.True(420/o.proofInterval().Seconds() <= 2000) // what the store answers
}

// TestAVersionThatIsNotRecordedCountsWhereADaemonHasSeenIt guards against a proof by the store
// that takes no writes, so that a new version has begun streams without a record.
func TestAVersionThatIsNotRecordedCountsWhereADaemonHasSeenIt(t *testing.T) {
	is := is.New(t)
	f := startUpToDate("d1", "d2")
	f.daemons["d2"].Observe(map[id.Service]map[id.Software]bool{"s": versionSet("v1", "v2")})
	_, ok := f.find("d1")
	is.True(!ok)
}
