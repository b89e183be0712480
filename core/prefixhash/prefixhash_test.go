package prefixhash

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestBlocksOfSharedPrefixAreShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		shared := rapid.IntRange(0, 6).Draw(t, "shared")
		head := strings.Repeat("h", shared*BlockBytes)
		a := Blocks("salt", head+strings.Repeat("a", 2*BlockBytes))
		b := Blocks("salt", head+strings.Repeat("b", 2*BlockBytes))
		is.Equal(a[:shared], b[:shared])
		for i := shared; i < len(a); i++ {
			is.True(a[i] != b[i]) // all blocks after a difference differ
		}
	})
}

func TestBlocksDependOnSaltAndAreBounded(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", (MaxBlocks+5)*BlockBytes)
	is.Equal(len(Blocks("team-a", long)), MaxBlocks)
	is.True(Blocks("team-a", long)[0] != Blocks("team-b", long)[0])
	is.Equal(len(Blocks("team-a", long[:BlockBytes-1])), 0)
}

func TestEstimateTokens(t *testing.T) {
	is := is.New(t)
	is.Equal(EstimateTokens(""), 0)
	is.Equal(EstimateTokens("a"), 1)
	is.Equal(EstimateTokens(strings.Repeat("a", 400)), 100)
}
