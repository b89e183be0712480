package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/document"
	"github.com/samphirequay/samphirequay/cmd/internal/cli/operator"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// Operator returns an operator client for all running daemons.
func (f *Fleet) Operator() (*operator.Client, error) {
	return operator.New(operator.Config{Addresses: f.OperatorAddresses(), Key: operatorKey})
}

// OperatorKey returns the key of the fleet's operator.
func (f *Fleet) OperatorKey() string { return operatorKey }

// configure applies the live configuration and waits until it is in force on all
// running daemons.
func (f *Fleet) configure(ctx context.Context) error {
	client, err := f.Operator()
	if err != nil {
		return err
	}
	doc := f.config.document(f.platforms)
	ops, err := document.Diff(&live.Document{}, doc, false)
	if err != nil {
		return err
	}
	// All retries use the same id, so that a change whose reply was lost is not
	// applied twice.
	request := opapi.ChangeRequest{ID: ulid.Make().String(), Author: "fleet", Ops: ops}
	var accepted opapi.ChangeAnswer
	if err := poll(ctx, func() error {
		accepted, err = client.Change(ctx, request)
		return err
	}); err != nil {
		return eris.Wrap(err, "apply the live configuration")
	}
	return f.AwaitRevision(ctx, accepted.Revision)
}

// AwaitRevision waits until every running daemon has the revision or a later one
// and is ready for requests.
func (f *Fleet) AwaitRevision(ctx context.Context, revision uint64) error {
	callers := f.CallerAddresses()
	for i, address := range f.OperatorAddresses() {
		client, err := operator.New(operator.Config{Addresses: []string{address}, Key: operatorKey})
		if err != nil {
			return err
		}
		if err := poll(ctx, func() error { return hasRevision(ctx, client, revision) }); err != nil {
			return eris.Wrapf(err, "daemon %s", address)
		}
		if err := poll(ctx, func() error { return ready(ctx, callers[i]) }); err != nil {
			return eris.Wrapf(err, "daemon %s", callers[i])
		}
	}
	return nil
}

func hasRevision(ctx context.Context, client *operator.Client, revision uint64) error {
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if status.Revision < revision {
		return eris.Errorf("revision %d, want %d", status.Revision, revision)
	}
	return nil
}

func ready(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+opapi.PathReady, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("not ready: status %d", resp.StatusCode)
	}
	return nil
}

// poll repeats a step until it succeeds, or until ctx ends; it then returns the
// step's last error.
func poll(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}
