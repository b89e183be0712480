// Package rendezvous chooses owners by highest-random-weight hashing: every
// daemon that knows the same members names the same owner without asking, and
// a member that joins or leaves moves only the keys it gains or had.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirequay/samphirequay/core/id"
)

// separator keeps ("a", "bc") apart from ("ab", "c").
const separator = "\x00"

// Score is the weight of a member for a key; the highest owns the key.
func Score(key string, member id.Daemon) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(string(member))
	return d.Sum64()
}

// Owner returns the owner of key among members, whatever their order; it is
// empty when there are none. It allocates nothing.
func Owner(key string, members []id.Daemon) id.Daemon {
	var best id.Daemon
	var top uint64
	for i, m := range members {
		s := Score(key, m)
		if i == 0 || s > top || (s == top && m < best) {
			best, top = m, s
		}
	}
	return best
}

// Ranked returns all members, the owner first, then who follows it.
func Ranked(key string, members []id.Daemon) []id.Daemon {
	type ranked struct {
		member id.Daemon
		score  uint64
	}
	all := make([]ranked, len(members))
	for i, m := range members {
		all[i] = ranked{member: m, score: Score(key, m)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member, b.member))
	})
	out := make([]id.Daemon, len(all))
	for i, r := range all {
		out[i] = r.member
	}
	return out
}
