package hangup

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
)

func connPair(t *testing.T) (server, client net.Conn) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	client, err = net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	server, err = ln.Accept()
	is.NoErr(err)
	return server, client
}

func TestCloseWithUnreadBytesIsNoticed(t *testing.T) {
	is := is.New(t)
	server, client := connPair(t)
	defer server.Close()
	w := New(DefaultInterval)
	defer w.Close()
	ctx, end := w.Watch(context.Background(), server)
	defer end()

	_, err := client.Write([]byte("bytes that nobody reads, as a TLS alert would be"))
	is.NoErr(err)
	is.NoErr(client.Close())

	<-ctx.Done()
	is.Equal(context.Cause(ctx), error(ErrGone))
}

func TestOpenConnectionIsNotGone(t *testing.T) {
	is := is.New(t)
	server, client := connPair(t)
	defer server.Close()
	defer client.Close()
	raw := rawConn(server)
	_, err := client.Write([]byte("pipelined"))
	is.NoErr(err)
	is.True(!peerClosed(raw))
}

func TestEndOfWatchIsNotGone(t *testing.T) {
	is := is.New(t)
	server, client := connPair(t)
	defer server.Close()
	defer client.Close()
	w := New(DefaultInterval)
	defer w.Close()
	ctx, end := w.Watch(context.Background(), server)
	end()
	is.Equal(context.Cause(ctx), context.Canceled)
	is.Equal(len(w.snapshot()), 0)
}
