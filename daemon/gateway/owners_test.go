package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/capacity"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
)

// TestPoolsAreOwnedByTheLargestHosts guards against choosing an owner on a small host:
// the owner of a pool of 90 engines had .192 core while ten other hosts had .8, and its
// decisions were 0.8 s late in a burst.
func TestPoolsAreOwnedByTheLargestHosts(t *testing.T) {
	is := is.New(t)
	entry := func(name id.Daemon, cores float64) member.Entry {
		return member.Entry{Process: id.Process{Daemon: name}, Capacity: capacity.Capacity{Cores: cores, LinkMbps: 100}}
	}
	entries := []member.Entry{entry("a", 0.192), entry("b", 0.8), entry("c", 0.192), entry("d", 0.8)}
	is.Equal(eligibleOwners([]id.Daemon{"a", "b", "c", "d"}, entries), []id.Daemon{"b", "d"})
	is.Equal(eligibleOwners([]id.Daemon{"a", "c", "d"}, entries), []id.Daemon{"d"})
	is.Equal(eligibleOwners([]id.Daemon{"a", "c"}, entries), []id.Daemon{"a", "c"})
}
