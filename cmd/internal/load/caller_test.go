package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func completeOnce(t *testing.T, f *fakeServer, bootstrap ...string) Record {
	t.Helper()
	client := NewClient()
	t.Cleanup(client.CloseIdleConnections)
	spec := Spec{Entry: append(bootstrap, f.address()), Expect: fakeExpect}
	team := Team{Name: "aktau", Key: "k", Profile: Bunker()}
	c := NewCaller(spec, team, client, rand.New(rand.NewPCG(1, 1)))
	return c.Complete(context.Background(), "a prompt", 5)
}

func TestWholeAnswer(t *testing.T) {
	is := is.New(t)
	rec := completeOnce(t, newFakeServer(t))
	is.Equal(rec.Outcome, OutcomeAnswered)
	is.Equal(rec.Fault, FaultNone)
	is.Equal(rec.OutputTokens, 5)
	is.Equal(len(rec.Gaps), 4)
}

func TestFaultsAreReported(t *testing.T) {
	cases := []struct {
		name string
		set  func(*fakeServer)
		want Fault
	}{
		{"event repeated under its id", func(f *fakeServer) { f.order = []int{0, 1, 1, 2, 3, 4}; f.reuseIDs = true }, FaultDoubled},
		{"text repeated under a new id", func(f *fakeServer) { f.order = []int{0, 1, 1, 2, 3, 4} }, FaultDoubled},
		{"whole answer twice", func(f *fakeServer) { f.order = []int{0, 1, 2, 3, 4, 0, 1, 2, 3, 4} }, FaultDoubled},
		{"two ends", func(f *fakeServer) { f.duplicateEnd = true }, FaultDoubled},
		{"hole", func(f *fakeServer) { f.order = []int{0, 1, 3, 4} }, FaultLost},
		{"short", func(f *fakeServer) { f.order = []int{0, 1, 2} }, FaultLost},
		{"out of order", func(f *fakeServer) { f.order = []int{0, 2, 1, 3, 4} }, FaultWrong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeServer(t)
			c.set(f)
			is.Equal(completeOnce(t, f).Fault, c.want)
		})
	}
}

func TestCutStreamIsResumed(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.disconnectAfter = 2
	rec := completeOnce(t, f)
	is.Equal(rec.Outcome, OutcomeAnswered)
	is.Equal(rec.Fault, FaultNone)
	is.Equal(rec.Resumes, 1)
	is.Equal(f.resumed.Load(), "2")
}

func TestUnreachableAddressIsSkipped(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.otherAddresses = []string{closedAddress(t), closedAddress(t)}
	rec := completeOnce(t, f, closedAddress(t))
	is.Equal(rec.Outcome, OutcomeAnswered)
	is.Equal(f.completionRequests.Load(), int32(1))
}

func TestRetryAfterIsHonoured(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.refusals.Store(2)
	rec := completeOnce(t, f)
	is.Equal(rec.Outcome, OutcomeAnswered)
	is.Equal(rec.Attempts, 3)
}

func TestRefusedIsNotLost(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.refusals.Store(1000)
	rec := completeOnce(t, f)
	is.Equal(rec.Outcome, OutcomeRefused)
	is.Equal(rec.Fault, FaultNone)
	is.Equal(rec.Attempts, DefaultMaxAttempts)
}

func TestAnswerWithoutEndIsLost(t *testing.T) {
	is := is.New(t)
	a := newAnswer()
	a.add("1", "alpha ")
	is.Equal(a.fault("", false), FaultLost)
}

func TestCancelledAnswerIsNotLost(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	ctx, cancel := context.WithCancel(context.Background())
	f.stallAfterFirst = true
	client := &http.Client{Transport: cancelAfterRead{cancel}}
	t.Cleanup(http.DefaultTransport.(*http.Transport).CloseIdleConnections)
	spec := Spec{Entry: []string{f.address()}, Expect: fakeExpect}
	c := NewCaller(spec, Team{Name: "aktau", Profile: Bunker()}, client, rand.New(rand.NewPCG(1, 1)))
	rec := c.Complete(ctx, "a prompt", 5)
	is.Equal(rec.Outcome, OutcomeCancelled)
	is.Equal(rec.Fault, FaultNone)
}

// cancelAfterRead cancels the request after the first read of the response.
type cancelAfterRead struct{ cancel context.CancelFunc }

func (c cancelAfterRead) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && r.Method == http.MethodPost {
		resp.Body = cancellingBody{resp.Body, c.cancel}
	}
	return resp, err
}

type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b cancellingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.cancel()
	return n, err
}

func TestAnswerThatIsNeverResumedIsLost(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.disconnectAfter = 2
	f.disconnectResumes = true
	rec := completeOnce(t, f)
	is.Equal(rec.Outcome, OutcomeLost)
	is.Equal(rec.Fault, FaultLost)
	is.Equal(rec.Attempts, DefaultMaxAttempts)
}

// closedAddress returns an address with no listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// For a request that ended without an answer, the result must contain the error
// response with its status and the daemon that sent it, even if the response has
// no error code.
func TestFinalErrorIsReported(t *testing.T) {
	is := is.New(t)
	f := newFakeServer(t)
	f.broken = true
	res, err := Run(context.Background(), Spec{
		Entry: []string{f.address()}, Rate: 1000, Requests: 1, Seed: 1,
		Teams: []Team{{Name: "aktau", Key: "k", Profile: Bunker()}},
	})
	is.NoErr(err)
	is.Equal(res.Total.Failed, 1)
	is.Equal(len(res.Endings), 1)
	is.Equal(res.Endings[0].Status, http.StatusBadGateway)
	is.Equal(res.Endings[0].Daemon, f.address())
	is.True(strings.Contains(res.Line(), "no code here"))
}
