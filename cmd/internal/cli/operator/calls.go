package operator

import (
	"context"
	"net/url"
	"strconv"

	"github.com/oklog/ulid/v2"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// Config reads the live configuration at a revision; 0 is the newest.
func (c *Client) Config(ctx context.Context, revision uint64) (*live.Document, error) {
	query := url.Values{}
	if revision > 0 {
		query.Set("revision", strconv.FormatUint(revision, 10))
	}
	var doc live.Document
	if err := c.Get(ctx, opapi.PathConfig, query, &doc); err != nil {
		return nil, err
	}
	return &doc, nil
}

// Change submits one change. Its Expect is the revision that the change is based
// on, or 0 for any. If its ID is empty, a new one is made. A change that is sent
// again with the same ID is accepted once.
func (c *Client) Change(ctx context.Context, req opapi.ChangeRequest) (opapi.ChangeAnswer, error) {
	if req.ID == "" {
		req.ID = ulid.Make().String()
	}
	var answer opapi.ChangeAnswer
	err := c.Post(ctx, opapi.PathChanges, req, &answer)
	if err != nil {
		return answer, exit.Errorf(exit.Code(err), "change %s: %w", req.ID, err)
	}
	return answer, nil
}

// History lists the accepted changes after a revision.
func (c *Client) History(ctx context.Context, after uint64, limit int) (opapi.History, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("limit", strconv.Itoa(limit))
	var h opapi.History
	err := c.Get(ctx, opapi.PathHistory, query, &h)
	return h, err
}

// Status reads the status of the fleet.
func (c *Client) Status(ctx context.Context) (opapi.Status, error) {
	var s opapi.Status
	err := c.Get(ctx, opapi.PathStatus, nil, &s)
	return s, err
}

// Explain reads the recorded decisions about one object.
func (c *Client) Explain(ctx context.Context, kind, id string) (opapi.Explanation, error) {
	var e opapi.Explanation
	err := c.Get(ctx, opapi.PathExplain, url.Values{"kind": {kind}, "id": {id}}, &e)
	return e, err
}

// Quarantine lists the quarantined fingerprints.
func (c *Client) Quarantine(ctx context.Context) (opapi.QuarantineList, error) {
	var q opapi.QuarantineList
	err := c.Get(ctx, opapi.PathQuarantine, nil, &q)
	return q, err
}

// Stop begins a planned stop of the daemon.
func (c *Client) Stop(ctx context.Context) error {
	return c.Post(ctx, opapi.PathStop, struct{}{}, nil)
}
