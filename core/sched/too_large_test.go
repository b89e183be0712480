package sched

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

func TestPromptTooLongForPatienceIsRefused(t *testing.T) {
	is := is.New(t)
	l := testLedger(t, testOptions(t), testDocument(4, 1))
	want := testWant(1, teamName(0))
	want.PromptTokens = 100_000 // five seconds of prefill
	refusal := onlyRefusal(t, l.Want(ms, want))
	is.Equal(refusal.Code, verdict.CodeTooLarge)
	is.Equal(int64(refusal.RetryAfter), int64(0)) // a retry does not help
	is.True(strings.Contains(refusal.Reason, "patience_ms"))
}
