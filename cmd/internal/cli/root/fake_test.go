package root

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

const testKey = "the-operators-key"

// fakeDaemon serves the operators' HTTP interface of a daemon.
type fakeDaemon struct {
	*httptest.Server
	doc live.Document

	mu       sync.Mutex
	status   int
	failures int
	changes  []opapi.ChangeRequest
}

func newFakeDaemon(t *testing.T) *fakeDaemon {
	t.Helper()
	f := &fakeDaemon{doc: live.Document{
		Revision: 7,
		Teams:    []live.Team{{Name: "aktau", Weight: 2, MaxInFlight: 8, KeyHashes: []string{}}},
	}}
	f.Server = httptest.NewServer(http.HandlerFunc(f.handle))
	t.Cleanup(f.Close)
	t.Setenv("SAMPHIREQUAY_OPERATOR_KEY", testKey)
	return f
}

func (f *fakeDaemon) address() string { return f.Listener.Addr().String() }

// failChanges makes the next n changes fail with a status; if n is negative, all
// changes fail.
func (f *fakeDaemon) failChanges(status, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status, f.failures = status, n
}

func (f *fakeDaemon) handle(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer "+testKey {
		writeError(w, http.StatusUnauthorized, "no valid operator key")
		return
	}
	switch r.URL.Path {
	case opapi.PathConfig:
		_ = json.NewEncoder(w).Encode(f.doc)
	case opapi.PathStatus:
		_ = json.NewEncoder(w).Encode(opapi.Status{Daemon: "aktau-1", Revision: 7, StoreUp: true})
	case opapi.PathChanges:
		f.change(w, r)
	default:
		writeError(w, http.StatusNotFound, "no such operation")
	}
}

func (f *fakeDaemon) change(w http.ResponseWriter, r *http.Request) {
	var req opapi.ChangeRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, req)
	if f.failures != 0 {
		f.failures--
		writeError(w, f.status, "the change was refused\nfor a reason")
		return
	}
	_ = json.NewEncoder(w).Encode(opapi.ChangeAnswer{ID: req.ID, Revision: 8})
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(opapi.ErrorBody{Error: opapi.ErrorDetail{Message: message, Code: verdict.CodeConflict}})
}

// result is the exit code and the output of a command.
type result struct {
	code           int
	stdout, stderr string
}

// runCommand runs the command with a standard input and arguments.
func runCommand(stdin string, args ...string) result {
	var out, errs bytes.Buffer
	code := Main(args, strings.NewReader(stdin), &out, &errs)
	return result{code, out.String(), errs.String()}
}
