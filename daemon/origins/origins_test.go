package origins

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet connects the Origins of several daemons.
type fleet struct {
	names []id.Daemon
	// mu guards the fields below: questions may outlive the search that asked them.
	mu      sync.Mutex
	now     time.Duration
	daemons map[id.Daemon]*Origins
	// dead daemons answer nothing, and get nothing.
	dead  map[id.Daemon]bool
	stale map[id.Daemon]bool
	// hung daemons get no answer of the store and have not noticed.
	hung    map[id.Daemon]bool
	batches int
	// queued holds back what is sent without a confirmation; refuses makes all daemons
	// refuse what asks for one.
	queued, refuses bool
	// firstStart is set until the fleet has started for the first time.
	firstStart bool
	// rows are those of the store, by key; version is that of its newest change.
	rows    map[string]table.Row
	version uint64
	// logged holds the log lines of all daemons about searches for what began a stream.
	logged bytes.Buffer
}

// set changes the state of the fleet.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// reached returns a daemon; nil if it is dead.
func (f *fleet) reached(name id.Daemon) *Origins {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[name] {
		return nil
	}
	return f.daemons[name]
}

func (f *fleet) sleep(d time.Duration) { f.set(func() { f.now += d }) }
func (f *fleet) kill(name id.Daemon)   { f.set(func() { f.dead[name] = true }) }
func (f *fleet) cut(name id.Daemon)    { f.set(func() { f.stale[name] = true }) }

func newFleet(names ...id.Daemon) *fleet {
	f := &fleet{
		daemons: map[id.Daemon]*Origins{}, names: names, dead: map[id.Daemon]bool{}, stale: map[id.Daemon]bool{}, hung: map[id.Daemon]bool{},
		rows: map[string]table.Row{}, firstStart: true,
	}
	for _, name := range names {
		f.start(name)
	}
	f.firstStart = false
	return f
}

// start starts a daemon, or starts it again without what it knew.
func (f *fleet) start(name id.Daemon) {
	o := New(Config{
		Self:       name,
		Store:      &fakeStore{fleet: f, daemon: name},
		FirstStart: f.firstStart,
		Daemons:    func() int { return len(f.names) },
		Serves:     func(id.Service) bool { return true },
		Refresh:    func() { f.readRecorded(name) },
		Verify:     func() { f.readRecorded(name) },
		StoreLost:  func() bool { return false },
		Holders:    func(origin.Stream) []id.Daemon { return f.others(name) },
		Current: func() (current bool) {
			f.set(func() { current = !f.stale[name] })
			return current
		},
		Send: func(to id.Daemon, b *Batch) {
			queued := false
			f.set(func() { f.batches++; queued = f.queued })
			if o := f.reached(to); o != nil && !queued {
				o.Receive(b)
			}
		},
		Place: func(_ context.Context, to id.Daemon, b *Batch) error {
			refuses := false
			f.set(func() { f.batches++; refuses = f.refuses })
			o := f.reached(to)
			if o == nil || refuses {
				return errors.New("not placed")
			}
			o.Receive(b)
			return nil
		},
		Ask: func(_ context.Context, to id.Daemon, q *Query) (*Reply, error) {
			if o := f.reached(to); o != nil {
				return o.Answer(context.Background(), q), nil
			}
			return nil, errors.New("dead")
		},
		Log:     f.log,
		Routine: f.log,
		Metrics: metrics.New(string(name)),
		Now: func() (now time.Duration) {
			f.set(func() { now = f.now })
			return now
		},
	})
	f.set(func() { f.daemons[name] = o })
	f.readRecorded(name)
}

// log keeps a line about a search.
func (f *fleet) log(event string, kv ...any) {
	if event == "origin_found" || event == "origin_unknown" {
		f.set(func() { _ = logfmt.NewEncoder(&f.logged).EncodeKeyvals(kv...) })
	}
}

func (f *fleet) others(self id.Daemon) []id.Daemon {
	var out []id.Daemon
	for _, name := range f.names {
		if name != self {
			out = append(out, name)
		}
	}
	return out
}

// list makes all daemons list versions of the service.
func (f *fleet) list(versions ...id.Software) {
	for _, name := range f.names {
		f.listAt(name, versions...)
	}
}

func (f *fleet) listAt(name id.Daemon, versions ...id.Software) {
	all := map[id.Software]bool{}
	for _, v := range versions {
		all[v] = true
	}
	f.daemons[name].Observe(map[id.Service]map[id.Software]bool{"s": all})
	f.check(name)
}

var stream = origin.Stream{Request: "r", Service: "s", Team: "t"}

func (f *fleet) begin(at id.Daemon, software id.Software) {
	f.daemons[at].Began(origin.Record{Stream: stream, Software: software, Left: 20 * time.Second})
}

func (f *fleet) find(at id.Daemon) (id.Software, bool) {
	return f.daemons[at].Find(context.Background(), stream)
}

func TestWhatBeganAStreamIsKnownAfterItsDaemonDied(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2", "d3")
	f.list("v1", "v2")
	f.begin("d1", "v2")
	f.kill("d1")
	for _, name := range []id.Daemon{"d2", "d3"} {
		got, ok := f.find(name)
		is.True(ok)
		is.Equal(got, id.Software("v2"))
	}
}

// TestARecordIsHeldElsewhereBeforeTheFirstEvent guards against a daemon that dies with the
// record still in its queue, when the caller has the first event.
func TestARecordIsHeldElsewhereBeforeTheFirstEvent(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2", "d3")
	f.list("v1", "v2")
	f.set(func() { f.queued = true })
	f.kill("d2")
	f.begin("d1", "v2")
	f.kill("d1")
	got, ok := f.find("d3")
	is.True(ok)
	is.Equal(got, id.Software("v2"))
}

