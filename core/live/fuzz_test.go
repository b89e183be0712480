package live

import (
	"encoding/json"
	"reflect"
	"testing"
)

// FuzzCheck checks that an accepted document can be indexed, and that a round trip
// through JSON yields the same document, which is accepted again.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(`{"revision":3,"teams":[{"name":"t","key_hashes":[],"labels":{"a":"b"}}],
		"pools":[{"name":"p","endpoint_selector":"pool in (p,q)"}],
		"services":[{"name":"s","type":"model","pool":"p","team_selector":"a=b"}],
		"endpoints":[{"name":"e","labels":{"pool":"p","samphirequay/role":"decode"},"address":"127.0.0.1:1","domain":"f"}],
		"links":[{"name":"l","from":"f","to":"f","bytes_per_second":1e300}]}`))
	f.Add([]byte(`{"services":[{"name":"s","type":"plain","pool":"none","waste_weight":-1,"priority":10}]}`))
	f.Add([]byte(`{"pools":[{"name":"p","endpoint_selector":"((("}],"teams":[{"name":"","weight":-0.0}]}`))
	f.Add([]byte(`{"endpoints":[{"name":"e","address":"[::1%25x]:0","labels":null}],"teams":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		raw := &Document{}
		if json.Unmarshal(data, raw) != nil {
			return
		}
		doc := Normalize(raw)
		if faults := Check(doc); len(faults) > 0 {
			for _, fault := range faults {
				if fault.Message == "" || fault.Error() == "" {
					t.Fatalf("an empty fault: %+v", fault)
				}
			}
			return
		}
		checkAccepted(t, doc)
	})
}

func checkAccepted(t *testing.T, doc *Document) {
	index := NewIndex(doc)
	for i := range doc.Pools {
		for _, e := range index.Endpoints(doc.Pools[i].Name) {
			if known, ok := index.Endpoint(e.Name); !ok || known != e {
				t.Fatalf("pool %s has an endpoint %q that is not in the index", doc.Pools[i].Name, e.Name)
			}
		}
	}
	data, err := json.Marshal(doc)
	if err != nil {
		t.Fatalf("an accepted document can't be encoded: %v", err)
	}
	back := &Document{}
	if err := json.Unmarshal(data, back); err != nil {
		t.Fatal(err)
	}
	back = Normalize(back)
	if faults := Check(back); len(faults) > 0 {
		t.Fatalf("the decoded document has faults: %v", faults)
	}
	again, err := json.Marshal(back)
	if err != nil || !reflect.DeepEqual(data, again) {
		t.Fatalf("encoded again as %s, want %s (%v)", again, data, err)
	}
}
