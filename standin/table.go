package standin

import (
	"strings"
	"sync"

	"github.com/google/btree"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"golang.org/x/time/rate"
)

const (
	// DefaultWritesPerSecond is the rate limit of transactions.
	DefaultWritesPerSecond = 400.0
	// DefaultReadsPerSecond is the rate limit of reads.
	DefaultReadsPerSecond = 2000.0
	// MaxTransactionPuts bounds both the puts and the conditions of a transaction.
	MaxTransactionPuts = 256
	defaultReadLimit   = 1000
	treeDegree         = 32
	// maxSnapshots bounds the earlier states that stale reads return.
	maxSnapshots = 32
)

// TableConfig configures a Table; zero fields take the defaults.
type TableConfig struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	Seed            uint64
}

// TableCounters are the counters of a Table.
type TableCounters struct {
	Transactions int64 `json:"transactions"`
	Applied      int64 `json:"applied"`
	Conflicts    int64 `json:"conflicts"`
	Reads        int64 `json:"reads"`
	StaleReads   int64 `json:"stale_reads"`
	OverRate     int64 `json:"over_rate"`
	Rows         int   `json:"rows"`
}

// Table is a simulated transactional table service.
type Table struct {
	faults *faults
	writes *rate.Limiter
	reads  *rate.Limiter

	mu        sync.Mutex
	rows      *btree.BTreeG[wire.Row]
	snapshots []*btree.BTreeG[wire.Row]
	version   uint64
	counters  TableCounters
}

// NewTable returns an empty table.
func NewTable(cfg TableConfig) *Table {
	if cfg.WritesPerSecond <= 0 {
		cfg.WritesPerSecond = DefaultWritesPerSecond
	}
	if cfg.ReadsPerSecond <= 0 {
		cfg.ReadsPerSecond = DefaultReadsPerSecond
	}
	return &Table{
		faults: newFaults(cfg.Seed),
		writes: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), burst(cfg.WritesPerSecond)),
		reads:  rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), burst(cfg.ReadsPerSecond)),
		rows:   btree.NewG(treeDegree, func(a, b wire.Row) bool { return a.Key < b.Key }),
	}
}

// burst returns the burst size of a rate limit: the calls of a tenth of a second,
// at least 1.
func burst(perSecond float64) int { return max(1, int(perSecond/10)) }

// Inject applies a fault.
func (t *Table) Inject(f wire.Fault) { t.faults.apply(f) }

// Counters returns a copy of the current counters.
func (t *Table) Counters() TableCounters {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counters
	c.Rows = t.rows.Len()
	return c
}

// Transact applies a transaction, bypassing the rate limit and the faults.
func (t *Table) Transact(tx wire.Transaction) wire.TransactionResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.Transactions++
	failedKeys := t.failedConditions(tx.Conditions)
	if len(failedKeys) > 0 {
		t.counters.Conflicts++
		return wire.TransactionResult{Failed: failedKeys}
	}
	t.snapshot()
	t.version++
	t.counters.Applied++
	result := wire.TransactionResult{Applied: true}
	for _, put := range tx.Puts {
		result.Versions = append(result.Versions, t.put(put))
	}
	return result
}

// failedConditions lists the keys whose condition does not hold. The caller
// holds mu.
func (t *Table) failedConditions(conditions []wire.Condition) []string {
	var out []string
	for _, c := range conditions {
		row, _ := t.rows.Get(wire.Row{Key: c.Key})
		if row.Version != c.Version {
			out = append(out, c.Key)
		}
	}
	return out
}

// snapshot keeps the current state for stale reads. The caller holds mu.
func (t *Table) snapshot() {
	t.snapshots = append(t.snapshots, t.rows.Clone())
	if len(t.snapshots) > maxSnapshots {
		t.snapshots[0] = nil
		t.snapshots = t.snapshots[1:]
	}
}

// put writes or deletes a row and returns its new version; 0 for a deleted row.
// The caller holds mu.
func (t *Table) put(put wire.Put) uint64 {
	if put.Delete {
		t.rows.Delete(wire.Row{Key: put.Key})
		return 0
	}
	t.rows.ReplaceOrInsert(wire.Row{Key: put.Key, Value: put.Value, Version: t.version})
	return t.version
}

// Read reads the newest rows, bypassing the rate limit and the faults.
func (t *Table) Read(r wire.ReadRequest) wire.ReadResponse { return t.read(r, false) }

// read reads rows from the newest state, or from a random earlier one if stale.
func (t *Table) read(r wire.ReadRequest, stale bool) wire.ReadResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.Reads++
	tree := t.rows
	if stale && len(t.snapshots) > 0 {
		t.counters.StaleReads++
		tree = t.snapshots[t.faults.intN(len(t.snapshots))]
	}
	return wire.ReadResponse{Rows: append(readKeys(tree, r.Keys), readPrefix(tree, r)...)}
}

// readKeys reads rows by key; a missing row has version 0.
func readKeys(tree *btree.BTreeG[wire.Row], keys []string) []wire.Row {
	rows := make([]wire.Row, 0, len(keys))
	for _, key := range keys {
		row, ok := tree.Get(wire.Row{Key: key})
		if !ok {
			row = wire.Row{Key: key}
		}
		rows = append(rows, row)
	}
	return rows
}

// readPrefix reads the rows under a prefix with keys above After, in key order.
func readPrefix(tree *btree.BTreeG[wire.Row], r wire.ReadRequest) []wire.Row {
	if r.Prefix == "" {
		return nil
	}
	limit := r.Limit
	if limit <= 0 || limit > defaultReadLimit {
		limit = defaultReadLimit
	}
	var rows []wire.Row
	tree.AscendGreaterOrEqual(wire.Row{Key: max(r.Prefix, r.After)}, func(row wire.Row) bool {
		if !strings.HasPrefix(row.Key, r.Prefix) {
			return false
		}
		if row.Key > r.After {
			rows = append(rows, row)
		}
		return len(rows) < limit
	})
	return rows
}
