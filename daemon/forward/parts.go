package forward

import (
	"fmt"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// MaxParts bounds the parts of a prompt that are kept of one request.
const MaxParts = poison.MaxPartsPerRequest

// partTrace is what the trace of a request holds for the evidence about parts.
type partTrace struct {
	// parts are the parts of the request's prompt, as crash evidence knows them.
	parts []poison.Part
	// refusedPart is the part for which the request was refused, or not sent again.
	refusedPart poison.Part
	// partsClearedFor is when the first event of the answer arrived by which the parts were
	// cleared while it was still coming; 0 before.
	partsClearedFor time.Duration
	// sentUnixMS is when the request was last sent to an endpoint, by the clock of the crash
	// evidence, in milliseconds since 1970.
	sentUnixMS int64
}

// identifyParts computes the identities of the parts of a request's prompt, and counts
// those that are not known. It is called once for a request, when its team is known.
func (f *Forwarder) identifyParts(r *Request, t *trace) {
	f.stats.unknownParts.Add(int64(r.UnknownParts))
	if len(r.Parts) == 0 {
		return
	}
	t.parts = make([]poison.Part, 0, len(r.Parts))
	for _, name := range r.Parts {
		t.parts = append(t.parts, poison.NewPart(t.teamName(), name))
	}
}

// checkParts refuses a request, with the verdict v, for a part of its prompt that has
// crashed endpoints in other requests.
func (f *Forwarder) checkParts(t *trace, now time.Time, v verdict.Verdict) *verdict.Error {
	finding := f.Evidence.Ledger.CheckParts(now, t.parts)
	if !refuses(finding.Standing) {
		return nil
	}
	t.refusedPart = finding.Part
	t.reason = "endpoints broke while they ran requests with a part of its prompt"
	return verdict.New(v, verdict.CodeQuarantined, "the request is refused: %d endpoints broke while they ran requests with part %s of its prompt", finding.Crashes, finding.Part).
		WithRetryAfter(finding.Until.Sub(now))
}

// recordSend records that a request is sent to an endpoint now.
func (f *Forwarder) recordSend(t *trace) { t.sentUnixMS = f.Evidence.WallClock().UnixMilli() }

// clearParts clears the evidence against the parts of a prompt: an endpoint lives although
// it writes, or has written, an answer on them.
func (f *Forwarder) clearParts(t *trace) {
	if len(t.parts) > 0 && f.Evidence.Ledger.PartsSucceeded(f.Evidence.WallClock(), t.parts) {
		f.Evidence.Broadcast()
	}
}

// clearSettledParts clears the evidence against the parts of a prompt, once, when an answer
// has been coming for long enough. It is called when more of the answer has arrived;
// firstAt is when its first part did.
func (f *Forwarder) clearSettledParts(t *trace, firstAt time.Duration) {
	if t.partsClearedFor == firstAt || f.Now()-firstAt < poison.SettledAnswer {
		return
	}
	t.partsClearedFor = firstAt
	f.clearParts(t)
}

// maxLoggedParts bounds the parts of a request in a log line, which has 17 bytes for each.
const maxLoggedParts = 32

// partFields are the fields of a log line that show the parts of a request's prompt by
// their hashes, in the caller's order, so that lines of several requests can be compared.
// Nothing is shown for a request without parts.
func (t *trace) partFields() []any {
	if len(t.parts) == 0 {
		return nil
	}
	shown := t.parts[:min(len(t.parts), maxLoggedParts)]
	hashes := make([]string, 0, len(shown)+1)
	for _, p := range shown {
		hashes = append(hashes, p.String())
	}
	if more := len(t.parts) - len(shown); more > 0 {
		hashes = append(hashes, fmt.Sprintf("+%d", more))
	}
	return []any{"parts", strings.Join(hashes, ",")}
}
