// Package operator is the client of the operators' HTTP interface. It tries the
// daemons in turn: each can answer every request, and a change is safe to send
// again since it has a unique id.
package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// Limits and retry delays of the client.
const (
	requestTimeout   = 10 * time.Second
	maxResponseBytes = 64 << 20
	maxRounds        = 3
	initialBackoff   = 200 * time.Millisecond
	maxBackoff       = 2 * time.Second
)

// Config holds the addresses and credentials for the daemons.
type Config struct {
	// Addresses are the host:port addresses of the operators' HTTP interface.
	Addresses []string
	// Key is the operator's bearer key.
	Key string
	// CAFile is a PEM file with the CA certificates of the daemons; if set, the
	// connection uses TLS.
	CAFile string
}

// Client sends requests to the daemons.
type Client struct {
	config Config
	scheme string
	http   *http.Client
}

// New returns a client.
func New(config Config) (*Client, error) {
	if len(config.Addresses) == 0 {
		return nil, exit.Errorf(exit.Usage, "no daemon given: use --operators ADDRESS[,ADDRESS]")
	}
	transport := &http.Transport{}
	client := &Client{config: config, scheme: "http", http: &http.Client{Transport: transport, Timeout: requestTimeout}}
	if config.CAFile == "" {
		return client, nil
	}
	roots, err := readCA(config.CAFile)
	if err != nil {
		return nil, err
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
	client.scheme = "https"
	return client, nil
}

func readCA(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, exit.Errorf(exit.Usage, "--ca: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, exit.Errorf(exit.Usage, "--ca %s: the file contains no certificate", path)
	}
	return roots, nil
}

// Get requests path and decodes the response into answer.
func (c *Client) Get(ctx context.Context, path string, query url.Values, answer any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.call(ctx, http.MethodGet, path, nil, answer)
}

// Post sends body to path and decodes the response into answer. The body must be
// safe to send to several daemons.
func (c *Client) Post(ctx context.Context, path string, body, answer any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	return c.call(ctx, http.MethodPost, path, raw, answer)
}

// call tries the addresses in turn, for up to maxRounds rounds, until a daemon
// returns a result other than "unavailable".
func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = initialBackoff
	delay.MaxInterval = maxBackoff
	var lastErr error
	resent := false
	for round := range maxRounds {
		if round > 0 && !sleep(ctx, delay.NextBackOff()) {
			break
		}
		for _, address := range c.config.Addresses {
			mayHaveRun, err := c.callOnce(ctx, address, method, path, body, answer, resent)
			if exit.Code(err) != exit.Unavailable {
				return err
			}
			resent = resent || mayHaveRun
			lastErr = err
		}
	}
	if lastErr == nil {
		lastErr = exit.Wrap(exit.Unavailable, ctx.Err())
	}
	return lastErr
}

// callOnce sends the request to one daemon. resent is set if an earlier attempt
// with the same body may have run; mayHaveRun reports the same of this attempt.
func (c *Client) callOnce(ctx context.Context, address, method, path string, body []byte, answer any, resent bool) (mayHaveRun bool, err error) {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return false, exit.Errorf(exit.Usage, "address %q: %w", address, err)
	}
	req.Header.Set("Content-Type", "application/json")
	if resent {
		req.Header.Set(opapi.HeaderResent, "true")
	}
	if c.config.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.config.Key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return !isDialError(err), exit.Errorf(exit.Unavailable, "daemon %s: %w", address, unwrapURLError(err))
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return true, exit.Errorf(exit.Unavailable, "daemon %s: response interrupted: %w", address, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		notRun := resp.Header.Get(opapi.HeaderVerdict) == verdict.NotRun.String()
		return !notRun, responseError(address, resp.StatusCode, raw)
	}
	if answer == nil || len(raw) == 0 {
		return false, nil
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return true, exit.Errorf(exit.Failed, "daemon %s: invalid response: %w", address, err)
	}
	return false, nil
}

// responseError converts an error response into an error with an exit code.
func responseError(address string, status int, raw []byte) error {
	var body opapi.ErrorBody
	message := ""
	if json.Unmarshal(raw, &body) == nil {
		message = body.Error.Message
	}
	if message == "" {
		message = strings.ToLower(http.StatusText(status))
	}
	code := exit.Failed
	switch status {
	case http.StatusConflict:
		code = exit.Conflict
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
		code = exit.Unavailable
	}
	return exit.Errorf(code, "daemon %s: %s", address, message)
}

// isDialError reports whether no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// unwrapURLError removes the method and the URL that net/http adds to an error.
func unwrapURLError(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Address returns the address of the first daemon.
func (c *Client) Address() string { return c.config.Addresses[0] }
