package route

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/apikey"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/quota"
)

func hashKeys(names ...string) []apikey.Hash {
	var out []apikey.Hash
	for _, n := range names {
		out = append(out, apikey.Of([]byte(n)))
	}
	return out
}

func TestOwnerReturnsTheTeamOfAKey(t *testing.T) {
	is := is.New(t)
	x, err := NewTable(Config{Teams: []Team{
		{Name: "desk", Keys: hashKeys("a", "b")},
		{Name: "trek", Keys: hashKeys("c")},
	}})
	is.NoErr(err)
	is.True(x.HasTeams())
	is.Equal(x.Owner(apikey.Of([]byte("b"))).Name, id.Team("desk"))
	is.Equal(x.Owner(apikey.Of([]byte("d"))), nil)
	is.Equal(x.Team("trek").Name, id.Team("trek"))
	is.True(!newTestTable(t).HasTeams())
}

func TestInvalidTeamIsNamedInTheError(t *testing.T) {
	cases := map[string]struct {
		teams []Team
		want  string
	}{
		"same name twice": {[]Team{{Name: "a"}, {Name: "a"}}, `duplicate team name "a"`},
		"no name":         {[]Team{{}}, `team without a name`},
		"one key twice": {
			[]Team{{Name: "a", Keys: hashKeys("k")}, {Name: "b", Keys: hashKeys("l", "k")}},
			`team "b": key 1 belongs to another team already`,
		},
		"an empty key":    {[]Team{{Name: "a", Keys: hashKeys("")}}, `team "a": key 0 is empty`},
		"a negative rate": {[]Team{{Name: "a", Limit: quota.Limit{Rate: -2}}}, `team "a": the limit's rate is -2`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := NewTable(Config{Teams: c.teams})
			is.True(err != nil)
			is.Equal(err.Error(), c.want)
		})
	}
}
