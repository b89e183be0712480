// Package peer carries messages between daemons over QUIC with mutual TLS:
// one-way messages in order, calls with an answer, and datagrams. Bodies are
// CBOR. It delivers at most once; what must arrive is repeated by its sender.
package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// ALPN names the protocol between daemons in the TLS handshake.
const ALPN = "samphirequay-peer/1"

// Kind tells the handler what a body holds. Kinds of one-way messages, calls
// and datagrams share one number space.
type Kind uint8

// Handler takes what peers send. Its methods are called from several
// goroutines; one-way messages of one connection come in order, one at a time.
// Bodies are the handler's to keep; Decode reads them.
type Handler interface {
	// HandleOneWay must return quickly: later messages of that peer wait.
	HandleOneWay(from id.Daemon, kind Kind, body []byte)
	// HandleCall answers a call. ctx ends when the caller gives up. An error
	// that holds a *verdict.Error reaches the caller with its verdict.
	HandleCall(ctx context.Context, from id.Daemon, kind Kind, body []byte) ([]byte, error)
	// HandleDatagram must return quickly. Datagrams may be lost or reordered.
	HandleDatagram(from id.Daemon, kind Kind, body []byte)
}

// Errors that Send, Call and Datagram give, wrapped with the peer's name.
var (
	// ErrUnknownPeer: the daemon was never set as a peer, nor has it connected.
	ErrUnknownPeer = eris.New("unknown peer")
	// ErrRingFull: too many messages wait for the peer; this one was not sent.
	ErrRingFull = eris.New("outgoing ring full")
	// ErrTooLarge: the message is over the bound; it was not sent.
	ErrTooLarge = eris.New("message too large")
	// ErrNotConnected: a datagram found no connection; it was not sent.
	ErrNotConnected = eris.New("not connected")
	// ErrTooManyPeers: the bound on peers is reached.
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
	DefaultWriteTimeout = 5 * time.Second
	// DefaultDialsAtOnce and DefaultDialTurn: each handshake costs processor time at
	// either end, and where many daemons start together those that take too long are
	// thrown away and begun again.
	DefaultMaxConcurrentDials = 4
	DefaultDialSlotTimeout    = 500 * time.Millisecond
)

// Config of a Transport.
type Config struct {
	// Self is this process; its daemon name must be the one in the certificate.
	Self id.Process
	// Listen is the UDP address, IP:port; port 0 takes a free one.
	Listen string
	// Keys holds the certificates of mutual TLS.
	Keys *keys.Store
	// Handler takes what peers send.
	Handler Handler
	// KindName names kinds in metrics. Default "kind-N".
	KindName func(Kind) string
	// Registry takes the metrics.
	Registry *metrics.Registry
	// Address gives the address of a daemon that was not set as a peer, empty if it
	// is not known; may be nil. Such a peer is connected to on use, and forgotten
	// once it was not used for a while: a daemon then holds as much as it talks to
	// others, however many there are.
	Address func(name id.Daemon) string
	// Report is told of connections that begin and end; may be nil.
	Report func(event string, kv ...any)

	// RingSize is how many one-way messages may wait for one peer.
	RingSize int
	// MaxMessage bounds the body of one message, in bytes.
	MaxMessage int
	// MaxAge is how long a one-way message may wait for a connection before it is dropped.
	MaxAge time.Duration
	// Keepalive is the time between keepalive packets on an idle connection.
	// Negative sends none: connections that are not used then end after
	// IdleTimeout, and are made again on use. That is cheaper where each daemon
	// talks to a few others at a time.
	Keepalive time.Duration
	// IdleTimeout is after how much silence a connection is given up.
	IdleTimeout time.Duration
	// DialTimeout bounds one dial, hello included.
	DialTimeout time.Duration
	// DialsAtOnce bounds the dials that are under way at once, and DialTurn is
	// after how long one makes room for the next, ended or not: a peer that is gone
	// gives no answer up to DialTimeout.
	MaxConcurrentDials int
	DialSlotTimeout    time.Duration
	// WriteTimeout is how long a peer may leave its one-way stream unread
	// before the connection is given up.
	WriteTimeout time.Duration
	// BackoffMin and BackoffMax bound the time between dials; jitter is added.
	BackoffMin, BackoffMax time.Duration
	// CallWorkers bounds the incoming calls that run at once.
	CallWorkers int
	// MaxPeers bounds the peers, set ones and those that connect by themselves.
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
	if c.KindName == nil {
		c.KindName = func(k Kind) string { return fmt.Sprintf("kind-%d", k) }
	}
	if c.Registry == nil {
		c.Registry = metrics.New(string(c.Self.Daemon))
	}
	if c.Report == nil {
		c.Report = func(string, ...any) {}
	}
	return c
}
