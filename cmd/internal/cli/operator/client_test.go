package operator

import (
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
)

func TestClientVerifiesTheCA(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"daemon": "kuryk-1"}`))
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	ca := filepath.Join(t.TempDir(), "ca.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
	is.NoErr(os.WriteFile(ca, pem.EncodeToMemory(block), 0o600))

	client, err := New(Config{Addresses: []string{address}, CAFile: ca})
	is.NoErr(err)
	status, err := client.Status(t.Context())
	is.NoErr(err)
	is.Equal(string(status.Daemon), "kuryk-1")

	empty := filepath.Join(t.TempDir(), "empty.pem")
	is.NoErr(os.WriteFile(empty, nil, 0o600))
	_, err = New(Config{Addresses: []string{address}, CAFile: empty})
	is.Equal(exit.Code(err), exit.Usage)
}

func TestInvalidJSONResponseFails(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("<html>"))
	}))
	defer server.Close()
	client, err := New(Config{Addresses: []string{server.Listener.Addr().String()}})
	is.NoErr(err)
	_, err = client.Status(t.Context())
	is.Equal(exit.Code(err), exit.Failed)
}
