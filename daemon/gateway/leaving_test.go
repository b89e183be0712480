package gateway

import (
	"bytes"
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/daemon/feed"
	"github.com/samphirequay/samphirequay/daemon/forward"
	"github.com/samphirequay/samphirequay/daemon/link"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/daemon/upstream"
)

// tableEndpoints is the name of the table of endpoints in these tests.
const tableEndpoints = "endpoints"

// rowAdapter reads endpoints from rows whose value is the state of their entry and their
// address.
type rowAdapter struct{ Adapter }

// Tables implements Adapter.
func (rowAdapter) Tables() Tables { return Tables{Config: "config", Endpoints: tableEndpoints} }

// Endpoint implements Adapter.
func (rowAdapter) Endpoint(row table.Row) (registry.Endpoint, error) {
	state, address, _ := strings.Cut(string(row.Value), " at ")
	if address == "" {
		address = "address of " + row.Key
	}
	return registry.Endpoint{
		Name: id.Endpoint(row.Key), Instance: id.Instance(row.Key), Service: "s", Address: address, Leaving: state == "leaving",
	}, nil
}

// noticePaths, noConnections and notices are the parts of a platform that a Daemon is
// created with.
type noticePaths struct {
	Paths
	dialled []string
}

// UseTunnels implements Paths.
func (*noticePaths) UseTunnels(upstream.Tunnels) {}

// CutPaths implements Paths.
func (*noticePaths) CutPaths() int { return 0 }

// DialDirect implements Paths.
func (p *noticePaths) DialDirect(_ context.Context, address string) (net.Conn, error) {
	p.dialled = append(p.dialled, address)
	return nil, nil
}

// noConnections implements Inspector for a daemon without connections.
type noConnections struct{ Inspector }

// Forget implements Inspector.
func (noConnections) Forget(string) {}

type notices struct{ report func(LeavingNotice) }

// ReportLeaving implements Notices.
func (n *notices) ReportLeaving(report func(LeavingNotice)) { n.report = report }

// logText is a log that may be read while it is written.
type logText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// lines counts the lines of an event.
func (l *logText) lines(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), "event="+event+" ")
}

// leavingTest is a daemon that has not enrolled, with endpoints and their notices.
type leavingTest struct {
	*Daemon
	paths   noticePaths
	notices notices
	log     logText
	version uint64
}

func newLeavingTest(t *testing.T) *leavingTest {
	t.Helper()
	l := &leavingTest{}
	d, err := New(&Settings{Daemon: "d1"}, Platform{Adapter: rowAdapter{}, Paths: &l.paths, Inspector: noConnections{}, Notices: &l.notices},
		Options{Log: &l.log, Metrics: metrics.New("d1")})
	if err != nil {
		t.Fatal(err)
	}
	l.Daemon = d
	t.Cleanup(d.cancel)
	return l
}

// list sets the table of endpoints: keys and the words of their entries.
func (l *leavingTest) list(entries map[string]string) {
	l.version++
	s := feed.State{Name: tableEndpoints, Version: l.version, Position: l.version}
	for key, value := range entries {
		s.Rows = append(s.Rows, table.Row{Key: key, Value: []byte(value), Version: l.version})
	}
	slices.SortFunc(s.Rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	l.endpointsChanged(s)
}

// say reports an answer in which a listed endpoint says that it leaves.
func (l *leavingTest) say(e id.Endpoint) {
	l.notices.report(LeavingNotice{Endpoint: l.tables.current().Endpoints[e], Request: "r-1"})
}

// ended returns the log after all of it was written.
func (l *leavingTest) ended() *logText {
	l.logger.Close()
	return &l.log
}

// TestAnEndpointThatSaysThatItLeavesIsLoggedOnce checks the line and the counters for an
// endpoint that says so in each of its answers, and for a notice that can't be used.
func TestAnEndpointThatSaysThatItLeavesIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	l := newLeavingTest(t)
	l.list(map[string]string{"a": "ready", "b": "ready"})
	l.say("a")
	l.say("a")
	l.notices.report(LeavingNotice{Endpoint: l.tables.current().Endpoints["b"], Invalid: "soon"})
	is.Equal(l.noticeCounts.leaving.Value(), int64(1))
	is.Equal(l.noticeCounts.invalid.Value(), int64(1))
	log := l.ended()
	is.Equal(log.lines("endpoint_leaving"), 1)
	is.True(strings.Contains(log.text.String(), "endpoint=a registry=1 known=true entry_leaving=false origin=answer instance=a address=\"address of a\" request=r-1"))
}

