package load

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// refuseResumes refuses the first resumes of a fake with an error.
func refuseResumes(f *fakeServer, count int32, detail opapi.ErrorDetail) {
	var left atomic.Int32
	left.Store(count)
	inner := f.Config.Handler
	f.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(opapi.HeaderLastEventID) == "" || left.Add(-1) < 0 {
			inner.ServeHTTP(w, r)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		writeJSON(w, opapi.ErrorBody{Error: detail})
	})
}

// TestRefusedResumeIsRepeatedWhereAdvised has begun answers refused on resume.
func TestRefusedResumeIsRetriedAfterRetryAfter(t *testing.T) {
	is := is.New(t)
	ran := opapi.ErrorDetail{Code: verdict.CodeOverloaded, Verdict: verdict.Ran.String(), RetryAfterMS: 5}
	f := newFakeServer(t)
	f.disconnectAfter = 2
	refuseResumes(f, 2, ran)
	rec := completeOnce(t, f)
	is.Equal(rec.Outcome, OutcomeAnswered)
	is.Equal(rec.Fault, FaultNone)
	is.Equal(rec.Resumes, 3)

	// Without advice the answer is lost, and that is told.
	ran.RetryAfterMS = 0
	f = newFakeServer(t)
	f.disconnectAfter = 2
	refuseResumes(f, 2, ran)
	rec = completeOnce(t, f)
	is.Equal(rec.Outcome, OutcomeLost)
	is.Equal(rec.Fault, FaultLost)
}
