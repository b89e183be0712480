package client

import (
	"context"
	"net/url"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// Table is the client of the transactional table service.
type Table struct{ *pooled }

// NewTable returns a client of the table service at address.
func NewTable(address string, o Options) *Table { return &Table{newPooled(address, o)} }

// Transact applies a transaction. After an error whose verdict is MayHaveRun the
// effect is unknown and must be read back.
func (t *Table) Transact(ctx context.Context, tx wire.Transaction) (wire.TransactionResult, error) {
	var out wire.TransactionResult
	err := t.call(ctx, fasthttp.MethodPost, wire.PathTransact, tx, &out)
	return out, err
}

// Read reads rows. The result may be an earlier state.
func (t *Table) Read(ctx context.Context, r wire.ReadRequest) (wire.ReadResponse, error) {
	var out wire.ReadResponse
	err := t.call(ctx, fasthttp.MethodPost, wire.PathRead, r, &out)
	return out, err
}

// Objects is the client of the object store.
type Objects struct{ *pooled }

// NewObjects returns a client of the object store at address.
func NewObjects(address string, o Options) *Objects { return &Objects{newPooled(address, o)} }

// Get reads an object. The error has CodeNotFound if the object does not exist.
func (c *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	req, err := newRequest(fasthttp.MethodGet, wire.PathObjects+url.PathEscape(name), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.exchange(ctx, "GET object", req)
	if err != nil {
		return nil, err
	}
	defer fasthttp.ReleaseResponse(resp)
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return nil, statusError(c.address, "GET object", resp, resp.Body())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// Put writes an object, replacing it if it exists.
func (c *Objects) Put(ctx context.Context, name string, value []byte) error {
	req, err := newRequest(fasthttp.MethodPut, wire.PathObjects+url.PathEscape(name), nil)
	if err != nil {
		return err
	}
	req.SetBody(value)
	resp, err := c.exchange(ctx, "PUT object", req)
	if err != nil {
		return err
	}
	defer fasthttp.ReleaseResponse(resp)
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return statusError(c.address, "PUT object", resp, resp.Body())
	}
	return nil
}

// Hosts is the client of the host list.
type Hosts struct{ *pooled }

// NewHosts returns a client of the host list at address.
func NewHosts(address string, o Options) *Hosts { return &Hosts{newPooled(address, o)} }

// List reads the host list, which may be out of date.
func (h *Hosts) List(ctx context.Context) (wire.HostList, error) {
	var out wire.HostList
	err := h.call(ctx, fasthttp.MethodGet, wire.PathHosts, nil, &out)
	return out, err
}

// Weights is the client of the weight store.
type Weights struct{ *pooled }

// NewWeights returns a client of the weight store at address.
func NewWeights(address string, o Options) *Weights { return &Weights{newPooled(address, o)} }

// Reserve requests permission for one load of a model.
func (w *Weights) Reserve(ctx context.Context, model string) (wire.WeightGrant, error) {
	var out wire.WeightGrant
	err := w.call(ctx, fasthttp.MethodGet, wire.PathWeights+url.PathEscape(model), nil, &out)
	return out, err
}
