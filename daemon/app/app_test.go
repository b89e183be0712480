package app

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

const model = "document-summariser"

func TestCompletionReturnsTheWholeAnswer(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, standin.Bunker(), nil)
	prompt := strings.Repeat("nomination of 300 tonnes VLSFO at Aktau roads. ", 40)
	req := f.completionRequest(context.Background(), f.daemons[0], teamKey,
		opapi.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: 12})

	status, body := f.do(req)

	is.Equal(status, http.StatusOK)
	var c opapi.Completion
	is.NoErr(json.Unmarshal(body, &c))
	is.Equal(c.Choices[0].Text, standin.Answer(prompt, 12)) // the whole answer
}

// readSSE reads the server-sent events of an answer, at most limit of them if
// limit is above 0. It returns the text, the last event's id, and whether the
// answer ended.
func readSSE(t *testing.T, resp *http.Response, limit int) (text, lastID string, ended bool) {
	t.Helper()
	is := is.New(t)
	scanner := bufio.NewScanner(resp.Body)
	events := 0
	for scanner.Scan() {
		line := scanner.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			lastID = value
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, lastID, true
		}
		var c opapi.Completion
		is.NoErr(json.Unmarshal([]byte(data), &c))
		is.True(len(c.Choices) == 1) // a part of the answer, not an error
		text += c.Choices[0].Text
		events++
		if limit > 0 && events >= limit {
			return text, lastID, false
		}
	}
	return text, lastID, false
}

func TestNineDaemonsAnswerStreams(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 9, standin.Bunker(), nil)
	for i, d := range f.daemons {
		prompt := fmt.Sprintf("delivery note %d: %s", i, strings.Repeat("density 0.991 at 15 C. ", 30))
		req := f.completionRequest(context.Background(), d, teamKey,
			opapi.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: 8, Stream: true})
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusOK)
		text, _, ended := readSSE(t, resp, 0)
		is.True(ended)
		is.Equal(text, standin.Answer(prompt, 8))
	}
	// All daemons agree on the one that schedules the pool.
	owner := f.daemons[0].broker.Owners(f.daemons[0].pools())
	for _, d := range f.daemons {
		is.Equal(d.broker.Owners(d.pools()), owner)
	}
}

func TestStreamResumesAfterItsDaemonIsKilled(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 3, standin.Bunker(), nil)
	prompt := strings.Repeat("quality certificate, sulphur 0.47 percent. ", 30)
	body := opapi.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: 40, Stream: true}
	resp, err := http.DefaultClient.Do(f.completionRequest(context.Background(), f.daemons[0], teamKey, body))
	is.NoErr(err)
	defer resp.Body.Close()
	first, lastID, ended := readSSE(t, resp, 5)
	is.True(!ended)

	f.daemons[0].Kill()
	req := f.completionRequest(context.Background(), f.daemons[1], teamKey, body)
	req.Header.Set(opapi.HeaderLastEventID, lastID)
	again, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer again.Body.Close()

	if again.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(again.Body)
		t.Fatalf("status %d: %s", again.StatusCode, body)
	}
	rest, _, ended := readSSE(t, again, 0)
	is.True(ended)
	is.Equal(first+rest, standin.Answer(prompt, 40)) // no token lost or duplicated
}

func TestStreamContinuesAfterItsEngineCrashed(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, standin.Bunker(), nil)
	prompt := strings.Repeat("stem confirmation for MV Altyn. ", 30)
	body := opapi.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: 40, Stream: true}
	resp, err := http.DefaultClient.Do(f.completionRequest(context.Background(), f.daemons[0], teamKey, body))
	is.NoErr(err)
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	_, err = reader.ReadString('\n')
	is.NoErr(err) // the answer has begun
	for _, e := range f.platform.Engines {
		if e.Counters().Running > 0 {
			e.Crash()
		}
	}
	rest, err := io.ReadAll(reader)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(rest), "data: [DONE]\n\n"))
	resp.Body = io.NopCloser(strings.NewReader("id: x\n" + string(rest)))
	text, _, _ := readSSE(t, resp, 0)
	is.Equal(text, standin.Answer(prompt, 40)) // continued on another engine
}

func TestCallerGoneDuringPrefillIsCancelled(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, standin.Bunker(), nil)
	ctx, hangUp := context.WithCancel(context.Background())
	slow := 20.0
	for _, e := range f.platform.Engines {
		e.Inject(wire.Fault{Slow: &slow})
	}
	prompt := strings.Repeat("a long traveller history. ", 300)
	req := f.completionRequest(ctx, f.daemons[0], teamKey, opapi.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: 4})
	failed := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(req)
		failed <- err
	}()
	f.waitFor("the prefill runs", func() bool { return f.held("prefill") > 0 })
	hangUp()
	is.True(<-failed != nil)
	f.waitFor("the engine got a cancel", func() bool { return f.cancels() > 0 })
	f.waitFor("no engine holds a request", func() bool { return f.held("") == 0 })
}

func TestBadRequestsAreRefusedWithAReason(t *testing.T) {
	f := newTestFleet(t, 1, standin.Bunker(), nil)
	d := f.daemons[0]
	cases := []struct {
		name, key, body string
		status          int
		code            string
		message         string
	}{
		{"bad JSON", teamKey, `{"model": `, http.StatusBadRequest, "bad_request", "at byte"},
		{"no prompt", teamKey, `{"model": "document-summariser"}`, http.StatusBadRequest, "bad_request", "prompt"},
		{"wrong key", "nobody", `{"model": "document-summariser", "prompt": "x"}`, http.StatusUnauthorized, "unauthorized", "key"},
		{"unknown model", teamKey, `{"model": "gpt-none", "prompt": "x"}`, http.StatusNotFound, "unknown_service", "gpt-none"},
		{"too large", teamKey, `{"model": "m", "prompt": "` + strings.Repeat("x", 5<<20) + `"}`, http.StatusRequestEntityTooLarge, "too_large", "larger"},
		{"forged token", teamKey, `{"model": "document-summariser", "prompt": "x"}`, http.StatusForbidden, "forbidden", "resume token"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(http.MethodPost, "http://"+d.CallerAddr()+opapi.PathCompletions, strings.NewReader(c.body))
			is.NoErr(err)
			req.Header.Set("Authorization", "Bearer "+c.key)
			if c.name == "forged token" {
				req.Header.Set(opapi.HeaderLastEventID, "AAAA")
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			var body opapi.ErrorBody
			is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
			is.Equal(resp.StatusCode, c.status)
			is.Equal(string(body.Error.Code), c.code)
			is.Equal(body.Error.Verdict, "not-run")
			is.Equal(resp.Header.Get(opapi.HeaderVerdict), "not-run")
			is.True(strings.Contains(body.Error.Message, c.message)) // the message names the cause
		})
	}
}

func TestStartNamesAPortInUse(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, standin.Bunker(), nil)
	cfg := *f.daemons[0].settings
	cfg.Listen.Callers = f.daemons[0].CallerAddr()
	material, err := f.ca.Peer(cfg.Daemon)
	is.NoErr(err)
	second, err := New(&cfg, Options{PeerKeys: keys.FromMaterial(material), Log: io.Discard})
	is.NoErr(err)
	err = second.Start()
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "listen.callers"))
	is.True(strings.Contains(err.Error(), cfg.Listen.Callers))
}
