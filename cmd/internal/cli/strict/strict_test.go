package strict

import (
	"testing"

	"github.com/matryer/is"
)

type inner struct {
	Count int `json:"count"`
}

type outer struct {
	Name  string            `json:"name"`
	Items []inner           `json:"items"`
	Tags  map[string]string `json:"tags"`
}

func TestDecode(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"fine", "{\"name\": \"a\", // why\n \"items\": [{\"count\": 1},], \"tags\": {\"any\": \"b\"}}", ""},
		{"unknown", "{\n\"nmae\": 1}", "f:2: unknown field \"nmae\""},
		{"unknown within", "{\"items\": [\n{\"count\": 1},\n{\"cuont\": 1}]}", "f:3: unknown field \"cuont\" in items[1]"},
		{"twice", "{\"name\": \"a\",\n\"name\": \"b\"}", "f:2: duplicate field \"name\""},
		{"wrong type", "{\"items\": [\n{\"count\": \"x\"}]}", "f:2: field \"items.count\": got string, want int"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out outer
			err := Decode("f", []byte(c.text), &out)
			if c.want == "" {
				is.NoErr(err)
				is.Equal(out.Items[0].Count, 1)
				return
			}
			is.True(err != nil)
			is.Equal(err.Error(), c.want)
		})
	}
}

func TestSyntaxErrorHasItsLine(t *testing.T) {
	is := is.New(t)
	var out outer
	err := Decode("f", []byte("{\n \"name\": \"a\"\n \"items\": []}"), &out)
	var fault *Error
	is.True(err != nil)
	fault, _ = err.(*Error)
	is.Equal(fault.Line, 3)
}
