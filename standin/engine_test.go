package standin_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

func TestEngineLifeCycle(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, nil)
	prompt := strings.Repeat("nomination ", 200)
	stream := p.run(t, "r1", prompt, 40)
	first, err := stream.Next()
	is.NoErr(err)
	is.True(first.TransferMS > 0)
	is.Equal(first.Text, standin.AnswerToken(prompt, 1))
	is.Equal(first.Text+collect(t, stream, 1, 0), standin.Answer(prompt, 40))
	is.Equal(stream.Incarnation(), p.decode.Incarnation())

	prefilled, decoded := p.prefill.Counters(), p.decode.Counters()
	is.Equal(prefilled.Prefills, int64(1))
	is.Equal(prefilled.PrefillTokens, int64(550))
	is.Equal(prefilled.KVImported, int64(1))
	is.Equal(prefilled.PrefillTokensWasted, int64(0))
	is.Equal(prefilled.KVHeld, 0)
	is.Equal(decoded.Running, 0)
	is.Equal(decoded.MaxRunning, 1)
	is.Equal(decoded.DecodeRuns, []standin.Runs{{Name: "r1", Runs: 1}})
}

func TestExpiredKVCountsAsWastedWork(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, func(c *standin.EngineConfig) { c.KVLifetime = time.Millisecond })
	prompt := strings.Repeat("x", 400)
	kv, err := p.orderPrefill(context.Background(), "r1", prompt)
	is.NoErr(err)
	eventually(t, "expiry", func() bool { return p.prefill.Counters().KVExpired == 1 })
	_, err = p.orderDecode(context.Background(), "r1", prompt, 4, kv)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.As(err).Code, client.CodeKVGone)
	is.Equal(p.prefill.Counters().PrefillTokensWasted, int64(100))
	is.Equal(p.decode.Counters().Running, 0) // the slot was freed
}

func TestFullSlotsRefuse(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, func(c *standin.EngineConfig) { c.Slots = 1; c.DecodeTokenMS = 1e6 })
	p.run(t, "r1", "one", 4)
	kv, err := p.orderPrefill(context.Background(), "r2", "two")
	is.NoErr(err)
	_, err = p.orderDecode(context.Background(), "r2", "two", 4, kv)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.As(err).Code, verdict.CodeOverloaded)
	cancelled, err := p.toDecode.Cancel(context.Background(), wire.CancelRequest{Request: "r1"})
	is.NoErr(err)
	is.Equal(cancelled.State, wire.CancelDone)
	_, err = p.orderDecode(context.Background(), "r2", "two", 4, kv)
	is.NoErr(err) // the refusal did not drop the KV cache
	is.Equal(p.decode.Counters().MaxRunning, 1)
}

func TestCrashMarkerInPromptCrashesEngine(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, func(c *standin.EngineConfig) { c.RestartDelay = time.Millisecond })
	before := p.prefill.Incarnation()
	_, err := p.orderPrefill(context.Background(), "r1", "bad "+standin.CrashMarker)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(p.prefill.Incarnation(), before+1)
	eventually(t, "restart", func() bool {
		_, err := p.orderPrefill(context.Background(), "r2", "good")
		return err == nil
	})
	is.Equal(p.prefill.Counters().Crashes, int64(1))
}

func TestCrashLosesStateAndStreams(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, func(c *standin.EngineConfig) { c.DecodeTokenMS = 1e6; c.RestartDelay = time.Millisecond })
	stream := p.run(t, "r1", "one", 4)
	_, err := p.orderPrefill(context.Background(), "r2", strings.Repeat("x", 400))
	is.NoErr(err)
	p.decode.Crash()
	p.prefill.Crash()
	_, err = stream.Next()
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(p.prefill.Counters().PrefillTokensWasted, int64(100))
	var list wire.RequestList
	eventually(t, "restart", func() bool {
		list, err = p.toDecode.Requests(context.Background())
		return err == nil
	})
	is.Equal(len(list.Requests), 0)
	is.Equal(list.Incarnation, p.decode.Incarnation())
}

func TestHangingCallIsLostInCrash(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, func(c *standin.EngineConfig) { c.RestartDelay = time.Millisecond })
	p.prefill.Inject(wire.Fault{Hang: ptr(true)})
	failed := make(chan error, 1)
	go func() {
		_, err := p.orderPrefill(context.Background(), "r1", "one")
		failed <- err
	}()
	eventually(t, "hang", func() bool { return p.prefill.Counters().Hanging == 1 })
	p.prefill.Crash()
	is.Equal(verdict.Of(<-failed), verdict.MayHaveRun)
	eventually(t, "loss", func() bool { return p.prefill.Counters().Hanging == 0 })
	p.prefill.Inject(wire.Fault{Hang: ptr(false)})
	eventually(t, "restart", func() bool {
		_, err := p.orderPrefill(context.Background(), "r2", "two")
		return err == nil
	})
	is.Equal(p.prefill.Counters().Prefills, int64(1)) // the lost call was not run
}

