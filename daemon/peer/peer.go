// Package peer carries messages between daemons over QUIC with mutual TLS: ordered
// one-way messages, calls with an answer, and datagrams. Bodies are CBOR. Messages
// are delivered at most once; a sender that needs delivery has to retry.
package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// ALPN is the TLS protocol name of the protocol between daemons.
const ALPN = "samphirequay-peer/1"

// Kind is the type of a message's body. Kinds of one-way messages, calls and
// datagrams share one number space.
type Kind uint8

// Handler handles the messages of peers. Its methods are called from several
// goroutines; the one-way messages of one connection are handled in order, one at a
// time. The handler owns the bodies and decodes them with Decode.
type Handler interface {
	// HandleOneWay must return quickly: it blocks later messages of that peer.
	HandleOneWay(from id.Daemon, kind Kind, body []byte)
	// HandleCall answers a call. ctx ends when the caller cancels the call. An
	// error that wraps a *verdict.Error is sent to the caller with its verdict.
	HandleCall(ctx context.Context, from id.Daemon, kind Kind, body []byte) ([]byte, error)
	// HandleDatagram must return quickly. Datagrams may be lost or reordered.
	HandleDatagram(from id.Daemon, kind Kind, body []byte)
}

// Errors of Send, Call and Datagram, wrapped with the peer's name.
var (
	// ErrUnknownPeer: the daemon is neither set as a peer nor connected, and its
	// address is not known.
	ErrUnknownPeer = eris.New("unknown peer")
	// ErrRingFull: too many messages are queued for the peer; this one was not
	// sent.
	ErrRingFull = eris.New("outgoing ring full")
	// ErrTooLarge: the message exceeds the size limit; it was not sent.
	ErrTooLarge = eris.New("message too large")
	// ErrNotConnected: there is no connection for a datagram; it was not sent.
	ErrNotConnected = eris.New("not connected")
	// ErrTooManyPeers: the maximum number of peers is reached.
	ErrTooManyPeers = eris.New("too many peers")
	// ErrClosed: the transport is closed.
	ErrClosed = eris.New("transport closed")
)

// Defaults of Config.
const (
	DefaultRingSize     = 1024
	DefaultMaxMessage   = 1 << 20
	DefaultMaxAge       = 3 * time.Second
	DefaultKeepalive    = 5 * time.Second
	DefaultIdleTimeout  = 15 * time.Second
	DefaultDialTimeout  = 2 * time.Second
	DefaultBackoffMin   = 50 * time.Millisecond
	DefaultBackoffMax   = time.Second
	DefaultCallWorkers  = 512
	DefaultMaxPeers     = 1024
	DefaultMaxTunnels   = 256
	DefaultWriteTimeout = 5 * time.Second
	// DefaultMaxConcurrentDials and DefaultDialSlotTimeout limit concurrent
	// handshakes. Each handshake costs processor time at both ends; if many daemons
	// start together, handshakes that exceed the dial timeout are discarded and
	// repeated.
	DefaultMaxConcurrentDials = 4
	DefaultDialSlotTimeout    = 500 * time.Millisecond
)

// Config of a Transport.
type Config struct {
	// Self is this process. Its daemon name must be that of the certificate.
	Self id.Process
	// Listen is the UDP address, IP:port; port 0 selects a free port.
	Listen string
	// WrapSocket replaces the UDP socket by one that uses it, for tests; may be nil.
	WrapSocket func(net.PacketConn) net.PacketConn
	// Keys holds the certificates for mutual TLS.
	Keys *keys.Store
	// Handler handles the messages of peers.
	Handler Handler
	// KindName returns the name of a kind in metrics. Default "kind-N".
	KindName func(Kind) string
	// Registry registers the metrics.
	Registry *metrics.Registry
	// Address returns the address of a daemon that was not set as a peer, or an
	// empty string if it is not known; may be nil. Such a peer is connected on use
	// and removed after it was unused for a while, so that a daemon's memory
	// depends on the number of peers it communicates with and not on the size of
	// the fleet.
	Address func(name id.Daemon) string
	// Report receives events of connections that begin and end, and of datagrams
	// that exceed the path's packet size; may be nil.
	Report func(event string, kv ...any)
	// Lost is called if no more connections of peers can be accepted although the
	// transport is not closed; may be nil.
	Lost func(err error)

	// RingSize is the number of one-way messages that can be queued for one peer.
	RingSize int
	// MaxMessage is the maximum size of a message's body, in bytes.
	MaxMessage int
	// MaxAge is how long a one-way message can wait for a connection before it is
	// dropped.
	MaxAge time.Duration
	// Keepalive is the interval between keepalive packets on an idle connection. A
	// negative value disables them: unused connections then end after IdleTimeout
	// and are made again on use, which costs less if each daemon communicates with
	// few others at a time.
	Keepalive time.Duration
	// IdleTimeout is how long a connection may receive nothing before it is closed.
	IdleTimeout time.Duration
	// DialTimeout bounds one dial, including the peer's hello.
	DialTimeout time.Duration
	// MaxConcurrentDials is the maximum number of dial slots in use. A dial that
	// has not ended after DialSlotTimeout releases its slot and goes on, because a
	// dial to an unreachable peer lasts up to DialTimeout.
	MaxConcurrentDials int
	DialSlotTimeout    time.Duration
	// WriteTimeout is how long a write on the one-way stream may block on a peer
	// that does not read before the connection is closed. It also bounds the
	// reading of a call's request.
	WriteTimeout time.Duration
	// BackoffMin and BackoffMax bound the backoff between dials; jitter is added.
	BackoffMin, BackoffMax time.Duration
	// CallWorkers is the maximum number of incoming calls that run concurrently.
	CallWorkers int
	// OpenTarget connects to the target of a tunnel that a peer opens through this
	// daemon; nil refuses all tunnels. ctx ends when the peer has given up.
	OpenTarget func(ctx context.Context, from id.Daemon, target string) (net.Conn, error)
	// MaxTunnels is the maximum number of tunnels that this daemon carries at a time.
	MaxTunnels int
	// MaxPeers is the maximum number of peers, both those that were set and those
	// that connected to this daemon.
	MaxPeers int
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.RingSize, DefaultRingSize)
	defaults.Set(&c.MaxMessage, DefaultMaxMessage)
	defaults.Set(&c.MaxAge, DefaultMaxAge)
	defaults.Set(&c.Keepalive, DefaultKeepalive)
	defaults.Set(&c.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&c.DialTimeout, DefaultDialTimeout)
	defaults.Set(&c.WriteTimeout, DefaultWriteTimeout)
	defaults.Set(&c.MaxConcurrentDials, DefaultMaxConcurrentDials)
	defaults.Set(&c.DialSlotTimeout, DefaultDialSlotTimeout)
	defaults.Set(&c.BackoffMin, DefaultBackoffMin)
	defaults.Set(&c.BackoffMax, DefaultBackoffMax)
	defaults.Set(&c.CallWorkers, DefaultCallWorkers)
	defaults.Set(&c.MaxPeers, DefaultMaxPeers)
	defaults.Set(&c.MaxTunnels, DefaultMaxTunnels)
	if c.KindName == nil {
		c.KindName = func(k Kind) string { return fmt.Sprintf("kind-%d", k) }
	}
	if c.Registry == nil {
		c.Registry = metrics.New(string(c.Self.Daemon))
	}
	if c.Lost == nil {
		c.Lost = func(error) {}
	}
	if c.Report == nil {
		c.Report = func(string, ...any) {}
	}
	return c
}
