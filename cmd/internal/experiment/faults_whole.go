package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// Bounds of a caller that asks for whole answers.
const (
	wholeRetryPause = 50 * time.Millisecond
	entryAskTimeout = 2 * time.Second
)

// wholeCaller sends completions that are answered with one body. It follows
// the entry answer and sends again when a connection broke or the answer says
// that it was not run and when to come back.
type wholeCaller struct {
	client *http.Client
	key    string
	model  string

	mu      sync.Mutex
	rng     *rand.Rand
	known   []string
	expires time.Time
}

// wholeReply is one answer to one completion.
type wholeReply struct {
	status int
	text   string
	failed opapi.ErrorDetail
}

// pick draws an address of the entry answer in force.
func (c *wholeCaller) pick(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) {
		if err := c.renew(ctx); err != nil {
			return "", err
		}
	}
	return c.known[c.rng.IntN(len(c.known))], nil
}

// renew asks the known addresses for an entry answer, in random order.
func (c *wholeCaller) renew(ctx context.Context) error {
	c.rng.Shuffle(len(c.known), func(i, j int) { c.known[i], c.known[j] = c.known[j], c.known[i] })
	var last error
	for _, address := range c.known {
		answer, err := askEntry(ctx, c.client, address)
		if err != nil {
			last = err
			continue
		}
		c.known = c.known[:0:0]
		for _, a := range answer.Addresses {
			c.known = append(c.known, a.Address)
		}
		c.expires = time.Now().Add(time.Duration(answer.LifetimeMS) * time.Millisecond)
		return nil
	}
	return eris.Wrap(last, "no address gave an entry answer")
}

// spread draws a time between the advised one and half of it more, so that
// callers don't come back together.
func (c *wholeCaller) spread(advised time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return advised + time.Duration(c.rng.Int64N(int64(advised/2)+1))
}

// expire makes the next pick ask for a new entry answer.
func (c *wholeCaller) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// askEntry gets the entry answer of an address.
func askEntry(ctx context.Context, client *http.Client, address string) (opapi.EntryAnswer, error) {
	var answer opapi.EntryAnswer
	ctx, cancel := context.WithTimeout(ctx, entryAskTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+opapi.PathEntry, nil)
	if err != nil {
		return answer, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, eris.Wrapf(err, "entry answer of %s", address)
	}
	if len(answer.Addresses) == 0 {
		return answer, eris.Errorf("entry answer of %s: no address", address)
	}
	return answer, nil
}

// complete sends until the whole answer came, an error ends it, or ctx ends.
func (c *wholeCaller) complete(ctx context.Context, prompt string, maxTokens int) (wholeReply, error) {
	for {
		reply, err := c.try(ctx, prompt, maxTokens)
		if err == nil && !again(reply) {
			return reply, nil
		}
		wait := wholeRetryPause
		if err != nil {
			c.expire()
		} else {
			wait = c.spread(time.Duration(reply.failed.RetryAfterMS) * time.Millisecond)
		}
		if !sleepFor(ctx, wait) {
			return reply, ctx.Err()
		}
	}
}

// again tells whether a caller sends a refused completion once more.
func again(r wholeReply) bool {
	return r.status != http.StatusOK && r.failed.Verdict == verdict.NotRun.String() && r.failed.RetryAfterMS > 0
}

func (c *wholeCaller) try(ctx context.Context, prompt string, maxTokens int) (wholeReply, error) {
	address, err := c.pick(ctx)
	if err != nil {
		return wholeReply{}, err
	}
	return askWhole(ctx, c.client, address, c.key, opapi.CompletionRequest{Model: c.model, Prompt: prompt, MaxTokens: maxTokens})
}

// askWhole sends one completion to one daemon.
func askWhole(ctx context.Context, client *http.Client, address, key string, body opapi.CompletionRequest) (wholeReply, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return wholeReply{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+opapi.PathCompletions, bytes.NewReader(raw))
	if err != nil {
		return wholeReply{}, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return wholeReply{}, err
	}
	defer resp.Body.Close()
	reply := wholeReply{status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		var failed opapi.ErrorBody
		err = json.NewDecoder(resp.Body).Decode(&failed)
		reply.failed = failed.Error
		return reply, err
	}
	var c opapi.Completion
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		return reply, err
	}
	if len(c.Choices) > 0 {
		reply.text = c.Choices[0].Text
	}
	return reply, nil
}

// sleepFor waits; it reports false if ctx ended before.
func sleepFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
