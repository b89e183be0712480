// Package rendezvous assigns owners to keys by rendezvous (highest random weight)
// hashing: daemons with the same view of the members choose the same owner without
// coordination, and when a member joins or leaves, only the keys that it gains or
// owned move.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirequay/samphirequay/core/id"
)

// separator distinguishes the pairs ("a", "bc") and ("ab", "c").
const separator = "\x00"

// Score returns the weight of a member for a key; the member with the highest
// weight owns the key.
func Score(key string, member id.Daemon) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(string(member))
	return d.Sum64()
}

// Owner returns the owner of key among members, independent of their order, or an
// empty name if there are none. It does not allocate.
func Owner(key string, members []id.Daemon) id.Daemon {
	var best id.Daemon
	var bestScore uint64
	for i, m := range members {
		s := Score(key, m)
		if i == 0 || s > bestScore || (s == bestScore && m < best) {
			best, bestScore = m, s
		}
	}
	return best
}

// Ranked returns all members by descending weight, the owner first.
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
