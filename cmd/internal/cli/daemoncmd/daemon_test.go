package daemoncmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
)

// goodSettings are the minimum settings of a daemon.
const goodSettings = `{
  "daemon": "aktau-1",
  "domain": "aktau-port",
  "listen": {"callers": "127.0.0.1:7101", "operators": "127.0.0.1:7102", "peers": "127.0.0.1:7103"},
  "insecure_callers": true, // a trial
  "peers_tls": {"cert": "a.pem", "key": "a-key.pem", "ca": "ca.pem"},
  "resume_keys": [{"id": 1, "secret_hex": "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}],
  "operator_key_hashes": ["8c3515119be64467d3e596fd3be2ea9a2ab9071620e3b0c45b99a567ccd2aa88"],
  "platform": {"table": "127.0.0.1:1", "objects": "127.0.0.1:2", "hosts": "127.0.0.1:3", "weights": "127.0.0.1:4"},
}`

func runDaemon(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Main(args, &out, &errs)
	return code, out.String(), errs.String()
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "daemon.hujson")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCheckAcceptsValidSettings(t *testing.T) {
	is := is.New(t)
	path := writeSettings(t, goodSettings)
	code, out, errs := runDaemon("--settings", path, "--check")
	is.Equal(code, exit.OK)
	is.Equal(out, path+": ok\n")
	is.Equal(errs, "")
}

func TestCheckReportsEachFaultWithItsLine(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(goodSettings, `"daemon"`, `"deamon"`, 1)
	text = strings.Replace(text, `"insecure_callers": true`, `"insecure_caller": true`, 1)
	path := writeSettings(t, text)
	code, out, errs := runDaemon("--settings", path, "--check")
	is.Equal(code, exit.Faults)
	is.Equal(out, "")
	lines := strings.Split(strings.TrimSpace(errs), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.HasPrefix(lines[0], "samphirequayd: "+path+":2:"))
	is.True(strings.HasPrefix(lines[1], "samphirequayd: "+path+":5:"))
}

func TestWrongUsage(t *testing.T) {
	is := is.New(t)
	code, _, errs := runDaemon()
	is.Equal(code, exit.Usage)
	is.Equal(errs, "samphirequayd: --settings FILE is missing\n")
	code, _, _ = runDaemon("--frob")
	is.Equal(code, exit.Usage)
	code, out, _ := runDaemon("--version")
	is.Equal(code, exit.OK)
	is.True(strings.HasPrefix(out, "samphirequayd version="))
}

func TestMissingKeyFilesFailWithOneLine(t *testing.T) {
	is := is.New(t)
	code, _, errs := runDaemon("--settings", writeSettings(t, goodSettings))
	is.Equal(code, exit.Failed)
	is.Equal(strings.Count(errs, "\n"), 1)
	is.True(strings.Contains(errs, "a.pem"))
}
