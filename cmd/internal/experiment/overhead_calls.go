package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// Sizes of the completions.
const (
	overheadPromptBytes = 800
	overheadTokens      = 4
)

// plainBody is the body of every plain call.
var plainBody = []byte(`{"stem":"Aktau berth 4","confirm":true}`)

// endpoint returns the address of an endpoint; empty if it is unknown.
func (w *overheadClient) endpoint(name string) string {
	for _, e := range w.fleet.Platform().Addresses().Endpoints {
		if e.Name == name {
			return e.Address
		}
	}
	return ""
}

// plainDirect calls the plain service directly.
func (w *overheadClient) plainDirect(ctx context.Context) (time.Duration, error) {
	return w.timeCall(ctx, "http://"+w.endpoint("plain")+"/stems/confirm", plainBody)
}

// plainRouted calls the plain service through the daemon.
func (w *overheadClient) plainRouted(ctx context.Context) (time.Duration, error) {
	address := w.fleet.CallerAddresses()[0]
	return w.timeCall(ctx, "http://"+address+opapi.PathServices+w.site.PlainService+"/stems/confirm", plainBody)
}

// timeCall posts a body and measures the time of the whole call.
func (w *overheadClient) timeCall(ctx context.Context, url string, body []byte) (time.Duration, error) {
	begun := time.Now()
	resp, err := w.post(ctx, url, body)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return time.Since(begun), err
}

// completionDirect requests the prefill and the decode directly from the engines,
// as the router does.
func (w *overheadClient) completionDirect(ctx context.Context) (time.Duration, error) {
	w.number++
	request := fmt.Sprintf("direct-%d", w.number)
	prompt := w.prompt()
	begun := time.Now()
	var kv wire.PrefillResponse
	prefill := wire.PrefillRequest{Request: request, Owner: "direct", OwnerIncarnation: 1, Model: w.site.ModelService, CacheSalt: "direct", Prompt: prompt}
	prefillAt := w.endpoint("engine-prefill")
	if err := w.postJSON(ctx, "http://"+prefillAt+wire.PathPrefill, prefill, &kv); err != nil {
		return 0, err
	}
	decode := wire.DecodeRequest{
		Request: request, Owner: "direct", OwnerIncarnation: 1, Model: w.site.ModelService, CacheSalt: "direct",
		Prompt: prompt, MaxTokens: overheadTokens,
		Source: wire.KVSource{Address: prefillAt, KV: kv.KV, Bytes: kv.KVBytes, Domain: w.site.Domains[0]},
	}
	body, err := json.Marshal(decode)
	if err != nil {
		return 0, err
	}
	return w.firstToken(ctx, "http://"+w.endpoint("engine-decode")+wire.PathCompletions, body, begun)
}

// completionRouted sends a completion through the daemon.
func (w *overheadClient) completionRouted(ctx context.Context) (time.Duration, error) {
	w.number++
	body, err := json.Marshal(opapi.CompletionRequest{
		Model: w.site.ModelService, Prompt: w.prompt(), MaxTokens: overheadTokens, Stream: true,
	})
	if err != nil {
		return 0, err
	}
	return w.firstToken(ctx, "http://"+w.fleet.CallerAddresses()[0]+opapi.PathCompletions, body, time.Now())
}

// prompt returns a different prompt for each number, so that neither direct nor
// routed calls hit a cache.
func (w *overheadClient) prompt() string {
	return fmt.Sprintf("%08d ", w.number) + strings.Repeat("x", overheadPromptBytes)
}

// firstToken posts a body and measures the time from begun to the first event.
func (w *overheadClient) firstToken(ctx context.Context, url string, body []byte, begun time.Time) (time.Duration, error) {
	resp, err := w.post(ctx, url, body)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return 0, fmt.Errorf("%s: no output: %w", url, err)
		}
		if strings.HasPrefix(line, "data:") {
			break
		}
	}
	took := time.Since(begun)
	_, err = io.Copy(io.Discard, reader)
	return took, err
}

// postJSON posts a value as JSON and decodes the reply into out.
func (w *overheadClient) postJSON(ctx context.Context, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	resp, err := w.post(ctx, url, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// post sends a body. It returns an error if the status is not 200.
func (w *overheadClient) post(ctx context.Context, url string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+w.key)
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil {
		return nil, err
	}
	return nil, fmt.Errorf("%s: status %d: %s", url, resp.StatusCode, bytes.TrimSpace(text))
}

// usage is the wall time and processor time of some work.
type usage struct{ wall, cpu time.Duration }

// cpuDuring measures the wall time and processor time of a step. The processor time
// is that of the whole process.
func cpuDuring(step func()) usage {
	cpu, wall := processCPU(), time.Now()
	step()
	return usage{wall: time.Since(wall), cpu: processCPU() - cpu}
}

// processCPU returns the processor time that the process has used so far.
func processCPU() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
