package load

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// Limits and delays for fetching the entry answer.
const (
	entryTimeout    = 2 * time.Second
	maxEntryBytes   = 1 << 20
	entryRetryDelay = 100 * time.Millisecond
)

// entryCache caches the entry answer for its lifetime. An address whose
// connection failed is not used again until the answer is refreshed.
type entryCache struct {
	client    *http.Client
	bootstrap []string

	mu        sync.Mutex
	rng       *rand.Rand
	answer    opapi.EntryAnswer
	expires   time.Time
	failed    map[string]bool
	refreshes int
}

func newEntryCache(client *http.Client, bootstrap []string, rng *rand.Rand) *entryCache {
	return &entryCache{client: client, bootstrap: bootstrap, rng: rng, failed: map[string]bool{}}
}

// pick returns the address for the next attempt. It refreshes the entry answer if
// the answer has expired or all its addresses have failed.
func (c *entryCache) pick(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) || c.allFailed() {
		if err := c.refresh(ctx); err != nil {
			return "", err
		}
	}
	return c.chooseWeighted(), nil
}

// markFailed records that a connection to an address failed.
func (c *entryCache) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[address] = true
}

func (c *entryCache) allFailed() bool {
	for _, a := range c.answer.Addresses {
		if !c.failed[a.Address] {
			return false
		}
	}
	return true
}

// chooseWeighted draws an address, by weight, from those that have not failed.
func (c *entryCache) chooseWeighted() string {
	total := 0
	for _, a := range c.answer.Addresses {
		if !c.failed[a.Address] {
			total += max(a.Weight, 1)
		}
	}
	remaining := c.rng.IntN(total)
	for _, a := range c.answer.Addresses {
		if c.failed[a.Address] {
			continue
		}
		remaining -= max(a.Weight, 1)
		if remaining < 0 {
			return a.Address
		}
	}
	return ""
}

// refresh fetches the entry answer from the candidate addresses in turn until one
// succeeds.
func (c *entryCache) refresh(ctx context.Context) error {
	var lastErr error
	for _, address := range c.candidates() {
		answer, err := c.fetch(ctx, address)
		if err != nil {
			lastErr = err
			continue
		}
		c.answer = answer
		c.expires = time.Now().Add(time.Duration(answer.LifetimeMS) * time.Millisecond)
		c.failed = map[string]bool{}
		c.refreshes++
		return nil
	}
	return eris.Wrap(lastErr, "no address returned an entry answer")
}

// candidates returns the addresses of the last answer and the bootstrap addresses
// without duplicates. Addresses that have not failed come first; both groups are
// shuffled.
func (c *entryCache) candidates() []string {
	var good, rest []string
	seen := map[string]bool{}
	add := func(address string) {
		if seen[address] {
			return
		}
		seen[address] = true
		if c.failed[address] {
			rest = append(rest, address)
		} else {
			good = append(good, address)
		}
	}
	for _, a := range c.answer.Addresses {
		add(a.Address)
	}
	for _, s := range c.bootstrap {
		add(s)
	}
	c.rng.Shuffle(len(good), func(i, j int) { good[i], good[j] = good[j], good[i] })
	c.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(good, rest...)
}

// fetch fetches the entry answer from one address.
func (c *entryCache) fetch(ctx context.Context, address string) (opapi.EntryAnswer, error) {
	var answer opapi.EntryAnswer
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+opapi.PathEntry, nil)
	if err != nil {
		return answer, eris.Wrapf(err, "fetch entry answer from %s", address)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer, eris.Wrapf(err, "fetch entry answer from %s", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, eris.Errorf("fetch entry answer from %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEntryBytes)).Decode(&answer); err != nil {
		return answer, eris.Wrapf(err, "fetch entry answer from %s", address)
	}
	if len(answer.Addresses) == 0 {
		return answer, eris.Errorf("fetch entry answer from %s: no address", address)
	}
	return answer, nil
}
