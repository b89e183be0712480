package apikey

import (
	"testing"

	"github.com/matryer/is"
)

func TestKeyHasOneOwner(t *testing.T) {
	is := is.New(t)
	r := NewRing[string]()
	is.NoErr(r.Add(Of([]byte("k1")), "desk"))
	is.NoErr(r.Add(Of([]byte("k2")), "desk"))
	is.NoErr(r.Add(Of([]byte("k1")), "desk")) // a repeated key of the same team is no conflict
	is.Equal(r.Add(Of([]byte("k1")), "trek"), ErrTaken)
	is.Equal(r.Add(Of(nil), "trek"), ErrEmpty)
	owner, ok := r.Owner(Of([]byte("k2")))
	is.True(ok)
	is.Equal(owner, "desk")
	_, ok = r.Owner(Of([]byte("k3")))
	is.True(!ok)
	is.Equal(r.Len(), 2)
}

func TestHashRoundTrip(t *testing.T) {
	is := is.New(t)
	h := Of([]byte("key"))
	parsed, err := Parse(h.String())
	is.NoErr(err)
	is.Equal(parsed, h)
	_, err = Parse("abc")
	is.True(err != nil)
	_, err = Parse(h.String() + "00")
	is.True(err != nil)
}

func TestLookupDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	r := NewRing[string]()
	is.NoErr(r.Add(Of([]byte("k1")), "desk"))
	key := []byte("k1")
	is.Equal(testing.AllocsPerRun(100, func() { r.Owner(Of(key)) }), 0.0)
}
