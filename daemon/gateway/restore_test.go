package gateway

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/daemon/feed"
	"github.com/samphirequay/samphirequay/daemon/peer"
)

// hostNames lists the names of hosts in order.
func hostNames(hosts []member.Host) []id.Daemon {
	var out []id.Daemon
	for _, h := range hosts {
		out = append(out, h.Name)
	}
	slices.Sort(out)
	return out
}

// Each daemon's share of the retries is that of the daemons listed: if a return of the
// store took some off the list, the others would retry more.
func TestADaemonThatWasListedStaysListed(t *testing.T) {
	is := is.New(t)
	var l hostList
	l.update(5, []member.Host{{Name: "d1", Address: "1"}, {Name: "d2", Address: "2"}})
	got := l.update(table.VersionIn(1, 3), []member.Host{{Name: "d1", Address: "1b"}})
	is.Equal(hostNames(got), []id.Daemon{"d1", "d2"})
	got = l.update(4, []member.Host{{Name: "d1", Address: "old"}, {Name: "d3", Address: "3"}})
	is.Equal(hostNames(got), []id.Daemon{"d1", "d2", "d3"})
	is.Equal(l.hosts["d1"].Address, "1b") // a state that arrives late changes no address
}

// recode encodes a message and decodes it as another type, as a daemon of another release
// does.
func recode[T any](t *testing.T, from any) T {
	t.Helper()
	encoded, err := peer.Encode(from)
	if err != nil {
		t.Fatal(err)
	}
	var to T
	if err := peer.Decode(encoded, &to); err != nil {
		t.Fatal(err)
	}
	return to
}

// Daemons of earlier releases compare versions with the store's numbers. What a store that
// has come back sends must not reach them with others.
func TestEarlierReleasesIgnoreVersionsOfLaterEras(t *testing.T) {
	type earlierNews struct {
		News feed.News `cbor:"1,keyasint"`
	}
	type earlierReply struct {
		States []feed.State `cbor:"1,keyasint"`
	}
	for _, era := range []uint64{0, 1} {
		is := is.New(t)
		news := newTableNews(feed.News{Name: "op", Position: table.VersionIn(era, 4)})
		reply := newTablesReply([]feed.State{{Name: "op", Position: table.VersionIn(era, 4)}}, storeStatus{})
		is.Equal(recode[earlierNews](t, &news).News.Name == "op", era == 0)
		is.Equal(len(recode[earlierReply](t, reply).States) == 1, era == 0)
		present := recode[tableNews](t, &news)
		is.Equal(present.news(), news.news())
		now := recode[tablesReply](t, reply)
		is.Equal(now.all(), reply.all())
	}
}
