package operator

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

const fuzzKey = "operator-key"

// fuzzOperations applies changes to one document, as the proposer does.
type fuzzOperations struct {
	doc     *live.Document
	applied *live.Document
	stops   int
}

func (b *fuzzOperations) Propose(_ context.Context, c revision.Change, _ bool) revision.Outcome {
	next, faults := revision.Apply(b.doc, c)
	if len(faults) > 0 {
		return revision.Outcome{Result: revision.Rejected, Faults: faults}
	}
	b.applied = next
	return revision.Outcome{Result: revision.Accepted, Revision: next.Revision}
}

func (b *fuzzOperations) DocumentAt(rev uint64) (*live.Document, bool) {
	return b.doc, rev == b.doc.Revision
}
func (b *fuzzOperations) Document() *live.Document              { return b.doc }
func (b *fuzzOperations) History(uint64, int) []revision.Record { return nil }
func (b *fuzzOperations) Status() opapi.Status                  { return opapi.Status{} }
func (b *fuzzOperations) Explain(_, _ string) opapi.Explanation { return opapi.Explanation{} }
func (b *fuzzOperations) Quarantine() opapi.QuarantineList      { return opapi.QuarantineList{} }
func (b *fuzzOperations) BeginStop()                            { b.stops++ }

// FuzzChange checks that the response to any request body is valid JSON, and
// that an accepted change leaves a document without faults.
func FuzzChange(f *testing.F) {
	f.Add([]byte(`{"id":"1","ops":[{"action":"label","kind":"endpoint","name":"e","labels":{"samphirequay/leaving":"true"}}]}`))
	f.Add([]byte(`{"id":"2","ops":[{"action":"put","kind":"team","name":"t","item":{"name":"t","key_hashes":[]}}]}`))
	f.Add([]byte(`{"id":"3","ops":[{"action":"put","kind":"pool","name":"q","item":{"name":"q","endpoint_selector":"a in (b"}}]}`))
	f.Add([]byte(`{"id":"4","ops":[{"action":"delete","kind":"pool","name":"p"}]}`))
	f.Add([]byte(`{"id":"5","expect":18446744073709551615,"ops":[{"action":"put","kind":"link","name":"l","item":null}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		b := &fuzzOperations{doc: live.Normalize(&live.Document{
			Revision:  7,
			Pools:     []live.Pool{{Name: "p", EndpointSelector: "pool=p"}},
			Endpoints: []live.Endpoint{{Name: "e", Labels: live.Labels{"pool": "p", live.LabelRole: "plain"}, Address: "127.0.0.1:1", Domain: "f"}},
		})}
		before := encode(t, b.doc)
		s := New(b, []string{keys.Hash(fuzzKey)}, func(string, ...any) {})
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.SetMethod(fasthttp.MethodPost)
		ctx.Request.SetRequestURI(opapi.PathChanges)
		ctx.Request.Header.Set(fasthttp.HeaderAuthorization, bearer+fuzzKey)
		ctx.Request.SetBody(body)
		s.handle(ctx)
		if !json.Valid(ctx.Response.Body()) {
			t.Fatalf("answer %q", ctx.Response.Body())
		}
		if encode(t, b.doc) != before {
			t.Fatal("the previous document was modified")
		}
		if ctx.Response.StatusCode() == fasthttp.StatusOK {
			checkApplied(t, b)
		}
	})
}

func checkApplied(t *testing.T, b *fuzzOperations) {
	if b.applied == nil || b.applied.Revision != b.doc.Revision+1 {
		t.Fatalf("accepted as %+v", b.applied)
	}
	if faults := live.Check(b.applied); len(faults) > 0 {
		t.Fatalf("accepted with faults %v", faults)
	}
	live.NewIndex(b.applied)
}

func encode(t *testing.T, doc *live.Document) string {
	data, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// FuzzRequest checks that for any method, target and key nothing is carried out
// without a valid key, and that each response is valid JSON.
func FuzzRequest(f *testing.F) {
	f.Add("GET", opapi.PathHistory+"?after=-1&limit=99999999999999999999", bearer+fuzzKey)
	f.Add("GET", opapi.PathConfig+"?revision=7", bearer+fuzzKey)
	f.Add("POST", opapi.PathStop, bearer+fuzzKey)
	f.Add("POST", opapi.PathStop, bearer)
	f.Add("GET", opapi.PathExplain+"?kind=%00&id=%ff", bearer+fuzzKey)
	f.Fuzz(func(t *testing.T, method, target, authorization string) {
		b := &fuzzOperations{doc: &live.Document{Revision: 7}}
		s := New(b, []string{keys.Hash(fuzzKey)}, func(string, ...any) {})
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.SetMethod(method)
		ctx.Request.SetRequestURI(target)
		ctx.Request.Header.Set(fasthttp.HeaderAuthorization, authorization)
		s.handle(ctx)
		if !json.Valid(ctx.Response.Body()) {
			t.Fatalf("answer %q", ctx.Response.Body())
		}
		allowed := s.authorized(ctx)
		if !allowed && (b.stops > 0 || ctx.Response.StatusCode() != fasthttp.StatusUnauthorized) {
			t.Fatalf("status %d without a key, %d stops", ctx.Response.StatusCode(), b.stops)
		}
	})
}