// TestARecordThatNobodyConfirmsIsSentAllTheSame covers holders that are overloaded or of an
// older build.
func TestARecordThatNobodyConfirmsIsSentAllTheSame(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.list("v1", "v2")
	f.set(func() { f.refuses = true })
	f.begin("d1", "v2")
	f.kill("d1")
	got, ok := f.find("d2")
	is.True(ok)
	is.Equal(got, id.Software("v2"))
}

// TestAStreamThatBeganBeforeTheSecondVersionIsKnownElsewhere guards against records that
// are shared only from the second version on.
func TestAStreamThatBeganBeforeTheSecondVersionIsKnownElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.list("v1")
	f.begin("d1", "v1")
	is.Equal(f.batches, 0) // nothing is sent while there is one version
	f.sleep(5 * time.Second)
	f.list("v1", "v2")
	f.kill("d1")
	got, ok := f.find("d2")
	is.True(ok)
	is.Equal(got, id.Software("v1"))
}

// TestADaemonThatStartsAgainAsksWhatBeganAStream covers a daemon that sees one version only,
// and others that have seen another one of late.
func TestADaemonThatStartsAgainAsksWhatBeganAStream(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.list("v1", "v2")
	f.begin("d1", "v1")
	f.sleep(time.Second)
	f.start("d2")
	f.list("v2")
	got, ok := f.find("d2")
	is.True(ok)
	is.Equal(got, id.Software("v1"))

	f.kill("d1")
	f.start("d2")
	f.listAt("d2", "v2")
	f.names = append(f.names, "d3")
	f.start("d3")
	f.listAt("d3", "v1", "v2")
	_, ok = f.find("d2")
	is.True(!ok) // d3 knows that v1 may have begun it
	is.Equal(f.logged.String(), `resumes=r service=s history=0s record_age=0s answered=1 software=v1 source=peer_record`+
		`resumes=r service=s history=0s record_age=0s answered=1 versions="[v1 v2]"`)
}

func TestOneVersionNeedsNoRecord(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.list("v1")
	got, ok := f.find("d1") // it has just started, and asks
	is.True(ok)
	is.Equal(got, id.Software("v1"))
	f.kill("d2")
	f.sleep(2 * time.Minute)
	got, ok = f.find("d1")
	is.True(ok)
	is.Equal(got, id.Software("v1"))
}

// TestADaemonThatIsBehindTrustsItsOwnListOnlyIfOthersAgree guards against a daemon that is
// cut off and has not seen the version which began a stream.
func TestADaemonThatIsBehindTrustsItsOwnListOnlyIfOthersAgree(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.list("v1")
	f.sleep(2 * time.Minute)
	f.cut("d1")
	got, ok := f.find("d1")
	is.True(ok)
	is.Equal(got, id.Software("v1"))
	f.listAt("d2", "v1", "v2")
	_, ok = f.find("d1")
	is.True(!ok)
	f.kill("d2")
	_, ok = f.find("d1")
	is.True(!ok) // nobody answers
}

// TestRecordsAreHandedOverAtAPlannedStop checks that daemons which stop one after the other
// lose no record.
func TestRecordsAreHandedOverAtAPlannedStop(t *testing.T) {
	is := is.New(t)
	names := []id.Daemon{"d1", "d2", "d3", "d4", "d5", "d6", "d7"}
	f := newFleet(names...)
	f.list("v1", "v2")
	f.begin("d1", "v1")
	for _, name := range names {
		f.sleep(time.Second)
		f.daemons[name].HandOver()
		f.start(name)
		f.listAt(name, "v1", "v2")
	}
	got, ok := f.find("d3")
	is.True(ok)
	is.Equal(got, id.Software("v1"))
}

// TestADaemonThatJoinsGetsTheRecordsOfBefore guards against a stream that begins before
// another daemon is known and that only one daemon ever knows.
func TestADaemonThatJoinsGetsTheRecordsOfBefore(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1")
	f.list("v1", "v2")
	f.begin("d1", "v1")
	f.names = append(f.names, "d2")
	f.start("d2")
	f.listAt("d2", "v1", "v2")
	f.daemons["d1"].Joined("d2")
	f.kill("d1")
	got, ok := f.find("d2")
	is.True(ok)
	is.Equal(got, id.Software("v1"))
}

// TestHoldersThatStartAgainGetTheirRecordsBack covers holders that are lost one after the
// other, without a planned stop, and then the daemon that served the stream.
func TestHoldersThatStartAgainGetTheirRecordsBack(t *testing.T) {
	is := is.New(t)
	names := []id.Daemon{"d1", "d2", "d3", "d4", "d5", "d6", "d7"}
	f := newFleet(names...)
	f.list("v1", "v2")
	f.begin("d1", "v1")
	for _, name := range names[1:] {
		f.start(name)
		f.listAt(name, "v1", "v2")
		for _, other := range f.others(name) {
			f.daemons[other].Joined(name)
		}
	}
	is.Equal(len(f.daemons["d7"].ledger.All(f.now)), 0) // it is none of its holders
	f.kill("d1")
	got, ok := f.find("d7")
	is.True(ok)
	is.Equal(got, id.Software("v1"))
}

// TestManyRecordsAreSentInBoundedMessages covers a second version in a busy daemon.
func TestManyRecordsAreSentInBoundedMessages(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.list("v1")
	for i := range 2*maxBatch + 1 {
		s := stream
		s.Request = id.Request(time.Duration(i).String())
		f.daemons["d1"].Began(origin.Record{Stream: s, Software: "v1", Left: 20 * time.Second})
	}
	f.listAt("d1", "v1", "v2")
	is.Equal(f.batches, 3)
	is.Equal(len(f.daemons["d2"].ledger.All(f.now)), 2*maxBatch+1)
}
