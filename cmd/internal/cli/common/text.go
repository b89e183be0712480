package common

import (
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
)

// maxFileBytes is the maximum size of an input file, in bytes.
const maxFileBytes = 64 << 20

// ReadFile reads a file; "-" is the standard input.
func ReadFile(cmd *cobra.Command, path string) ([]byte, error) {
	var r io.Reader = cmd.InOrStdin()
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, exit.Wrap(exit.Failed, err)
		}
		defer f.Close()
		r = f
	}
	return io.ReadAll(io.LimitReader(r, maxFileBytes))
}

// LabelText formats labels as key=value pairs, sorted by key.
func LabelText(labels map[string]string) string {
	pairs := make([]string, 0, len(labels))
	for k, v := range labels {
		pairs = append(pairs, k+"="+v)
	}
	slices.Sort(pairs)
	return strings.Join(pairs, ",")
}

// splitList splits a comma-separated list and drops empty parts.
func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
