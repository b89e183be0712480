// Package bytebudget bounds the bytes that a daemon holds for all its requests together:
// answers that are held whole, callers' request bodies, and what waits for callers that
// read slowly. Each request has an Account; what it holds is given back when it ends.
package bytebudget

import (
	"context"
	"sync"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

const (
	// memoryShare is the budget as a share of the process's memory limit. The garbage
	// collector lets the heap grow to one and a half times what is in use before it
	// collects, and the daemon's own state and its connections take the rest.
	memoryShare = 0.2
	// commonDivisor divides the budget into the part that all accounts share. The rest
	// belongs to one account at a time, so that a large answer is never stuck between
	// others that wait for the same bytes, and small ones never wait for a large one.
	commonDivisor = 4
	bytesInMB     = 1 << 20
)

// LimitFor returns the budget in bytes of a process whose memory limit is so many MB.
func LimitFor(memoryMB float64) int64 { return int64(memoryShare * memoryMB * bytesInMB) }

// Budget is the budget of a daemon. It is safe for concurrent use; a nil *Budget, or one
// without a limit, grants everything.
type Budget struct {
	limit, common int64

	mu sync.Mutex
	// held is what all accounts hold, most the most that they ever held.
	held, most int64
	// large is the account that may hold more than the common part leaves; nil if none
	// does.
	large *Account
	// waiting holds the accounts that wait for bytes, in order.
	waiting []*Account
	// changed is closed, and replaced, when a waiting account should look again.
	changed chan struct{}
	// onShort is called when bytes are short, without the lock; it reports whether it
	// has freed any.
	onShort func() bool

	refused, ended *metrics.Counter
}

// New returns a budget of so many bytes; 0 for none. The metrics may be nil.
func New(limit int64, r *metrics.Registry) *Budget {
	b := &Budget{limit: limit, common: limit / commonDivisor, changed: make(chan struct{})}
	if r == nil {
		r = metrics.New("")
	}
	b.refused = r.Counter("bytes_refused", metrics.UnitCount, "Requests for bytes that the budget of the daemon's requests did not allow.")
	b.ended = r.Counter("bytes_ended", metrics.UnitCount, "Answers in progress that were ended to make room for others.")
	r.GaugeFunc("bytes_limit", metrics.UnitBytes, "Bytes that the daemon may hold for all its requests; 0 for no limit.", func() float64 { return float64(limit) })
	r.GaugeFunc("bytes_held", metrics.UnitBytes, "Bytes that the daemon holds for all its requests.", func() float64 { return float64(b.Held()) })
	r.GaugeFunc("bytes_held_most", metrics.UnitBytes, "Most bytes that the daemon has held for all its requests.", func() float64 { return float64(b.Most()) })
	return b
}

// OnShort sets the function that lets go what isn't being read when bytes are short; it
// reports whether it has let go anything. It is set before the budget is used.
func (b *Budget) OnShort(letGo func() bool) { b.onShort = letGo }

// Held returns the bytes that all accounts hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Most returns the most bytes that all accounts have held.
func (b *Budget) Most() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.most
}

// Open returns an account that holds nothing.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// unlimited reports whether the budget grants everything.
func (b *Budget) unlimited() bool { return b == nil || b.limit <= 0 }

// fits reports whether the account may hold n bytes more. The lock must be held.
func (b *Budget) fits(a *Account, n int64) bool {
	if b.large == a {
		return a.held+n <= b.limit-b.common
	}
	shared := b.held
	if b.large != nil {
		shared -= b.large.held
	}
	if shared+n <= b.common {
		return true
	}
	if b.large == nil && a.held+n <= b.limit-b.common {
		b.large = a
		return true
	}
	return false
}

// wake makes waiting accounts look again. The lock must be held.
func (b *Budget) wake() {
	if len(b.waiting) == 0 {
		return
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

type contextKey struct{}

// NewContext returns a context whose work is charged to an account.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// FromContext returns the account to which the context's work is charged; nil if there is
// none.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}
