package route

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

func newTestTable(t *testing.T, routes ...Route) *Table {
	t.Helper()
	made, err := NewTable(Config{Routes: routes, Services: []Service{{Name: "a"}, {Name: "b"}}})
	if err != nil {
		t.Fatal(err)
	}
	return made
}

func TestTheLongestPrefixOfTheHostApplies(t *testing.T) {
	is := is.New(t)
	x := newTestTable(t,
		Route{Name: "short", Host: "Desk.example", Prefix: "/a/", Targets: []Target{{Service: "a"}}},
		Route{Name: "long", Host: "desk.example", Prefix: "/a/b/", Targets: []Target{{Service: "b"}}},
		Route{Name: "other", Host: "other.example", Prefix: "/", Targets: []Target{{Service: "a"}}},
	)
	is.Equal(x.Match("desk.example", "/a/b/c").Name, "long")
	is.Equal(x.Match("DESK.example:80", "/a/bc").Name, "short")
	is.Equal(x.Match("desk.example", "/a"), nil)
	is.Equal(x.Match("nobody.example", "/a/b/"), nil)
}

func TestChooseFollowsWeightsAndRequestID(t *testing.T) {
	is := is.New(t)
	r := &Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	got := map[id.Service]int{}
	for i := range 10000 {
		name := id.Request(fmt.Sprintf("request-%d", i))
		first := r.Choose(name)
		is.Equal(first, r.Choose(name))
		got[first]++
	}
	is.True(got["b"] > 800 && got["b"] < 1200)
	none := &Route{Targets: []Target{{Service: "a"}, {Service: "b"}}}
	is.Equal(none.Choose("x"), id.Service("a"))
}

func TestInvalidRouteIsNamedInTheError(t *testing.T) {
	is := is.New(t)
	_, err := NewTable(Config{Routes: []Route{{Name: "r1", Prefix: "/", Targets: []Target{{Service: "gone"}}}}})
	is.True(err != nil)
	is.Equal(err.Error(), `route "r1" refers to service "gone", which does not exist`)
	_, err = NewTable(Config{Routes: []Route{{Name: "r2", Prefix: "/"}}})
	is.Equal(err.Error(), `route "r2" has no targets`)
	_, err = NewTable(Config{
		Services: []Service{{Name: "a"}},
		Routes:   []Route{{Name: "r3", Prefix: "x", Targets: []Target{{Service: "a"}}}},
	})
	is.Equal(err.Error(), `route "r3": prefix "x" does not begin with a slash`)
}
