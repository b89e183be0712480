package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// fakeWords are the tokens of every answer of the fake server.
var fakeWords = []string{"alpha ", "bravo ", "charlie ", "delta ", "echo "}

func fakeExpect(string, string, int) string { return strings.Join(fakeWords, "") }

// fakeServer simulates a system with injected faults.
type fakeServer struct {
	*httptest.Server
	// order lists the indices of the tokens to send; nil sends each token once.
	order []int
	// reuseIDs sends a repeated token under its original event id.
	reuseIDs bool
	// disconnectAfter closes the connection of a first attempt after this number of
	// events; 0 for never.
	disconnectAfter int
	// disconnectResumes closes the connection of a resume before sending anything.
	disconnectResumes bool
	// stallAfterFirst sends nothing after the first event until the caller
	// disconnects.
	stallAfterFirst bool
	// duplicateEnd sends the end marker twice.
	duplicateEnd bool
	// broken responds with an error that has neither a code nor a verdict.
	broken bool
	// refusals is the number of requests to refuse before one is accepted.
	refusals atomic.Int32
	// otherAddresses are returned in the entry answer besides the server's own
	// address.
	otherAddresses []string
	// resumed is the Last-Event-ID of the last resume.
	resumed            atomic.Value
	completionRequests atomic.Int32
	plainRequests      atomic.Int32
}

func newFakeServer(t *testing.T) *fakeServer {
	t.Helper()
	f := &fakeServer{}
	mux := http.NewServeMux()
	mux.HandleFunc(opapi.PathEntry, f.entry)
	mux.HandleFunc(opapi.PathCompletions, f.complete)
	mux.HandleFunc(opapi.PathServices, f.plain)
	f.Server = httptest.NewServer(mux)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeServer) address() string { return f.Listener.Addr().String() }

func (f *fakeServer) entry(w http.ResponseWriter, _ *http.Request) {
	answer := opapi.EntryAnswer{LifetimeMS: 60000}
	for _, a := range append(f.otherAddresses, f.address()) {
		answer.Addresses = append(answer.Addresses, opapi.EntryAddress{Address: a, Weight: 1})
	}
	writeJSON(w, answer)
}

func (f *fakeServer) complete(w http.ResponseWriter, r *http.Request) {
	f.completionRequests.Add(1)
	if f.broken {
		http.Error(w, "no code here", http.StatusBadGateway)
		return
	}
	if f.refusals.Add(-1) >= 0 {
		refuse(w)
		return
	}
	from := 0
	if id := r.Header.Get(opapi.HeaderLastEventID); id != "" {
		f.resumed.Store(id)
		from, _ = strconv.Atoi(id)
	}
	if from > 0 && f.disconnectResumes {
		panic(http.ErrAbortHandler)
	}
	f.send(w, r, from)
}

func (f *fakeServer) send(w http.ResponseWriter, r *http.Request, from int) {
	order := f.order
	if order == nil {
		for i := range fakeWords {
			order = append(order, i)
		}
	}
	for n, i := range order[from:] {
		if f.disconnectAfter > 0 && from == 0 && n == f.disconnectAfter {
			panic(http.ErrAbortHandler)
		}
		id := from + n + 1
		if f.reuseIDs {
			id = i + 1
		}
		sendEvent(w, strconv.Itoa(id), fakeWords[i])
		if f.stallAfterFirst {
			<-r.Context().Done()
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	if f.duplicateEnd {
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func sendEvent(w http.ResponseWriter, id, text string) {
	data, _ := json.Marshal(opapi.Completion{Choices: []opapi.Choice{{Text: text}}})
	fmt.Fprintf(w, ": heartbeat\n\nid: %s\ndata: %s\n\n", id, data)
	w.(http.Flusher).Flush()
}

func (f *fakeServer) plain(w http.ResponseWriter, _ *http.Request) {
	f.plainRequests.Add(1)
	writeJSON(w, map[string]bool{"ok": true})
}

func refuse(w http.ResponseWriter) {
	w.Header().Set(opapi.HeaderVerdict, verdict.NotRun.String())
	w.Header().Set("Retry-After", "0.01")
	w.WriteHeader(http.StatusServiceUnavailable)
	writeJSON(w, opapi.ErrorBody{Error: opapi.ErrorDetail{Code: verdict.CodeOverloaded, Verdict: verdict.NotRun.String()}})
}

func writeJSON(w http.ResponseWriter, v any) {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(err)
	}
}