func TestCancelEndsQueuedAndRunningPrefill(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, nil)
	p.prefill.Inject(wire.Fault{Slow: ptr(frozenSlowdown)})
	failed := make(chan error, 2)
	for waiting, id := range []string{"running", "queued"} {
		go func() {
			_, err := p.orderPrefill(context.Background(), id, "prompt")
			failed <- err
		}()
		eventually(t, id, func() bool {
			list, err := p.toPrefill.Requests(context.Background())
			return err == nil && len(list.Requests) == waiting+1
		})
	}
	for _, id := range []string{"queued", "running"} {
		state, err := p.toPrefill.Cancel(context.Background(), wire.CancelRequest{Request: id, Owner: "d1", OwnerIncarnation: 1})
		is.NoErr(err)
		is.Equal(state.State, wire.CancelDone)
		is.Equal(verdict.As(<-failed).Code, client.CodeCancelled)
	}
	list, err := p.toPrefill.Requests(context.Background())
	is.NoErr(err)
	is.Equal(len(list.Requests), 0)
}

func TestCancelBeforeRunOrderLeavesTombstone(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, nil)
	cancelled, err := p.toPrefill.Cancel(context.Background(), wire.CancelRequest{Request: "r1"})
	is.NoErr(err)
	is.Equal(cancelled.State, wire.CancelUnknown)
	_, err = p.orderPrefill(context.Background(), "r1", "late")
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.As(err).Code, client.CodeCancelled)
	is.Equal(p.prefill.Counters().Prefills, int64(0))
}

func TestCancelEndsStalledImport(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, nil)
	p.decode.Inject(wire.Fault{StallTransfers: ptr(true)})
	kv, err := p.orderPrefill(context.Background(), "r1", "one")
	is.NoErr(err)
	failed := make(chan error, 1)
	go func() {
		_, err := p.orderDecode(context.Background(), "r1", "one", 4, kv)
		failed <- err
	}()
	eventually(t, "import", func() bool { return p.decode.Counters().Running == 1 })
	_, err = p.toDecode.Cancel(context.Background(), wire.CancelRequest{Request: "r1"})
	is.NoErr(err)
	is.Equal(verdict.As(<-failed).Code, client.CodeCancelled)
	is.Equal(p.decode.Counters().Running, 0)
	is.NoErr(p.toPrefill.Release(context.Background(), wire.ReleaseRequest{Request: "r1", KV: kv.KV}))
	is.Equal(p.prefill.Counters().KVHeld, 0)
	is.Equal(p.prefill.Counters().KVReleased, int64(1))
}

func TestDecodeSurvivesBrokenStreamAndIsResumedByNewOwner(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := newEnginePair(t, nil)
	p.decode.Inject(wire.Fault{Slow: ptr(frozenSlowdown)})
	p.run(t, "r1", "prompt", 60).Close()
	is.Equal(p.decode.Counters().Running, 1) // the decode continues without a stream
	p.decode.Inject(wire.Fault{Slow: ptr(1.0)})
	stream, err := p.toDecode.Resume(ctx, client.ResumeRequest{Request: "r1", Owner: "d1", Incarnation: 1}, streamTimeouts)
	is.NoErr(err)
	head := collect(t, stream, 0, 3)
	stream.Close()
	resumed, err := p.toDecode.Resume(ctx, client.ResumeRequest{Request: "r1", After: 3, Owner: "d2", Incarnation: 5}, streamTimeouts)
	is.NoErr(err)
	defer resumed.Close()

	state, err := p.toDecode.Cancel(ctx, wire.CancelRequest{Request: "r1", Owner: "d1", OwnerIncarnation: 1})
	is.NoErr(err)
	is.Equal(state.State, wire.CancelOtherOwner) // the former owner can't cancel the request
	_, err = p.toDecode.Resume(ctx, client.ResumeRequest{Request: "r1", After: 3, Owner: "d2", Incarnation: 4}, streamTimeouts)
	is.Equal(verdict.As(err).Code, client.CodeOwner)

	is.Equal(head+collect(t, resumed, 3, 0), standin.Answer("prompt", 60))
	again, err := p.toDecode.Resume(ctx, client.ResumeRequest{Request: "r1", After: 58, Owner: "d2", Incarnation: 5}, streamTimeouts)
	is.NoErr(err) // a finished answer is kept
	defer again.Close()
	is.Equal(collect(t, again, 58, 0), standin.AnswerToken("prompt", 59)+standin.AnswerToken("prompt", 60))
	is.Equal(p.decode.Counters().Decodes, int64(1))
}

