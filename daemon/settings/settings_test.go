package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

const hash = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824"

const secret = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

// good holds valid settings; each test case changes one line of it.
const good = `// Settings of a daemon.
{
  "daemon": "kuryk-1",
  "domain": "kuryk",
  "listen": {
    "callers": "10.0.0.1:8080",
    "operators": "10.0.0.1:8081",
    "peers": "10.0.0.1:8080", // UDP: may have the same port number
  },
  "seed_peers": [
    {"name": "kuryk-1", "address": "10.0.0.1:8080"},
    {"name": "kuryk-2", "address": "10.0.0.2:8080"},
  ],
  "insecure_callers": true,
  "peers_tls": {"cert": "c.pem", "key": "k.pem", "ca": "ca.pem"},
  "resume_keys": [{"id": 1, "secret_hex": "` + secret + `"}],
  "operator_key_hashes": ["` + hash + `"],
  "platform": {"table": "10.1.0.1:1", "objects": "10.1.0.1:2", "hosts": "10.1.0.1:3", "weights": "10.1.0.1:4"},
  "membership": {"mode": "partial"},
  "timings": {"drain_ms": 20000},
}
`

func TestValidSettingsGetDefaults(t *testing.T) {
	is := is.New(t)
	s, faults := Parse("good.json", []byte(good))
	is.NoErr(faults.Err())
	is.Equal(s.Daemon, id.Daemon("kuryk-1"))
	is.Equal(s.Policy, PolicyLedger)
	is.Equal(s.Membership.Mode, MembershipPartial)
	is.Equal(s.Membership.PeriodMS.Duration().Milliseconds(), int64(250))
	is.Equal(s.Advertise, Advertise{Callers: "10.0.0.1:8080", Peers: "10.0.0.1:8080"})
	is.Equal(s.Timings.DrainMS, Milliseconds(20000))
	is.Equal(s.Timings.EntryLifetimeMS, Milliseconds(10000))
	is.NoErr(s.Validate())
	raw, err := s.ResumeKeys[0].Secret()
	is.NoErr(err)
	is.Equal(len(raw), 32)
}

func TestFaultsReportTheirPosition(t *testing.T) {
	cases := []struct {
		name, old, new string
		fault          string
	}{
		{"unknown field", `"domain": "kuryk"`, `"domian": "kuryk"`, `f.json:4:3: domian: unknown field`},
		{"nested unknown field", `{"drain_ms": 20000}`, `{"drainMs": 20000}`, `f.json:20:15: timings.drainMs: unknown field; did you mean "drain_ms"?`},
		{"duplicate field", `"domain": "kuryk"`, `"daemon": "kuryk"`, `f.json:4:3: daemon: duplicate field`},
		{"missing field", `  "domain": "kuryk",`, ``, `f.json:2:1: domain: is missing`},
		{"wrong type", `{"drain_ms": 20000}`, `{"drain_ms": "20s"}`, `f.json:20:27: timings.drain_ms: is "20s", want a whole number`},
		{"fraction", `{"drain_ms": 20000}`, `{"drain_ms": 0.5}`, `f.json:20:27: timings.drain_ms: is 0.5, want a whole number`},
		{"null", `"insecure_callers": true`, `"insecure_callers": null`, `f.json:14:23: insecure_callers: is null; leave the field out for its default`},
		{"grammar", `"domain": "kuryk",`, `"domain": kuryk,`, `f.json:4:13: `},
		{"port conflict", `"operators": "10.0.0.1:8081"`, `"operators": "0.0.0.0:8080"`, `f.json:7:18: listen.operators: 0.0.0.0:8080 conflicts with listen.callers on 10.0.0.1:8080`},
		{"bad address", `"10.0.0.1:8081"`, `"localhost:8081"`, `f.json:7:18: listen.operators: "localhost:8081" is not an IP:port`},
		{"nothing to advertise", `"peers": "10.0.0.1:8080"`, `"peers": "0.0.0.0:8080"`, `f.json:2:1: advertise.peers: is missing, and the listen address does not name a single host and port`},
		{"duplicate peer", `{"name": "kuryk-2"`, `{"name": "kuryk-1"`, `f.json:12:14: seed_peers[1].name: "kuryk-1" is used twice`},
		{"peer without port", `"10.0.0.2:8080"`, `"10.0.0.2:0"`, `f.json:12:36: seed_peers[1].address: "10.0.0.2:0" has no port`},
		{"plain HTTP by accident", `"insecure_callers": true`, `"insecure_callers": false`, `f.json:2:1: callers_tls: is missing; plain HTTP requires "insecure_callers": true`},
		{"short secret", `"` + secret + `"`, `"0011"`, `f.json:16:43: resume_keys[0].secret_hex: is 2 bytes long, must be at least 32`},
		{"no secret", `, "secret_hex": "` + secret + `"`, ``, `f.json:16:19: resume_keys[0]: needs exactly one of secret_file and secret_hex`},
		{"bad hash", hash, strings.ToUpper(hash), `f.json:17:27: operator_key_hashes[0]: is not a SHA-256 hash in lower-case hex`},
		{"no operators", `["` + hash + `"]`, `[]`, `f.json:17:26: operator_key_hashes: is 0 long, must be at least 1`},
		{"platform without host", `"10.1.0.1:4"`, `"0.0.0.0:4"`, `f.json:18:98: platform.weights: "0.0.0.0:4" does not name a host`},
		{"unknown mode", `"partial"`, `"ring"`, `f.json:19:26: membership.mode: is "ring", want one of: mesh, partial`},
		{"dead before suspect", `"mode": "partial"`, `"dead_after_ms": 500`, `f.json:19:35: membership.dead_after_ms: is 500, must be greater than suspect_after_ms, 1000`},
		{"drain shorter than an entry", `20000`, `5000`, `f.json:20:27: timings.drain_ms: is 5000, must be at least entry_lifetime_ms, 10000`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			broken := strings.Replace(good, c.old, c.new, 1)
			is.True(broken != good)
			s, faults := Parse("f.json", []byte(broken))
			is.True(s == nil)
			is.True(len(faults) > 0)
			if !strings.Contains(faults.Error(), c.fault) {
				t.Errorf("got  %s\nwant %s", faults.Error(), c.fault)
			}
		})
	}
}

