package common

import (
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
)

// maxFileBytes bounds what a command reads, in bytes.
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

// LabelText writes labels as key=value pairs in the order of their keys.
func LabelText(labels map[string]string) string {
	pairs := make([]string, 0, len(labels))
	for k, v := range labels {
		pairs = append(pairs, k+"="+v)
	}
	slices.Sort(pairs)
	return strings.Join(pairs, ",")
}

func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
