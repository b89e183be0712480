// Command samphirequayd is the daemon that every entry host runs.
package main

import (
	"os"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/daemoncmd"
)

func main() {
	os.Exit(daemoncmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
