package claim

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/rendezvous"
)

// writersKey ranks the members that write claims.
const writersKey = "claim-writers"

// Writers chooses the n daemons that write claims: a member that comes or goes
// changes at most one of them.
func Writers(members []id.Daemon, n int) []id.Daemon {
	ranked := rendezvous.Ranked(writersKey, members)
	return ranked[:min(n, len(ranked))]
}

// WriterFor chooses the writer of a row; empty when there is none. Two daemons
// that disagree for a moment are no danger: the table decides.
func WriterFor(row string, writers []id.Daemon) id.Daemon {
	return rendezvous.Owner(row, writers)
}

// GapFor returns the Gap by which that many writers share a number of
// transactions a second.
func GapFor(transactionsPerSecond, writers int) time.Duration {
	return time.Duration(max(writers, 1)) * time.Second / time.Duration(max(transactionsPerSecond, 1))
}
