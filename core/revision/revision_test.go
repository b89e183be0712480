package revision

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func putTeam(n int) Change {
	op := Op{Action: ActionPut, Kind: live.KindTeam, Name: fmt.Sprintf("t%d", n), Item: json.RawMessage(`{"weight": 2}`)}
	return Change{ID: fmt.Sprintf("c%d", n), At: time.Unix(int64(n), 0).UTC(), Ops: []Op{op}}
}

// records returns the records of the first n accepted changes.
func records(n int) []Record {
	var out []Record
	chain := ""
	for i := range n {
		c := putTeam(i)
		chain = NextChain(chain, c)
		out = append(out, Record{Revision: uint64(i + 1), Change: c, Chain: chain})
	}
	return out
}

func followerAt(n int) *Follower {
	f := NewFollower(DefaultFollowerConfig(), 0, newRand())
	for _, r := range records(n) {
		f.ApplyAccepted(r)
	}
	return f
}

func TestApplyIsAllOrNothing(t *testing.T) {
	is := is.New(t)
	doc := followerAt(2).Current()
	before := string(encode(doc))
	c := putTeam(7)
	c.Ops = append(c.Ops, Op{Action: ActionDelete, Kind: live.KindPool, Name: "none"}, Op{Action: "odd", Kind: live.KindTeam, Name: "t0"})
	next, faults := Apply(doc, c)
	is.True(next == nil)
	is.Equal(len(faults), 2) // both bad ops, each with its path
	is.Equal(faults[0].Path, "ops[1]")
	is.Equal(faults[1].Path, "ops[2]")
	c.Ops = []Op{{Action: ActionPut, Kind: live.KindService, Name: "s", Item: json.RawMessage(`{"type": "model", "pool": "none"}`)}}
	_, faults = Apply(doc, c)
	is.Equal(faults[0].Path, "services[0].pool") // the result is checked
	c.Ops = []Op{{Action: ActionPut, Kind: live.KindTeam, Name: "s", Item: json.RawMessage(`{"wait": 2}`)}}
	_, faults = Apply(doc, c)
	is.Equal(len(faults), 1) // unknown fields are faults
	is.Equal(string(encode(doc)), before)
}

func TestLabelsAreSetAndRemoved(t *testing.T) {
	is := is.New(t)
	doc := followerAt(1).Current()
	label := func(l live.Labels) Change {
		return Change{ID: "l", Ops: []Op{{Action: ActionLabel, Kind: live.KindTeam, Name: "t0", Labels: l}}}
	}
	doc, faults := Apply(doc, label(live.Labels{"a": "1", "b": "2"}))
	is.Equal(len(faults), 0)
	doc, _ = Apply(doc, label(live.Labels{"a": ""}))
	is.Equal(doc.Teams[0].Labels, live.Labels{"b": "2"})
	is.Equal(doc.Teams[0].Weight, 2.0)
	is.Equal(Overlap(label(nil), putTeam(0)), []string{"team/t0"})
}

func TestRecordsRoundTripAndChainIsChecked(t *testing.T) {
	is := is.New(t)
	for _, r := range records(3) {
		raw, err := cbor.Marshal(FetchReply{Records: []Record{r}})
		is.NoErr(err)
		var back FetchReply
		is.NoErr(cbor.Unmarshal(raw, &back))
		is.Equal(Digest(back.Records[0].Change), Digest(r.Change))
	}
	f := followerAt(3)
	bad := records(5)[3]
	bad.Change.Ops[0].Item = json.RawMessage(`{"weight": 3}`)
	actions := f.ApplyAccepted(bad)
	is.True(actions[0].Diverged != nil) // a record of another history is rejected
	is.Equal(f.Current().Revision, uint64(3))
}

func TestFollowerNeverInstallsOlderRevision(t *testing.T) {
	is := is.New(t)
	f := followerAt(5)
	read := f.Tick(0)[0].Request
	old := Head{Revision: 2, ChangeID: "c1"}
	rows := []table.Row{{Key: KeyHead, Value: encode(old), Version: 9}, {Key: KeyRevision(2), Value: encode(records(2)[1]), Version: 8}}
	is.Equal(len(f.Handle(0, table.Reply{Seq: read.Seq, Status: table.Done, Rows: rows})), 0)
	is.Equal(f.Current().Revision, uint64(5))
	f.PeerRevision(0, "peer", 9)
	actions := f.Tick(time.Second)
	fetch := actions[len(actions)-1].Fetch
	older := followerAt(3)
	snapshot := &Snapshot{Document: *older.Current(), Chain: older.Chain()}
	is.Equal(len(f.HandlePeer(time.Second, FetchReply{Seq: fetch.Seq, Snapshot: snapshot})), 0)
	is.Equal(f.Current().Revision, uint64(5))
}

func TestStoreDownAtStartUsesNewestPeer(t *testing.T) {
	is := is.New(t)
	cfg := DefaultFollowerConfig()
	f := NewFollower(cfg, 0, newRand())
	peers := map[id.Daemon]*Follower{"a": followerAt(10), "b": followerAt(200)}
	peers["b"].history = peers["b"].history[150:] // the peer has dropped old records
	for now := time.Duration(0); now < 4*time.Second; now += 10 * time.Millisecond {
		f.PeerRevision(now, "a", 10)
		f.PeerRevision(now, "b", 200)
		for _, a := range f.Tick(now) {
			if a.Request != nil {
				f.Handle(now, table.Reply{Seq: a.Request.Seq, Status: table.Unknown})
			}
			if a.Fetch != nil {
				f.HandlePeer(now, peers[a.Fetch.Peer].Serve(*a.Fetch))
			}
		}
		is.True(!f.Ready(now) || f.Current().Revision == 200) // not ready before the newest revision is installed
	}
	is.True(f.Ready(4 * time.Second))
	is.Equal(f.Current(), peers["b"].Current())
	is.True(!f.StoreUp())
	diff, ok := f.Diff(0, 200)
	is.True(ok)
	is.Equal(len(diff), 200)
}

func TestPollRateIsBoundedAfterOutage(t *testing.T) {
	is := is.New(t)
	const daemons = 420
	perSecond := map[int]int{}
	for n := range daemons {
		f := NewFollower(DefaultFollowerConfig(), 0, rand.New(rand.NewPCG(uint64(n), 1)))
		for now := time.Duration(0); now < 70*time.Second; now = f.Next() {
			for _, a := range f.Tick(now) {
				status := table.Unknown
				if now > time.Minute {
					perSecond[int(now/time.Second)]++
					status = table.Done
				}
				f.Handle(now, table.Reply{Seq: a.Request.Seq, Status: status})
			}
		}
	}
	for second := 60; second < 70; second++ {
		is.True(perSecond[second] <= daemons) // at most the normal rate of one poll per second and daemon
	}
}

func BenchmarkFollowerAppliesChange(b *testing.B) {
	f := followerAt(900)
	next := records(901)[900]
	doc, chain := f.doc, f.chain
	for b.Loop() {
		f.doc, f.chain = doc, chain
		f.ApplyAccepted(next)
	}
}
