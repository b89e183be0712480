package gateway

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/kvsched"
)

// settingsWith writes complete settings with the given disable list and returns the
// file's path.
func settingsWith(t *testing.T, disable string) string {
	t.Helper()
	return writeSettings(t, `"disable": `+disable)
}

// writeSettings writes complete settings with one more field and returns the file's path.
func writeSettings(t *testing.T, field string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	text := `{
  "daemon": "d1", "domain": "north", "store": "127.0.0.1:1", "memory_mb": 64,
  "listen": {"callers": "127.0.0.1:2", "ready": "127.0.0.1:3", "entry": "127.0.0.1:4", "peers": "127.0.0.1:5"},
  "bounds": {"grace_s": 8, "entry_lifetime_s": 5, "lease_ms": 3000, "repeat_ratio": 0.2, "repeat_slack": 58, "repeat_window_s": 10},
  ` + field + `,
}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestEachMechanismCanBeDisabled checks that the settings accept the name of each of
// the scheduler's mechanisms.
func TestEachMechanismCanBeDisabled(t *testing.T) {
	for _, m := range kvsched.Mechanisms() {
		t.Run(string(m), func(t *testing.T) {
			is := is.New(t)
			set, faults := Load(settingsWith(t, `["`+string(m)+`"]`))
			is.Equal(len(faults), 0)
			is.Equal(set.Disable, []kvsched.Mechanism{m})
		})
	}
}

func TestUnknownMechanismIsRejected(t *testing.T) {
	is := is.New(t)
	_, faults := Load(settingsWith(t, `["learned-lead", "luck"]`))
	is.Equal(len(faults), 1)
	is.True(strings.Contains(faults[0].Error(), "disable"))
}

// TestSettingsRoundTrip checks that marshalled Settings can be loaded: programs that
// start daemons write the settings files from this type.
func TestSettingsRoundTrip(t *testing.T) {
	is := is.New(t)
	set, faults := Load(settingsWith(t, `["learned-lead"]`))
	is.Equal(len(faults), 0)
	for _, disable := range [][]kvsched.Mechanism{nil, set.Disable} {
		set.Disable = disable
		raw, err := json.Marshal(set)
		is.NoErr(err)
		path := filepath.Join(t.TempDir(), "written.json")
		is.NoErr(os.WriteFile(path, raw, 0o600))
		again, faults := Load(path)
		is.Equal(len(faults), 0)
		is.Equal(again, set)
	}
}
