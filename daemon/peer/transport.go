package peer

import (
	"context"
	"net"
	"os"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/workpool"
)

// bufferWarningVariable is the environment variable that stops quic-go from logging
// a warning about small UDP buffers to the standard logger; see quic-go's page on
// UDP buffer sizes.
const bufferWarningVariable = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"

var bufferWarningOnce sync.Once

// maxIncomingCalls is the maximum number of open call streams on one connection.
const maxIncomingCalls = 256

// Flow control windows: the maximum number of bytes that a peer may send before
// they are read.
const (
	maxStreamWindow     = 2 << 20
	maxConnectionWindow = 4 << 20
)

// Transport is one daemon's end of the connections with its peers. It has its own
// UDP socket.
type Transport struct {
	cfg      Config
	socket   net.PacketConn
	quic     *quic.Transport
	listener *quic.Listener
	calls    *workpool.Pool
	traffic  *traffic
	faults   faults
	// dialSlots holds a token for each dial slot in use.
	dialSlots chan struct{}
	// tunnels holds a token for each tunnel that this daemon carries for its peers.
	tunnels chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	remotes map[id.Daemon]*remote
	conns   map[*conn]struct{}
	// closedTraffic is the total traffic of closed connections, closedConns their
	// number.
	closedTraffic WireTraffic
	closedConns   int
}

// Listen opens the socket and starts to accept connections of peers.
func Listen(cfg Config) (*Transport, error) {
	bufferWarningOnce.Do(func() { _ = os.Setenv(bufferWarningVariable, "true") })
	cfg = cfg.withDefaults()
	socket, err := openSocket(cfg.Listen)
	if err != nil {
		return nil, err
	}
	if cfg.WrapSocket != nil {
		socket = cfg.WrapSocket(socket)
	}
	calls, err := workpool.New("peer_calls", cfg.CallWorkers, cfg.Registry)
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	t := &Transport{
		cfg:       cfg,
		socket:    socket,
		calls:     calls,
		traffic:   newTraffic(cfg.Registry, cfg.KindName),
		dialSlots: make(chan struct{}, cfg.MaxConcurrentDials),
		tunnels:   make(chan struct{}, cfg.MaxTunnels),
		remotes:   make(map[id.Daemon]*remote),
		conns:     make(map[*conn]struct{}),
	}
	t.registerWireMetrics(cfg.Registry)
	t.ctx, t.cancel = context.WithCancel(context.Background())
	if err := t.listen(); err != nil {
		t.Close()
		return nil, err
	}
	t.spawn(t.accept)
	if cfg.Address != nil {
		t.spawn(t.removeUnusedPeers)
	}
	return t, nil
}

func openSocket(address string) (net.PacketConn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "peer: listen address %q", address)
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, eris.Wrap(err, "peer: listen")
	}
	return socket, nil
}

func (t *Transport) listen() error {
	reset, err := t.cfg.Keys.ResetKey()
	if err != nil {
		return err
	}
	resetKey := quic.StatelessResetKey(reset)
	t.quic = &quic.Transport{Conn: t.socket, StatelessResetKey: &resetKey}
	t.listener, err = t.quic.Listen(t.cfg.Keys.PeerServer(ALPN), t.quicConfig())
	if err != nil {
		return eris.Wrap(err, "peer: listen")
	}
	return nil
}

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  t.cfg.DialTimeout,
		MaxIdleTimeout:        t.cfg.IdleTimeout,
		KeepAlivePeriod:       max(t.cfg.Keepalive, 0),
		MaxIncomingStreams:    maxIncomingCalls,
		MaxIncomingUniStreams: 1,
		EnableDatagrams:       true,

		MaxStreamReceiveWindow:     maxStreamWindow,
		MaxConnectionReceiveWindow: maxConnectionWindow,
	}
}

// Address returns the address on which the transport listens.
func (t *Transport) Address() string { return t.socket.LocalAddr().String() }

// Self returns the process that the transport belongs to.
func (t *Transport) Self() id.Process { return t.cfg.Self }

// Close closes all connections and waits for the transport's goroutines. The
// contexts of running handlers end.
func (t *Transport) Close() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	conns := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	t.cancel()
	for _, c := range conns {
		c.close(codeClosed, "closing")
	}
	t.closeSocket()
	t.wg.Wait()
	t.calls.Close()
}

// closeSocket closes the listener and the socket. Errors are ignored because
// nothing can be done about them.
func (t *Transport) closeSocket() {
	if t.listener != nil {
		_ = t.listener.Close()
	}
	if t.quic != nil {
		_ = t.quic.Close()
	}
	_ = t.socket.Close()
}

// spawn runs f on a goroutine that Close waits for. It returns false if Close has
// been called.
func (t *Transport) spawn(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.wg.Go(f)
	return true
}

func (t *Transport) accept() {
	for {
		accepted, err := t.listener.Accept(t.ctx)
		if err != nil {
			if t.ctx.Err() == nil {
				t.cfg.Lost(err)
			}
			return
		}
		name, err := keys.PeerName(accepted.ConnectionState().TLS)
		if err != nil {
			refuse(accepted, err)
			continue
		}
		r, err := t.remoteFor(name)
		if err != nil {
			refuse(accepted, err)
			continue
		}
		r.start(accepted, "accepted")
	}
}

func refuse(c *quic.Conn, err error) { _ = c.CloseWithError(codeRefused, err.Error()) }
