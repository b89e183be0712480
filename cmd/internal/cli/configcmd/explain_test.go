package configcmd

import (
	"testing"

	"github.com/matryer/is"
)

func TestEveryFieldHasAMeaning(t *testing.T) {
	is := is.New(t)
	fields, err := explain("")
	is.NoErr(err)
	is.Equal(len(fields), len(meanings))
	for _, f := range fields {
		if f.Help == "" {
			t.Errorf("%s: no meaning", f.Field)
		}
	}
}

func TestExplainShowsDefaults(t *testing.T) {
	is := is.New(t)
	fields, err := explain("service.first_token_target_ms")
	is.NoErr(err)
	is.Equal(len(fields), 1)
	is.Equal(fields[0].Default, "360")
	_, err = explain("service.colour")
	is.True(err != nil)
}
