// Command samphirequayd is the daemon that runs on every entry host.
package main

import (
	"os"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/daemoncmd"
)

func main() {
	os.Exit(daemoncmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
