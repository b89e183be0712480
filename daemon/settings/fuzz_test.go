package settings

import (
	"os"
	"path/filepath"
	"testing"
)

// FuzzFile checks that any content is either read as settings or as a document,
// or has faults with a position within the file.
func FuzzFile(f *testing.F) {
	for _, name := range []string{"daemon.json", "bunker/daemon-1.json", "bunker/live.json"} {
		data, err := os.ReadFile(filepath.Join("../../examples", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(good))
	f.Add([]byte(`{"name": "d", /* open`))
	f.Add([]byte(`{"seed_peers": [{"address": 7}, null], "name": {"a": []},}`))
	f.Add([]byte(`{"revision": 1e99, "teams": [{"name": "\ud800"}]}`))
	f.Add([]byte(""))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, faults := Parse("f", data)
		if (s == nil) != (len(faults) > 0) {
			t.Fatalf("settings %v with faults %v", s, faults)
		}
		checkFaults(t, data, faults)
		doc, faults := ParseDocument("f", data)
		if (doc == nil) != (len(faults) > 0) {
			t.Fatalf("document %v with faults %v", doc, faults)
		}
		checkFaults(t, data, faults)
		_, faults = Check("f", data)
		checkFaults(t, data, faults)
	})
}

func checkFaults(t *testing.T, data []byte, faults Faults) {
	for _, fault := range faults {
		if fault.File != "f" || fault.Message == "" || fault.Line < 1 || fault.Column < 1 {
			t.Fatalf("fault %+v", fault)
		}
		if fault.Line > len(data)+1 || fault.Column > len(data)+1 {
			t.Fatalf("fault %+v is beyond the file's %d bytes", fault, len(data))
		}
	}
}
