package claim

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/rendezvous"
)

// writersKey is the rendezvous hashing key that selects the writers.
const writersKey = "claim-writers"

// Writers selects the n daemons that write claims. A member that joins or leaves
// changes at most one of them.
func Writers(members []id.Daemon, n int) []id.Daemon {
	ranked := rendezvous.Ranked(writersKey, members)
	return ranked[:min(n, len(ranked))]
}

// WriterFor returns the writer of a row, or "" if there is none. Daemons may
// disagree on it for a moment: the table's conditions prevent a double claim.
func WriterFor(row string, writers []id.Daemon) id.Daemon {
	return rendezvous.Owner(row, writers)
}

// MinIntervalFor returns the Config.MinInterval at which the given number of writers
// together make at most the given number of transactions a second.
func MinIntervalFor(transactionsPerSecond, writers int) time.Duration {
	return time.Duration(max(writers, 1)) * time.Second / time.Duration(max(transactionsPerSecond, 1))
}