func TestNewStreamEndsEarlierStream(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, func(c *standin.EngineConfig) { c.DecodeTokenMS = 1e6 })
	earlier := p.run(t, "r1", "prompt", 4)
	later, err := p.toDecode.Resume(context.Background(), client.ResumeRequest{Request: "r1", Owner: "d2", Incarnation: 1}, streamTimeouts)
	is.NoErr(err)
	defer later.Close()
	_, err = earlier.Next()
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
}

func TestContinuationStartsAfterDeliveredTokens(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, nil)
	kv, err := p.orderPrefill(context.Background(), "r2", "prompt")
	is.NoErr(err)
	stream, err := p.toDecode.Decode(context.Background(), wire.DecodeRequest{
		Request: "r2", Prompt: "prompt", MaxTokens: 9, Continue: 4,
		Source: wire.KVSource{Address: p.prefillAddr, KV: kv.KV, Domain: "aktau-port"},
	}, streamTimeouts)
	is.NoErr(err)
	defer stream.Close()
	is.Equal(standin.Answer("prompt", 4)+collect(t, stream, 4, 0), standin.Answer("prompt", 9))
}

func TestPrefixCacheIsPerSalt(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, func(c *standin.EngineConfig) { c.CacheLag = time.Nanosecond })
	prompt := strings.Repeat("y", 2048)
	_, err := p.orderPrefill(context.Background(), "r1", prompt)
	is.NoErr(err)
	again, err := p.orderPrefill(context.Background(), "r2", prompt)
	is.NoErr(err)
	is.Equal(again.CachedTokens, 512)
	other, err := p.toPrefill.Prefill(context.Background(), wire.PrefillRequest{Request: "r3", CacheSalt: "other", Prompt: prompt})
	is.NoErr(err)
	is.Equal(other.CachedTokens, 0)
	events, err := p.toPrefill.CacheEvents(context.Background(), 0)
	is.NoErr(err)
	is.Equal(len(events.Events), 16)
}

func TestHigherPriorityIsPrefilledFirst(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, nil)
	p.prefill.Inject(wire.Fault{Slow: ptr(frozenSlowdown)})
	results := map[string]chan wire.PrefillResponse{}
	send := func(id string, priority, waiting int) {
		result := make(chan wire.PrefillResponse, 1)
		results[id] = result
		go func() {
			out, _ := p.toPrefill.Prefill(context.Background(), wire.PrefillRequest{Request: id, Prompt: "z", Priority: priority})
			result <- out
		}()
		eventually(t, id, func() bool {
			list, err := p.toPrefill.Requests(context.Background())
			return err == nil && len(list.Requests) >= waiting
		})
	}
	send("running", 0, 1)
	send("low", 1, 2)
	send("high", 9, 3)
	p.prefill.Inject(wire.Fault{Slow: ptr(1.0)})
	for place, id := range []string{"running", "high", "low"} { // the KV names end with the number of the export
		is.True(strings.HasSuffix((<-results[id]).KV, fmt.Sprintf("-%d", place+1)))
	}
}

func TestOnlySomeEnginesCheckFencingNumbers(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	for _, checks := range []bool{true, false} {
		engine := standin.NewEngine(standin.EngineConfig{Model: "m", Role: standin.RolePrefill, ChecksFencing: checks, RoleTime: time.Millisecond})
		c := client.NewEngine(serve(t, engine), client.Options{})
		_, err := c.Order(ctx, wire.Order{Fence: 5, Model: "m", Role: standin.RoleDecode})
		is.NoErr(err)
		_, err = c.Order(ctx, wire.Order{Fence: 4, Model: "m", Role: standin.RolePrefill})
		is.Equal(err != nil, checks)
		if checks {
			is.Equal(verdict.As(err).Code, client.CodeFence)
			is.Equal(verdict.Of(err), verdict.NotRun)
		}
		eventually(t, "role", func() bool {
			state, err := c.OrderState(ctx)
			return err == nil && state.Ready && (state.Role == standin.RoleDecode) == checks
		})
	}
}

func TestLeavingEngineRefusesAfterGrace(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, func(c *standin.EngineConfig) { c.LeaveGrace = time.Nanosecond; c.LoadLag = time.Nanosecond })
	p.prefill.Inject(wire.Fault{Leaving: ptr(true)})
	_, err := p.orderPrefill(context.Background(), "r1", "one")
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.As(err).Code, verdict.CodeLeaving)
	load, err := p.toPrefill.Load(context.Background())
	is.NoErr(err)
	is.True(load.Leaving)
	is.Equal(p.prefill.Counters().AfterLeave, int64(1))
}

func TestWrongRoleIsNotRun(t *testing.T) {
	is := is.New(t)
	p := newEnginePair(t, nil)
	_, err := p.toDecode.Prefill(context.Background(), wire.PrefillRequest{Request: "r1", Prompt: "x"})
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.As(err).Code, client.CodeRole)
}
