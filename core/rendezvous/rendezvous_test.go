package rendezvous

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

func members(n int) []id.Daemon {
	out := make([]id.Daemon, n)
	for i := range out {
		out[i] = id.Daemon(fmt.Sprintf("d%d", i))
	}
	return out
}

func TestOnlyKeysOfRemovedMemberMove(t *testing.T) {
	is := is.New(t)
	all := members(9)
	without := append(append([]id.Daemon{}, all[:4]...), all[5:]...)
	counts := map[id.Daemon]int{}
	for i := range 9000 {
		key := fmt.Sprintf("pool-%d", i)
		before, after := Owner(key, all), Owner(key, without)
		counts[before]++
		if before != all[4] {
			is.Equal(before, after) // a key of a remaining member must not move
			continue
		}
		is.Equal(after, Ranked(key, all)[1]) // the second in rank becomes the owner
	}
	for _, m := range all {
		is.True(counts[m] > 800 && counts[m] < 1200) // keys are distributed evenly
	}
}

func TestOrderOfMembersDoesNotMatter(t *testing.T) {
	is := is.New(t)
	a := []id.Daemon{"x", "y", "z"}
	b := []id.Daemon{"z", "x", "y"}
	for i := range 100 {
		key := fmt.Sprint(i)
		is.Equal(Owner(key, a), Owner(key, b))
		is.Equal(Ranked(key, a), Ranked(key, b))
		is.Equal(Ranked(key, a)[0], Owner(key, a))
	}
	is.Equal(Owner("k", nil), id.Daemon(""))
}
