package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tailscale/hujson"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

const (
	exampleDir = "../../examples"
	// The sizes of the example deployments.
	exampleDaemons, exampleDomains, exampleEngines, examplePlainEndpoints, exampleTeams = 9, 4, 18, 4, 6
)

func exampleFiles(t *testing.T, pattern string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(exampleDir, pattern))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func TestEveryExampleIsValid(t *testing.T) {
	is := is.New(t)
	files := append(exampleFiles(t, "*.json"), exampleFiles(t, "*/*.json")...)
	is.Equal(len(files), 1+2*(exampleDaemons+1))
	for _, file := range files {
		kind, faults := CheckFile(file)
		is.NoErr(faults.Err())
		is.Equal(kind == KindDocument, filepath.Base(file) == "live.json")
	}
}

func TestCommentedExampleHasEveryField(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(exampleDir, "daemon.json")
	data, err := os.ReadFile(path)
	is.NoErr(err)
	src := openSource(path, data)
	src.decode(Defaults())
	is.NoErr(src.faults.Err())
	for _, field := range allFields(reflect.TypeFor[Settings](), "") {
		if _, ok := src.offsets[field]; !ok {
			t.Errorf("%s does not show %s", path, field)
		}
	}
	s, faults := Parse(path, data)
	is.NoErr(faults.Err())
	is.Equal(s.Limits, Defaults().Limits) // the example shows the default values
	is.Equal(s.Timings, Defaults().Timings)
	is.Equal(s.Membership, Defaults().Membership)
	is.Equal(s.KeysPollMS, Defaults().KeysPollMS)
}

// allFields lists the paths of all fields; for a list, those of its first
// element.
func allFields(t reflect.Type, path string) []string {
	switch t.Kind() {
	case reflect.Pointer:
		return allFields(t.Elem(), path)
	case reflect.Slice:
		return allFields(t.Elem(), path+"[0]")
	case reflect.Struct:
		var fields []string
		for name, fieldType := range fieldTypes(t) {
			if name != "secret_hex" { // only the second key has it
				fields = append(fields, allFields(fieldType, join(path, name))...)
			}
		}
		return fields
	default:
		return []string{path}
	}
}

func TestExampleDeploymentsAreConsistent(t *testing.T) {
	for _, name := range []string{"bunker", "companeros"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			doc, faults := LoadDocument(filepath.Join(exampleDir, name, "live.json"))
			is.NoErr(faults.Err())
			domains := make(map[id.Domain]bool)
			roles := make(map[string]int)
			for _, e := range doc.Endpoints {
				domains[e.Domain] = true
				roles[e.Labels[live.LabelRole]]++
			}
			is.Equal(roles["prefill"]+roles["decode"], exampleEngines)
			is.Equal(roles["plain"], examplePlainEndpoints)
			is.Equal(len(domains), exampleDomains)
			is.True(len(doc.Teams) >= exampleTeams)
			is.Equal(len(doc.Links), exampleDomains*exampleDomains)
			index := live.NewIndex(doc)
			for _, p := range doc.Pools {
				is.True(len(index.Endpoints(p.Name)) > 0) // every pool's selector matches endpoints
			}

			names := make(map[id.Daemon]string)
			var seeds []Peer
			for i := range exampleDaemons {
				s, faults := Load(filepath.Join(exampleDir, name, fmt.Sprintf("daemon-%d.json", i+1)))
				is.NoErr(faults.Err())
				is.True(domains[s.Domain])
				names[s.Daemon] = s.Advertise.Peers
				is.True(i == 0 || reflect.DeepEqual(seeds, s.SeedPeers))
				seeds = s.SeedPeers
			}
			is.Equal(len(names), exampleDaemons)
			for _, p := range seeds {
				is.Equal(names[p.Name], p.Address)
			}
		})
	}
}

func TestDemoKeysMatchTheComments(t *testing.T) {
	is := is.New(t)
	for _, file := range exampleFiles(t, "*/live.json") {
		doc, faults := LoadDocument(file)
		is.NoErr(faults.Err())
		for _, team := range doc.Teams {
			is.Equal(team.KeyHashes, []string{live.HashKey(fmt.Sprintf("demo-key-of-%s-do-not-use", team.Name))})
		}
	}
	for _, file := range append(exampleFiles(t, "*.json"), exampleFiles(t, "*/daemon-*.json")...) {
		s, faults := Load(file)
		is.NoErr(faults.Err())
		is.Equal(s.OperatorKeyHashes, []string{live.HashKey("demo-operator-key-do-not-use")})
	}
}

// TestStrictReadingAgreesWithTheStandardLibrary checks that strict reading of
// the examples yields the same documents as encoding/json.
func TestStrictReadingAgreesWithTheStandardLibrary(t *testing.T) {
	is := is.New(t)
	for _, file := range exampleFiles(t, "*/live.json") {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		standard, err := hujson.Standardize(data)
		is.NoErr(err)
		want := &live.Document{}
		decoder := json.NewDecoder(strings.NewReader(string(standard)))
		decoder.DisallowUnknownFields()
		is.NoErr(decoder.Decode(want))
		got, faults := LoadDocument(file)
		is.NoErr(faults.Err())
		is.Equal(got, live.Normalize(want))
	}
}
