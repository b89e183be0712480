package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// plainCall is the JSON body of a call to a plain service.
type plainCall struct {
	Number int    `json:"number"`
	Text   string `json:"text"`
}

// maxPlainBytes bounds the response body of a plain call, in bytes.
const maxPlainBytes = 1 << 20

// Call sends one call to the plain service, with retries. A non-empty key is sent
// as the idempotency key of a non-idempotent call.
func (c *Caller) Call(ctx context.Context, number int, text, key string) Record {
	rec := Record{Outcome: OutcomeUnreachable, Plain: true, Key: key}
	body, err := json.Marshal(plainCall{Number: number, Text: text})
	if err != nil {
		rec.Outcome = OutcomeFailed
		return rec
	}
	ctx, cancel := context.WithTimeout(ctx, c.spec.Timeout)
	defer cancel()
	start := time.Now()
	c.retryLoop(ctx, &rec, func(ctx context.Context, address string) attemptResult {
		return c.callOnce(ctx, address, body, key, &rec)
	})
	rec.Total = time.Since(start)
	rec.FirstToken = rec.Total
	return rec
}

// callOnce makes one attempt of a call at one address.
func (c *Caller) callOnce(ctx context.Context, address string, body []byte, key string, rec *Record) attemptResult {
	path := opapi.PathServices + c.team.Profile.Plain + "/" + c.team.Profile.PlainPath
	req, err := c.request(ctx, address, path, body)
	if err != nil {
		return attemptResult{connFailed: true}
	}
	if key != "" {
		req.Header.Set(opapi.HeaderIdempotencyKey, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return attemptResult{connFailed: !cancelledByCaller(ctx, err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c.handleErrorResponse(resp, rec)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxPlainBytes)); err != nil {
		return attemptResult{connFailed: !cancelledByCaller(ctx, err)}
	}
	rec.Outcome = OutcomeAnswered
	return attemptResult{done: true}
}

// checkRuns returns the fault of a call with an idempotency key that ran the given
// number of times.
func checkRuns(rec Record, runs int) Fault {
	switch {
	case runs > 1:
		return FaultDoubled
	case rec.Outcome == OutcomeAnswered && runs == 0:
		return FaultLost
	case rec.Outcome == OutcomeRefused && runs > 0 && rec.Code != verdict.CodeClaimed:
		return FaultWrong
	default:
		return FaultNone
	}
}
