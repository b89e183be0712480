// Command standins-2 plays the cases 6 and up of this review: it starts a store, runners and
// callers by the users' pages, the daemons as the deploy file does, and judges what callers
// and runners have seen.
//
//	standins-2 CASE RECORD
//	standins-2 runner ...
//
// It exits with 1 if a rule was broken, 0 if it held, 2 if the case couldn't run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*bench){
		"leaving-unframed": leavingUnframed,
		"unread-coding":    unreadCoding,
		"quota-roll":       quotaRoll,
	}
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(newBench(os.Args[2]).play(cases[os.Args[1]]))
}
