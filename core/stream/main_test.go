package stream

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised tests, so that every run gives the
// same result; -rapid.seed and -rapid.checks on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
