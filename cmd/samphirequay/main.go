// Command samphirequay is the command line for operators, newcomers and
// experiments.
package main

import (
	"os"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/root"
)

func main() {
	os.Exit(root.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
