package load

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// refuseResumes makes the server refuse the first count resumes with an error.
func refuseResumes(f *fakeServer, count int32, detail opapi.ErrorDetail) {
	var remaining atomic.Int32
	remaining.Store(count)
	inner := f.Config.Handler
	f.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(opapi.HeaderLastEventID) == "" || remaining.Add(-1) < 0 {
			inner.ServeHTTP(w, r)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		writeJSON(w, opapi.ErrorBody{Error: detail})
	})
}

// A refused resume is retried if the error has a Retry-After delay, even if its
// verdict is that the request ran.
func TestRefusedResumeIsRetriedAfterRetryAfter(t *testing.T) {
	is := is.New(t)
	detail := opapi.ErrorDetail{Code: verdict.CodeOverloaded, Verdict: verdict.Ran.String(), RetryAfterMS: 5}
	f := newFakeServer(t)
	f.disconnectAfter = 2
	refuseResumes(f, 2, detail)
	rec := completeOnce(t, f)
	is.Equal(rec.Outcome, OutcomeAnswered)
	is.Equal(rec.Fault, FaultNone)
	is.Equal(rec.Resumes, 3)

	// Without a retry delay the answer is lost and reported as lost.
	detail.RetryAfterMS = 0
	f = newFakeServer(t)
	f.disconnectAfter = 2
	refuseResumes(f, 2, detail)
	rec = completeOnce(t, f)
	is.Equal(rec.Outcome, OutcomeLost)
	is.Equal(rec.Fault, FaultLost)
}
