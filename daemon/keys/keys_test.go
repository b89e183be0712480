package keys

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

const testALPN = "test/1"

func newCA(t *testing.T) *DevCA {
	t.Helper()
	ca, err := NewDevCA(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

func peerStore(t *testing.T, ca *DevCA, name id.Daemon) *Store {
	t.Helper()
	m, err := ca.Peer(name)
	if err != nil {
		t.Fatal(err)
	}
	return FromMaterial(m)
}

// handshake runs one TLS handshake. It returns the server's connection state,
// the server's error and the client's error.
func handshake(t *testing.T, server, client *tls.Config) (tls.ConnectionState, error, error) {
	t.Helper()
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	s, c := tls.Server(a, server), tls.Client(b, client)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		err := s.HandshakeContext(ctx)
		if err != nil {
			a.Close()
		}
		done <- err
	}()
	clientErr := c.HandshakeContext(ctx)
	if clientErr != nil {
		b.Close()
	}
	go c.Read(make([]byte, 1)) // receives the alert of a server that rejects the client
	serverErr := <-done
	return s.ConnectionState(), serverErr, clientErr
}

func TestPeersVerifyNames(t *testing.T) {
	is := is.New(t)
	ca := newCA(t)
	a, b := peerStore(t, ca, "a"), peerStore(t, ca, "b")
	state, serverErr, clientErr := handshake(t, a.PeerServer(testALPN), b.PeerClient(testALPN, "a"))
	is.NoErr(serverErr)
	is.NoErr(clientErr)
	name, err := PeerName(state)
	is.NoErr(err)
	is.Equal(name, id.Daemon("b"))
	is.Equal(state.NegotiatedProtocol, testALPN)

	_, _, clientErr = handshake(t, a.PeerServer(testALPN), b.PeerClient(testALPN, "c"))
	is.True(clientErr != nil) // the server has another name
}

func TestUntrustedPeersAreRejected(t *testing.T) {
	is := is.New(t)
	ca, other := newCA(t), newCA(t)
	a := peerStore(t, ca, "a")
	untrusted := peerStore(t, other, "b")
	_, _, clientErr := handshake(t, a.PeerServer(testALPN), untrusted.PeerClient(testALPN, "a"))
	is.True(clientErr != nil) // the client does not trust a's CA

	noVerification := untrusted.PeerClient(testALPN, "a")
	noVerification.VerifyConnection = nil
	_, serverErr, _ := handshake(t, a.PeerServer(testALPN), noVerification)
	is.True(serverErr != nil) // a does not trust the client's CA

	noCertificate := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{testALPN}}
	_, serverErr, _ = handshake(t, a.PeerServer(testALPN), noCertificate)
	is.True(serverErr != nil) // the client presents no certificate
}

func TestFilesAreReloaded(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(newCA(t).WriteFiles(dir, []id.Daemon{"a", "b"}, "127.0.0.1", "localhost"))
	a, err := Open(PeerFiles(dir, "a"))
	is.NoErr(err)
	callers, err := Open(Files{Cert: filepath.Join(dir, FileCallerCert), Key: filepath.Join(dir, FileCallerKey)})
	is.NoErr(err)
	server, callersTLS := a.PeerServer(testALPN), callers.CallerTLS() // created once, before the files change
	before, err := callersTLS.GetCertificate(nil)
	is.NoErr(err)
	changed, err := a.Reload()
	is.NoErr(err)
	is.True(!changed)

	// Replace all files with files of a new CA.
	is.NoErr(newCA(t).WriteFiles(dir, []id.Daemon{"a", "b"}, "127.0.0.1"))
	newB, err := Open(PeerFiles(dir, "b"))
	is.NoErr(err)
	_, _, clientErr := handshake(t, server, newB.PeerClient(testALPN, "a"))
	is.True(clientErr != nil) // a has not reloaded yet
	changed, err = a.Reload()
	is.NoErr(err)
	is.True(changed)
	_, serverErr, clientErr := handshake(t, server, newB.PeerClient(testALPN, "a"))
	is.NoErr(serverErr)
	is.NoErr(clientErr)

	ticks := make(chan time.Time)
	reports := make(chan error)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go callers.Watch(ctx, ticks, func(changed bool, err error) { reports <- err })
	ticks <- time.Time{}
	is.NoErr(<-reports)
	after, err := callersTLS.GetCertificate(nil)
	is.NoErr(err)
	is.True(string(after.Certificate[0]) != string(before.Certificate[0]))
}

func TestInvalidFilesKeepCurrentMaterial(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(newCA(t).WriteFiles(dir, []id.Daemon{"a", "b"}))
	files := PeerFiles(dir, "a")
	s, err := Open(files)
	is.NoErr(err)
	before := s.Material()
	// The key of another certificate, as when only half of a pair was replaced.
	otherKey, err := os.ReadFile(PeerFiles(dir, "b").Key)
	is.NoErr(err)
	is.NoErr(os.WriteFile(files.Key, otherKey, 0o600))
	changed, err := s.Reload()
	is.True(err != nil)
	is.True(!changed)
	is.NoErr(os.Remove(files.CA))
	_, err = s.Reload()
	is.True(err != nil)
	is.True(s.Material() == before)

	_, err = Open(files)
	is.True(err != nil)
}

func TestKeyFilesAreNotReadableByOthers(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(newCA(t).WriteFiles(dir, []id.Daemon{"a"}))
	info, err := os.Stat(PeerFiles(dir, "a").Key)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))
}

func TestResetKeyIsStableAcrossRestarts(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(newCA(t).WriteFiles(dir, []id.Daemon{"a", "b"}))
	reset := func(name id.Daemon) [32]byte {
		s, err := Open(PeerFiles(dir, name))
		is.NoErr(err)
		key, err := s.ResetKey()
		is.NoErr(err)
		return key
	}
	is.Equal(reset("a"), reset("a"))
	is.True(reset("a") != reset("b"))
}

func TestHashes(t *testing.T) {
	is := is.New(t)
	// From: printf %s hello | sha256sum
	const hello = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824"
	is.Equal(Hash("hello"), hello)
	is.True(ValidHash(hello))
	is.True(!ValidHash(hello[1:]))
	is.True(!ValidHash("zz"))
	is.True(Equal(hello, Hash("hello")))
	is.True(Matches("hello", []string{Hash("a"), hello}))
	is.True(!Matches("hello", []string{Hash("a"), ""}))
	is.True(!Matches("hello", nil))
}
