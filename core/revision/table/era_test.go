package table

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A version of a later era is the newer one, whatever its number: the store gives
// numbers out again after it came back from an older copy.
func TestVersionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		era := rapid.Uint64Range(0, 1<<20)
		number := rapid.Uint64Range(0, 1<<numberBits-1)
		e1, e2 := era.Draw(t, "e1"), era.Draw(t, "e2")
		n1, n2 := number.Draw(t, "n1"), number.Draw(t, "n2")
		v1, v2 := VersionIn(e1, n1), VersionIn(e2, n2)
		is.Equal(Era(v1), e1)
		is.Equal(Number(v1), n1)
		is.Equal(v1 < v2, e1 < e2 || e1 == e2 && n1 < n2)
	})
}

func TestVersionsAreLoggedWithTheirEra(t *testing.T) {
	is := is.New(t)
	is.Equal(FormatVersion(VersionIn(0, 57)), "57")
	is.Equal(FormatVersion(VersionIn(2, 57)), "2.57")
}