func TestAllFaultsAreReported(t *testing.T) {
	is := is.New(t)
	broken := strings.Replace(good, `"domain"`, `"domian"`, 1)
	broken = strings.Replace(broken, `"drain_ms"`, `"drian_ms"`, 1)
	_, faults := Parse("f.json", []byte(broken))
	is.Equal(len(faults), 2)
	is.True(faults[0].Line < faults[1].Line)
}

const goodDocument = `{
  // One team, one pool, one service.
  "teams": [{"name": "desk", "key_hashes": ["` + hash + `"]}],
  "pools": [{"name": "plain", "endpoint_selector": "samphirequay/role=plain"}],
  "services": [{"name": "order-desk", "type": "plain", "pool": "plain"}],
  "endpoints": [
    {"name": "e1", "labels": {"samphirequay/role": "plain"}, "address": "10.2.0.1:80", "domain": "kuryk"},
  ],
}
`

func TestDocumentFaultsReportTheirPosition(t *testing.T) {
	is := is.New(t)
	doc, faults := ParseDocument("live.json", []byte(goodDocument))
	is.NoErr(faults.Err())
	is.Equal(doc.Services[0].TimeoutMS, 30000)

	for _, c := range []struct{ old, new, fault string }{
		{`"pool": "plain"`, `"pool": "model"`, `live.json:5:64: services[0].pool: there is no pool "model"`},
		{`"pool": "plain"`, `"pol": "plain"`, `live.json:5:56: services[0].pol: unknown field`},
		{`"10.2.0.1:80"`, `"runner:80"`, `live.json:7:73: endpoints[0].address: `},
		{`"samphirequay/role": "plain"`, `"samphirequay/role": 1`, `endpoints[0].labels.samphirequay/role: is 1, want a string`},
		{`, "domain": "kuryk"`, ``, `live.json:7:5: endpoints[0].domain: is empty`},
	} {
		doc, faults := ParseDocument("live.json", []byte(strings.Replace(goodDocument, c.old, c.new, 1)))
		is.True(doc == nil)
		if !strings.Contains(faults.Error(), c.fault) {
			t.Errorf("got  %s\nwant %s", faults.Error(), c.fault)
		}
	}
}

func TestCheckFileDeterminesTheKind(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	kind, faults := CheckFile(write("s.json", good))
	is.Equal(kind, KindSettings)
	is.NoErr(faults.Err())
	kind, faults = CheckFile(write("d.json", goodDocument))
	is.Equal(kind, KindDocument)
	is.NoErr(faults.Err())
	kind, faults = CheckFile(write("broken.json", strings.Replace(good, `"domain"`, `"domian"`, 1)))
	is.Equal(kind, KindSettings)
	is.Equal(len(faults), 1)
	for _, text := range []string{`{}`, `[]`, `{"a": 1}`, `{`, ``} {
		kind, faults = CheckFile(write("unknown.json", text))
		is.Equal(kind, KindUnknown)
		is.Equal(len(faults), 1)
	}
	_, faults = Load(filepath.Join(dir, "absent.json"))
	is.Equal(len(faults), 1)
}

func TestSecretFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "secret")
	is.NoErr(os.WriteFile(path, []byte(secret+"\n"), 0o600))
	raw, err := ResumeKey{SecretFile: path}.Secret()
	is.NoErr(err)
	is.Equal(len(raw), 32)
	is.NoErr(os.WriteFile(path, []byte("nonsense"), 0o600))
	_, err = ResumeKey{SecretFile: path}.Secret()
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), "nonsense")) // the error never contains the content
}
