package claim

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised tests, so that every run gives the
// same result. The flags -rapid.seed and -rapid.checks take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
