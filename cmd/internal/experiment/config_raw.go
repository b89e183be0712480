package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// rawOperator sends requests to one daemon without retries. The operators' client
// would go on to other daemons and so hide that a daemon has ended.
type rawOperator struct{ address, key string }

// config reads the configuration in force.
func (o rawOperator) config(ctx context.Context) (*live.Document, error) {
	var doc live.Document
	status, err := o.call(ctx, http.MethodGet, opapi.PathConfig, nil, &doc)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%s: status %d", o.address, status)
	}
	return &doc, err
}

// history reads the accepted changes after a revision.
func (o rawOperator) history(ctx context.Context, after uint64) (opapi.History, error) {
	var h opapi.History
	path := fmt.Sprintf("%s?after=%d", opapi.PathHistory, after)
	status, err := o.call(ctx, http.MethodGet, path, nil, &h)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%s: status %d", o.address, status)
	}
	return h, err
}

// change proposes a change and returns the HTTP status.
func (o rawOperator) change(ctx context.Context, req opapi.ChangeRequest) (int, error) {
	return o.call(ctx, http.MethodPost, opapi.PathChanges, req, nil)
}

// call sends one request and returns the HTTP status. It decodes the body of a
// successful reply into out unless out is nil.
func (o rawOperator) call(ctx context.Context, method, path string, in, out any) (int, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+o.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || out == nil || resp.StatusCode != http.StatusOK {
		return resp.StatusCode, err
	}
	return resp.StatusCode, json.Unmarshal(raw, out)
}
