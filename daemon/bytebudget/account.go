package bytebudget

import (
	"context"
	"errors"
	"slices"
	"time"
)

// ErrShort reports that the budget does not allow the bytes.
var ErrShort = errors.New("the daemon holds as many bytes as it may")

const (
	// recheckEvery is how often an account that waits has the callers looked at that may
	// have stopped reading meanwhile.
	recheckEvery = 100 * time.Millisecond
	// endRatio is how many times as much an account must hold as one that waits to be
	// ended for it: two of about the same size must not end each other.
	endRatio = 2
)

// Account is what one request holds. It is safe for concurrent use; a nil *Account is
// granted everything.
type Account struct {
	budget *Budget
	// held is guarded by the budget's lock, as are the fields below it.
	held int64
	// ended is set once the account was chosen to make room for others; it gets no more.
	ended  bool
	closed bool
}

// Held returns the bytes that the account holds.
func (a *Account) Held() int64 {
	if a == nil || a.budget.unlimited() {
		return 0
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.held
}

// Take adds n bytes to the account. While bytes are short, it waits until until at the
// latest: the caller reads no more from an endpoint meanwhile. It returns ErrShort if the
// bytes are not to be had, and the error of ctx if that ends first.
func (a *Account) Take(ctx context.Context, n int, until time.Time) error {
	if a == nil || a.budget.unlimited() || n <= 0 {
		return nil
	}
	if granted, err := a.try(int64(n)); granted || err != nil {
		return err
	}
	err := a.wait(ctx, int64(n), until)
	if errors.Is(err, ErrShort) {
		a.budget.refused.Inc()
	}
	return err
}

// TakeWithin is Take with a bound on the wait.
func (a *Account) TakeWithin(ctx context.Context, n int, patience time.Duration) error {
	return a.Take(ctx, n, time.Now().Add(patience))
}

// try takes the bytes if they are free. It fails if they can never be had.
func (a *Account) try(n int64) (granted bool, err error) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.ended || a.closed:
		return false, ErrShort
	case b.fits(a, n):
		a.held += n
		b.held += n
		b.most = max(b.most, b.held)
		return true, nil
	case b.large == a || a.held+n > b.limit-b.common:
		return false, ErrShort
	}
	return false, nil
}

// wait waits for bytes to come free, and sees to it that some do: first those of callers
// that don't read, then those of the largest account that waits as well.
func (a *Account) wait(ctx context.Context, n int64, until time.Time) error {
	a.enter()
	defer a.leave()
	deadline := time.NewTimer(time.Until(until))
	defer deadline.Stop()
	recheck := time.NewTicker(recheckEvery)
	defer recheck.Stop()
	for {
		changed := a.budget.nextChange()
		if granted, err := a.try(n); granted || err != nil {
			return err
		}
		if !a.budget.letGo() {
			a.endLargest(n)
		}
		select {
		case <-changed:
		case <-recheck.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-deadline.C:
			if granted, err := a.try(n); granted || err != nil {
				return err
			}
			return ErrShort
		}
	}
}

// nextChange returns a channel that is closed when bytes come free.
func (b *Budget) nextChange() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// letGo lets go of callers that don't read.
func (b *Budget) letGo() bool { return b.onShort != nil && b.onShort() }

func (a *Account) enter() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.waiting = append(a.budget.waiting, a)
}

func (a *Account) leave() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, a); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

// endLargest ends the largest account that waits, if it holds far more than this one wants.
func (a *Account) endLargest(n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	var largest *Account
	for _, w := range b.waiting {
		if !w.ended && (largest == nil || w.held > largest.held) {
			largest = w
		}
	}
	if largest == nil || largest == a || largest.held < endRatio*(a.held+n) {
		return
	}
	largest.ended = true
	b.ended.Inc()
	b.wake()
}

// Give gives n bytes back.
func (a *Account) Give(n int) {
	if a == nil || a.budget.unlimited() || n <= 0 {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.give(min(int64(n), a.held))
}

// Close gives all bytes back. The account gets no more.
func (a *Account) Close() {
	if a == nil || a.budget.unlimited() {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.closed = true
	a.give(a.held)
}

// give gives bytes back. The lock must be held.
func (a *Account) give(n int64) {
	b := a.budget
	a.held -= n
	b.held -= n
	if b.large != nil && (b.large.held == 0 || b.held <= b.common) {
		b.large = nil
	}
	b.wake()
}
