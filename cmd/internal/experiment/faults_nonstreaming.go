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

// Parameters of callers that request non-streaming answers.
const (
	retryPause   = 50 * time.Millisecond
	entryTimeout = 2 * time.Second
)

// nonStreamingCaller sends completions that are answered in one body. It uses the
// addresses of the entry answer. It retries if the request failed without an
// answer, or if the completion was refused as not run with an advised retry delay.
type nonStreamingCaller struct {
	client *http.Client
	key    string
	model  string

	mu        sync.Mutex
	rng       *rand.Rand
	addresses []string
	expires   time.Time
}

// completionReply is the answer to one completion request: its text or its error.
type completionReply struct {
	status int
	text   string
	failed opapi.ErrorDetail
}

// pick returns a random address of the current entry answer.
func (c *nonStreamingCaller) pick(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) {
		if err := c.renew(ctx); err != nil {
			return "", err
		}
	}
	return c.addresses[c.rng.IntN(len(c.addresses))], nil
}

// renew requests an entry answer from the known addresses, in random order, until
// one returns it.
func (c *nonStreamingCaller) renew(ctx context.Context) error {
	c.rng.Shuffle(len(c.addresses), func(i, j int) { c.addresses[i], c.addresses[j] = c.addresses[j], c.addresses[i] })
	var last error
	for _, address := range c.addresses {
		answer, err := fetchEntry(ctx, c.client, address)
		if err != nil {
			last = err
			continue
		}
		c.addresses = c.addresses[:0:0]
		for _, a := range answer.Addresses {
			c.addresses = append(c.addresses, a.Address)
		}
		c.expires = time.Now().Add(time.Duration(answer.LifetimeMS) * time.Millisecond)
		return nil
	}
	return eris.Wrap(last, "no address gave an entry answer")
}

// jitter returns a random delay between the advised one and 1.5 times that, so that
// callers don't retry at the same time.
func (c *nonStreamingCaller) jitter(advised time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return advised + time.Duration(c.rng.Int64N(int64(advised/2)+1))
}

// expire makes the next pick request a new entry answer.
func (c *nonStreamingCaller) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// fetchEntry requests an entry answer from an address.
func fetchEntry(ctx context.Context, client *http.Client, address string) (opapi.EntryAnswer, error) {
	var answer opapi.EntryAnswer
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
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

// complete sends a completion until it is answered or permanently refused, or until
// ctx ends.
func (c *nonStreamingCaller) complete(ctx context.Context, prompt string, maxTokens int) (completionReply, error) {
	for {
		reply, err := c.attempt(ctx, prompt, maxTokens)
		if err == nil && !shouldRetry(reply) {
			return reply, nil
		}
		delay := retryPause
		if err != nil {
			c.expire()
		} else {
			delay = c.jitter(time.Duration(reply.failed.RetryAfterMS) * time.Millisecond)
		}
		if !sleepFor(ctx, delay) {
			return reply, ctx.Err()
		}
	}
}

// shouldRetry reports whether a caller retries after a reply: the completion was
// refused as not run, and the reply advises a retry delay.
func shouldRetry(r completionReply) bool {
	return r.status != http.StatusOK && r.failed.Verdict == verdict.NotRun.String() && r.failed.RetryAfterMS > 0
}

func (c *nonStreamingCaller) attempt(ctx context.Context, prompt string, maxTokens int) (completionReply, error) {
	address, err := c.pick(ctx)
	if err != nil {
		return completionReply{}, err
	}
	return postCompletion(ctx, c.client, address, c.key, opapi.CompletionRequest{Model: c.model, Prompt: prompt, MaxTokens: maxTokens})
}

// postCompletion sends one non-streaming completion to one daemon.
func postCompletion(ctx context.Context, client *http.Client, address, key string, body opapi.CompletionRequest) (completionReply, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return completionReply{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+opapi.PathCompletions, bytes.NewReader(raw))
	if err != nil {
		return completionReply{}, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return completionReply{}, err
	}
	defer resp.Body.Close()
	reply := completionReply{status: resp.StatusCode}
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

// sleepFor waits for d; it returns false if ctx ended first.
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
