package live

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

func validDocument() *Document {
	return Normalize(&Document{
		Teams: []Team{
			{Name: "desk", Labels: Labels{"tier": "gold"}, KeyHashes: []string{HashKey("key-1")}},
			{Name: "trek", KeyHashes: []string{HashKey("key-2")}},
		},
		Services: []Service{
			{Name: "summary", Type: ServiceModel, Pool: "engines", TeamSelector: "tier=gold"},
			{Name: "stem", Type: ServicePlain, Pool: "desks"},
		},
		Pools: []Pool{
			{Name: "engines", EndpointSelector: "kind=engine", Model: "m"},
			{Name: "desks", EndpointSelector: LabelDomain + "=kuryk,kind!=engine"},
		},
		Endpoints: []Endpoint{
			{Name: "e2", Labels: Labels{"kind": "engine"}, Address: "10.0.0.2:80", Domain: "kuryk"},
			{Name: "e1", Labels: Labels{"kind": "engine", LabelLeaving: "true"}, Address: "10.0.0.1:80", Domain: "bautino"},
			{Name: "p1", Address: "[::1]:80", Domain: "kuryk"},
		},
		Links: []Link{
			{Name: "a", From: "kuryk", To: "bautino", BytesPerSecond: 1e6},
			{Name: "b", From: "kuryk", To: "bautino", BytesPerSecond: 2e6},
		},
	})
}

func TestNormalizeFillsDefaultsInACopy(t *testing.T) {
	is := is.New(t)
	in := &Document{Services: []Service{{Name: "s", FirstTokenTargetMS: 100}}, Endpoints: []Endpoint{{Name: "e", Labels: Labels{"a": "b"}}}}
	out := Normalize(in)
	is.Equal(out.Services[0].PatienceMS, 100) // the first-token target
	is.Equal(out.Endpoints[0].Slots, DefaultSlots)
	is.Equal(in.Services[0].PatienceMS, 0)
	out.Endpoints[0].Labels["a"] = "changed"
	is.Equal(in.Endpoints[0].Labels["a"], "b")
	is.Equal(Normalize(out), out)
}

func TestCheckReportsEveryFault(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Check(validDocument())), 0)
	cases := map[string]func(*Document){
		"teams[1].name":                          func(d *Document) { d.Teams[1].Name = "desk" },
		"teams[0].key_hashes[0]":                 func(d *Document) { d.Teams[0].KeyHashes[0] = "abc" },
		"teams[1].key_hashes[0]":                 func(d *Document) { d.Teams[1].KeyHashes[0] = strings.ToUpper(d.Teams[0].KeyHashes[0]) },
		"teams[0].weight":                        func(d *Document) { d.Teams[0].Weight = -1 },
		"teams[0].max_body_bytes":                func(d *Document) { d.Teams[0].MaxBodyBytes = MaxBody + 1 },
		"services[0].pool":                       func(d *Document) { d.Services[0].Pool = "desks" },
		"services[1].pool":                       func(d *Document) { d.Services[1].Pool = "none" },
		"services[1].type":                       func(d *Document) { d.Services[1].Type = "odd" },
		"services[0].team_selector":              func(d *Document) { d.Services[0].TeamSelector = "a in (" },
		"services[0].priority":                   func(d *Document) { d.Services[0].Priority = 10 },
		"services[0].waste_weight":               func(d *Document) { d.Services[0].WasteWeight = 1.5 },
		"pools[0].endpoint_selector":             func(d *Document) { d.Pools[0].EndpointSelector = "" },
		"pools[1].model":                         func(d *Document) { d.Pools[1].Version = "2" },
		"endpoints[0].address":                   func(d *Document) { d.Endpoints[0].Address = "host:80" },
		"endpoints[2].address":                   func(d *Document) { d.Endpoints[2].Address = "10.0.0.2:80" },
		"endpoints[0].labels":                    func(d *Document) { d.Endpoints[0].Labels[LabelRole] = "cook" },
		"endpoints[0].slots":                     func(d *Document) { d.Endpoints[0].Slots = -1 },
		"endpoints[0].domain":                    func(d *Document) { d.Endpoints[0].Domain = "" },
		"links[0].bytes_per_second":              func(d *Document) { d.Links[0].BytesPerSecond = 0 },
		"endpoints[1].name":                      func(d *Document) { d.Endpoints[1].Name = "a b" },
		"endpoints[0].decode_token_ms":           func(d *Document) { d.Endpoints[0].DecodeTokenMS = -2 },
		"pools[0].min_decode":                    func(d *Document) { d.Pools[0].MinDecode = -1 },
		"services[0].first_token_target_ms":      func(d *Document) { d.Services[0].FirstTokenTargetMS = -5 },
		"links[1].from":                          func(d *Document) { d.Links[1].From = "" },
		"teams[0].labels":                        func(d *Document) { d.Teams[0].Labels = Labels{"": "x"} },
		"endpoints[0].prefill_tokens_per_second": func(d *Document) { d.Endpoints[0].PrefillTokensPerSecond = -1 },
	}
	all := 0
	for path, corrupt := range cases {
		doc := validDocument()
		corrupt(doc)
		faults := Check(doc)
		is.Equal(len(faults), 1) // only the injected fault
		is.Equal(faults[0].Path, path)
		is.True(faults[0].Message != "")
		all += len(faults)
	}
	is.Equal(all, len(cases))
	doc := validDocument()
	cases["teams[0].weight"](doc)
	cases["endpoints[0].slots"](doc)
	is.Equal(len(Check(doc)), 2) // all faults, not only the first
}

func TestIndexHidesServicesOfOtherTeams(t *testing.T) {
	is := is.New(t)
	x := NewIndex(validDocument())
	desk, ok := x.TeamByKey("key-1")
	is.True(ok)
	is.Equal(string(desk.Name), "desk")
	_, ok = x.TeamByKey("key-3")
	is.True(!ok)
	_, ok = x.TeamByKey(HashKey("key-1")) // the hash is not the key
	is.True(!ok)
	trek, _ := x.Team("trek")
	s, err := x.ServiceFor(desk, "summary")
	is.True(err == nil)
	is.Equal(string(s.Pool), "engines")
	_, forbidden := x.ServiceFor(trek, "summary")
	_, missing := x.ServiceFor(trek, "nothing")
	is.Equal(forbidden, missing) // the same error
	is.Equal(missing.Verdict, verdict.NotRun)
	is.Equal(len(x.ServicesFor(trek)), 1)
}

func TestIndexSelectsEndpointsAndLinks(t *testing.T) {
	is := is.New(t)
	x := NewIndex(validDocument())
	engines := x.Endpoints("engines")
	is.Equal(len(engines), 2)
	is.Equal(string(engines[0].Name), "e1") // sorted by name
	is.True(IsLeaving(engines[0]))
	is.Equal(len(x.Endpoints("desks")), 1) // matched by the implicit domain label
	l, ok := x.Link("kuryk", "bautino")
	is.True(ok)
	is.Equal(l.Name, "b") // the last matching link
	_, ok = x.Link("bautino", "kuryk")
	is.True(!ok)
}
