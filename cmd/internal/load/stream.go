package load

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// doneData is the data line that ends a stream.
const doneData = "[DONE]"

// eventError is the name of the event that carries an error within a stream.
const eventError = "error"

// stream is the state of one streamed completion over all its connections.
type stream struct {
	caller *Caller
	// request is the request body; a resume adds the text received so far.
	request    opapi.CompletionRequest
	answer     *answer
	rec        *Record
	start      time.Time
	lastOutput time.Time
	// accepted is set once the system has responded with status 200.
	accepted bool
	// ended is set once the end marker of the answer was received.
	ended bool
	// cancelled is set if the caller cancelled the request while it was receiving
	// the answer.
	cancelled bool
}

// stallLimit is the time without output after which an interrupted answer counts
// as lost, not as cancelled, when the caller's timeout expires.
const stallLimit = 5 * time.Second

// Complete sends one streamed completion and reads its answer, with retries and
// resumes.
func (c *Caller) Complete(ctx context.Context, prompt string, maxTokens int) Record {
	rec := Record{Outcome: OutcomeUnreachable, PromptTokens: CountTokens(prompt)}
	request := opapi.CompletionRequest{
		Model: c.team.Profile.Model, Prompt: prompt, MaxTokens: maxTokens, Stream: true,
	}
	ctx, cancel := context.WithTimeout(ctx, c.spec.Timeout)
	defer cancel()
	s := &stream{caller: c, request: request, answer: newAnswer(), rec: &rec, start: time.Now()}
	c.retryLoop(ctx, &rec, s.attempt)
	s.complete(prompt, maxTokens)
	return rec
}

// attempt sends or resumes the request at one address and reads the stream until
// its end or until the connection fails.
func (s *stream) attempt(ctx context.Context, address string) attemptResult {
	s.request.Delivered = s.answer.text()
	body, err := json.Marshal(s.request)
	if err != nil {
		return attemptResult{done: true}
	}
	req, err := s.caller.request(ctx, address, opapi.PathCompletions, body)
	if err != nil {
		return attemptResult{connFailed: true}
	}
	if s.answer.lastID != "" {
		req.Header.Set(opapi.HeaderLastEventID, s.answer.lastID)
		s.rec.Resumes++
	}
	resp, err := s.caller.client.Do(req)
	if err != nil {
		return attemptResult{connFailed: !cancelledByCaller(ctx, err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s.handleErrorResponse(resp)
	}
	s.accepted = true
	return s.read(ctx, resp)
}

// read handles events until the end of the answer, an error or a connection
// failure.
func (s *stream) read(ctx context.Context, resp *http.Response) attemptResult {
	events := newEventReader(resp.Body)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) && s.ended {
			return attemptResult{done: true}
		}
		if err != nil {
			s.cancelled = cancelledByCaller(ctx, err) && time.Since(s.lastOutput) < stallLimit
			return attemptResult{connFailed: !cancelledByCaller(ctx, err), done: s.ended}
		}
		if e.name == eventError {
			return s.streamError(resp, e)
		}
		s.handleEvent(e)
	}
}

// handleErrorResponse handles an error response in place of a stream.
func (s *stream) handleErrorResponse(resp *http.Response) attemptResult {
	return s.handleError(readError(resp, s.rec))
}

// streamError handles an error event within a stream.
func (s *stream) streamError(resp *http.Response, e event) attemptResult {
	var body opapi.ErrorBody
	if err := json.Unmarshal([]byte(e.data), &body); err != nil {
		return attemptResult{connFailed: true}
	}
	s.rec.Ending = newEnding(resp, body.Error, []byte(e.data))
	return s.handleError(body.Error)
}

// handleError records an error. An answer that has begun is resumed if the error
// is resumable, after the retry delay of the error but at least resumeDelay.
func (s *stream) handleError(detail opapi.ErrorDetail) attemptResult {
	result := s.caller.handleError(detail, s.rec)
	if result.done && s.rec.OutputTokens > 0 && resumable(detail) {
		return attemptResult{delay: max(resumeDelay, time.Duration(detail.RetryAfterMS)*time.Millisecond)}
	}
	return result
}

// resumeDelay is the minimum delay before an answer is resumed after an error.
const resumeDelay = 50 * time.Millisecond

// resumable reports whether an answer can be resumed after an error, at another
// address or after a delay.
func resumable(detail opapi.ErrorDetail) bool {
	switch detail.Code {
	case verdict.CodeLeaving, verdict.CodeUnavailable, verdict.CodeEndpointFailed:
		return true
	default:
		return detail.RetryAfterMS > 0
	}
}

// handleEvent handles one event of the answer.
func (s *stream) handleEvent(e event) {
	if e.data == doneData {
		s.answer.finish()
		s.ended = true
		return
	}
	var c opapi.Completion
	if err := json.Unmarshal([]byte(e.data), &c); err != nil || len(c.Choices) == 0 {
		return
	}
	text := c.Choices[0].Text
	if !s.answer.add(e.id, text) || text == "" {
		return
	}
	s.recordOutput(time.Now())
}

// recordOutput records the time of an output.
func (s *stream) recordOutput(now time.Time) {
	s.rec.OutputTokens++
	if s.rec.OutputTokens == 1 {
		s.rec.FirstToken = now.Sub(s.start)
	} else {
		s.rec.Gaps = append(s.rec.Gaps, now.Sub(s.lastOutput))
	}
	s.lastOutput = now
}

// complete sets the outcome, the latencies and the fault of the record.
func (s *stream) complete(prompt string, maxTokens int) {
	s.rec.Total = time.Since(s.start)
	s.rec.Pace = mean(s.rec.Gaps)
	switch {
	case s.ended:
		s.rec.Outcome = OutcomeAnswered
	case s.cancelled:
		s.rec.Outcome = OutcomeCancelled
	case s.answerExpected():
		s.rec.Outcome = OutcomeLost
	}
	var expected string
	known := s.caller.spec.Expect != nil
	if known {
		expected = s.caller.spec.Expect(s.caller.team.Profile.Model, prompt, maxTokens)
	}
	s.rec.Fault = s.classifyFault(expected, known)
}

// answerExpected reports whether an answer has begun, or whether the request was
// accepted and no attempt returned an error code.
func (s *stream) answerExpected() bool {
	return s.rec.OutputTokens > 0 || (s.accepted && s.rec.Code == "")
}

// classifyFault returns the fault of the answer. A partial answer that ended in an
// error is checked too: it may be incomplete, but not doubled or wrong.
func (s *stream) classifyFault(expected string, known bool) Fault {
	fault := s.answer.fault(expected, known)
	if fault == FaultLost && !s.ended && (s.cancelled || !s.answerExpected()) {
		return FaultNone
	}
	return fault
}

func mean(ds []time.Duration) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	var sum time.Duration
	for _, d := range ds {
		sum += d
	}
	return sum / time.Duration(len(ds))
}