// leaving lists the endpoints that the view in force has as leaving.
func (l *leavingTest) leaving() []id.Endpoint {
	var out []id.Endpoint
	for name, e := range l.tables.current().Endpoints {
		if e.Leaving {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// TestAnEndpointThatSaysThatItLeavesLeavesTheView guards against requests to an endpoint
// that has said in an answer that it leaves, while the store is away or its entry says
// ready. The view has it before the answer is passed on.
func TestAnEndpointThatSaysThatItLeavesLeavesTheView(t *testing.T) {
	is := is.New(t)
	l := newLeavingTest(t)
	l.list(map[string]string{"a": "ready", "b": "ready"})
	l.say("a")
	is.Equal(l.leaving(), []id.Endpoint{"a"})
	l.list(map[string]string{"a": "ready", "b": "ready", "c": "ready"})
	is.Equal(l.leaving(), []id.Endpoint{"a"})
	l.list(map[string]string{"b": "ready"})
	l.list(map[string]string{"a": "ready", "b": "leaving"})
	is.Equal(l.leaving(), []id.Endpoint{"a", "b"})
	l.notices.report(LeavingNotice{Endpoint: registry.Endpoint{Name: "c"}, Invalid: "0"})
	l.list(map[string]string{"a-2": "ready", "c": "ready"})
	is.Equal(len(l.leaving()), 0) // a new start, and one that has said nothing usable
}

// TestAnEntryThatSaysLeavingDoesNotHideTheEndpointsOwnWord checks an endpoint that says
// that it leaves after its entry has, and whose entry is then written by a late heartbeat.
func TestAnEntryThatSaysLeavingDoesNotHideTheEndpointsOwnWord(t *testing.T) {
	is := is.New(t)
	l := newLeavingTest(t)
	l.list(map[string]string{"a": "leaving"})
	l.say("a")
	l.list(map[string]string{"a": "ready"})
	is.Equal(l.leaving(), []id.Endpoint{"a"})
}

// receive handles a message of the daemon d2 that an endpoint has said that it leaves.
func (l *leavingTest) receive(t *testing.T, e id.Endpoint) {
	t.Helper()
	body, err := peer.Encode(&leavingNews{Endpoint: e})
	if err != nil {
		t.Fatal(err)
	}
	ready := make(chan struct{})
	close(ready)
	h := &peerHandler{Handler: link.Handler{Receiver: receiver{d: l.Daemon}, Ready: ready}, d: l.Daemon}
	h.HandleOneWay("d2", kindLeaving, body)
}

// TestALeavingThatAnotherDaemonHeardCounts checks a word that another daemon passes on,
// also before the endpoint's entry is known, and that it is not new when it comes again.
func TestALeavingThatAnotherDaemonHeardCounts(t *testing.T) {
	is := is.New(t)
	l := newLeavingTest(t)
	l.list(map[string]string{"a": "ready"})
	l.receive(t, "a")
	l.receive(t, "b")
	l.receive(t, "a")
	is.Equal(l.leaving(), []id.Endpoint{"a"})
	l.list(map[string]string{"a": "ready", "b": "ready"})
	is.Equal(l.leaving(), []id.Endpoint{"a", "b"})
	l.say("a")
	is.Equal(l.noticeCounts.received.Value(), int64(3))
	is.Equal(l.noticeCounts.leaving.Value(), int64(0))
	log := l.ended()
	is.Equal(log.lines("endpoint_leaving"), 2)
	is.True(strings.Contains(log.text.String(), "endpoint=a registry=1 known=true entry_leaving=false origin=peer peer=d2"))
}

// TestWordsOfEndpointsAndChangesOfEntriesMeet checks that words that come at the same time
// as changes of the entries are not lost.
func TestWordsOfEndpointsAndChangesOfEntriesMeet(t *testing.T) {
	is := is.New(t)
	l := newLeavingTest(t)
	all := map[string]string{}
	var names []id.Endpoint
	for _, name := range strings.Fields("a b c d e f g h") {
		all[name] = "ready"
		names = append(names, id.Endpoint(name))
	}
	l.list(all)
	var words sync.WaitGroup
	for _, name := range names {
		for range 3 {
			words.Go(func() { l.say(name) })
		}
	}
	for range 20 {
		l.list(all)
	}
	words.Wait()
	is.Equal(l.leaving(), names)
	is.Equal(l.noticeCounts.leaving.Value(), int64(len(names)))
}

// TestNoTunnelLeadsToAnEndpointThatLeaves guards against requests that reach an endpoint
// from a host that knows that it leaves, on behalf of a daemon that does not know it.
func TestNoTunnelLeadsToAnEndpointThatLeaves(t *testing.T) {
	is := is.New(t)
	l := newLeavingTest(t)
	l.list(map[string]string{"a": "ready at x", "b": "leaving at y", "c": "ready at z"})
	l.say("a")
	for _, address := range []string{"x", "y", "z", "unknown"} {
		_, err := l.serveTunnel(context.Background(), "d2", address)
		is.Equal(err == nil, address == "z")
	}
	is.Equal(l.paths.dialled, []string{"z"})
	is.Equal(l.tunnelCounts.refused.Value(), int64(3))
}

// TestATunnelLeadsToTheSuccessorOfAnEndpointThatLeaves checks an address that a new
// endpoint has taken before the entry of the former one is gone.
func TestATunnelLeadsToTheSuccessorOfAnEndpointThatLeaves(t *testing.T) {
	is := is.New(t)
	l := newLeavingTest(t)
	l.list(map[string]string{"a": "leaving at x"})
	is.True(!l.takesWorkAt("x"))
	l.tables.view.Store(&forward.View{Endpoints: map[id.Endpoint]registry.Endpoint{
		"a": {Name: "a", Address: "x", Leaving: true}, "a-2": {Name: "a-2", Address: "x"},
	}})
	is.True(l.takesWorkAt("x"))
}
